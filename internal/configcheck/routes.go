package configcheck

import (
	"fmt"
	"slices"
)

// checkRoutes checks each route by itself and against the others.
func (c *checker) checkRoutes() {
	routes := c.configuration.Routes
	last := make(map[string]int, len(routes))
	for i := range routes {
		last[routes[i].key()] = i
	}
	names := make(map[string]int, len(routes))
	for i := range routes {
		r, entry := &routes[i], Entry{Kind: KindRoute, Index: i, Name: routes[i].Name}
		c.checkName(entry, names, Warning)
		c.checkAddress(entry, r)
		if later := last[r.key()]; later != i {
			c.report(Error, RuleRepeatedAddress, entry, "remove one of them or give it another address",
				"address %s is also that of routes[%d] %q, which replaces this route", r.key(), later, routes[later].Name)
		}
		if r.Type != TypeSafe && r.Type != TypeUnsafe && r.Type != TypeDownload {
			c.report(Error, RuleType, entry, fmt.Sprintf("write %s, %s or %s", TypeSafe, TypeUnsafe, TypeDownload),
				"type %q is not known, and hosts would repeat the route's requests", r.Type)
		}
		c.checkTimes(entry, r)
		c.notNegative(entry, "priority", float64(r.Priority))
		c.notNegative(entry, "number of attempts", float64(r.MaxAttempts))
		c.checkRegions(entry, r)
		c.checkBackends(entry, r)
	}
}

// checkName reports a missing name, and one that an earlier entry of the same kind has.
// Names holds the indexes of the earlier ones.
func (c *checker) checkName(entry Entry, names map[string]int, severity Severity) {
	earlier, taken := names[entry.Name]
	switch {
	case entry.Name == "":
		c.report(severity, RuleName, entry, "name it", "the name is missing")
	case taken:
		c.report(severity, RuleRepeatedName, entry, "give one of them another name", "the %s with index %d has the same name", entry.Kind, earlier)
	default:
		names[entry.Name] = entry.Index
	}
}

// checkAddress reports an address that hosts refuse, or to which no caller can send.
func (c *checker) checkAddress(entry Entry, r *Route) {
	switch a := r.Address; {
	case !a.IsValid():
		c.report(Error, RuleAddress, entry, "write an IPv4 address and a port, such as 198.18.0.1 and /443/",
			"address %q cannot be parsed, so hosts refuse the configuration", r.Virtual)
	case !a.Addr().Is4() || a.Addr().IsUnspecified() || a.Port() == 0:
		c.report(Error, RuleAddress, entry, "write an IPv4 address and a port, such as 198.18.0.1 and /443/",
			"address %s never matches a packet", a)
	}
}

// checkTimes checks the timeout and the latency objective, and the timeout against the
// idle timeout.
func (c *checker) checkTimes(entry Entry, r *Route) {
	if !c.notNegative(entry, "timeout", float64(r.Timeout)) || !c.notNegative(entry, "latency objective", float64(r.Objective)) {
		return
	}
	if r.Timeout == 0 {
		c.report(Warning, RuleTimeout, entry, "write the timeout", "the timeout is missing or 0, so %v applies", defaultTimeout)
	}
	timeout, idle := r.Timeout.or(defaultTimeout), c.configuration.Limits.IdleTimeout.or(defaultIdleTimeout)
	if r.Objective > timeout {
		c.report(Error, RuleObjectiveAboveTimeout, entry, "lower the objective or raise the timeout",
			"latency objective %v is above the timeout of %v", r.Objective, timeout)
	}
	if idle > 0 && idle < timeout {
		c.report(Error, RuleIdleBelowTimeout, entry, "raise the idle timeout of the limits or lower the route's timeout",
			"timeout %v is above the idle timeout of %v, so hosts forget flows whose requests still run", timeout, idle)
	}
}

// checkRegions checks the names of the allowed regions.
func (c *checker) checkRegions(entry Entry, r *Route) {
	if r.AllowedRegions != nil && len(r.AllowedRegions) == 0 {
		c.report(Warning, RuleRegions, entry, "remove the list or name a region", "the list of allowed regions is empty")
	}
	for i, region := range r.AllowedRegions {
		switch {
		case region == "":
			c.report(Error, RuleRegions, entry, "name the region or remove it", "allowed region %d has no name", i)
		case slices.Contains(r.AllowedRegions[:i], region):
			c.report(Warning, RuleRegions, entry, "remove one", "region %q is allowed twice", region)
		}
	}
}
