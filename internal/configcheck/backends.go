package configcheck

import "slices"

// checkBackends checks the services that a route names.
func (c *checker) checkBackends(entry Entry, r *Route) {
	shares := r.shares()
	if len(shares) == 0 {
		c.report(Error, RuleNoService, entry, "name a service, or give a backend a name and a weight above 0",
			"no service gets the route's flows, so hosts refuse the configuration")
	}
	for i, b := range r.Backends {
		switch {
		case b.Service == "":
			c.report(Error, RuleName, entry, "name its service or remove it", "backend %d names no service and never gets a flow", i)
			continue
		case b.Weight == 0:
			c.report(Warning, RuleZeroWeight, entry, "remove it or raise the weight", "backend %q has weight 0 and gets no new flow", b.Service)
		case slices.ContainsFunc(r.Backends[:i], func(earlier Backend) bool { return earlier.Service == b.Service && earlier.Weight > 0 }):
			c.report(Warning, RuleRepeatedBackend, entry, "write it once with the sum", "backend %q is listed twice, and its weights are added", b.Service)
		}
		c.checkReference(entry, b.Service)
	}
	if r.Service == "" {
		return
	}
	c.checkReference(entry, r.Service)
	switch {
	case len(shares) > 0 && slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service != "" && b.Weight > 0 }):
		c.report(Warning, RuleIgnoredService, entry, "remove the service or the backends", "service %q has no effect, because backends with a weight are listed", r.Service)
	case len(r.Backends) > 0:
		c.report(Warning, RuleIgnoredService, entry, "remove the backends or raise a weight", "no backend has a weight, so service %q gets all flows", r.Service)
	}
}

// checkReference checks a service that a route names.
func (c *checker) checkReference(entry Entry, service string) {
	c.used[service] = true
	if !c.services[service] {
		c.report(Error, RuleUnknownService, entry, "correct the name or add the service to the list", "service %q is not in the list of services", service)
	}
}
