package configcheck

import "fmt"

// Registered counts the registered upstreams of a service.
type Registered struct {
	// Ready is the number of those that do not drain.
	Ready, Draining int
}

// unreadable is the finding that the configuration in force cannot be decoded.
var unreadable = Finding{
	Severity: Warning, Rule: RuleInForceUnknown, Entry: Entry{Kind: KindConfiguration},
	Message: "the configuration in force cannot be decoded, so the versions are not compared", Remedy: "give another file or check the store",
}

// Surroundings is what a configuration is checked against besides itself.
type Surroundings struct {
	// Registered holds the registered upstreams by service; nil if they are not known.
	Registered map[string]Registered
	// InForce is the configuration in force; nil if it is not known.
	InForce *Configuration
	// InForceUnreadable is set if there is one that cannot be decoded. It is no error,
	// because the checked configuration may be the repair.
	InForceUnreadable bool
}

// checker collects the findings about a configuration.
type checker struct {
	configuration *Configuration
	surroundings  Surroundings
	// services and used are the names of the listed services, and of those that get new
	// flows of some route or are named by one.
	services, used map[string]bool
	findings       []Finding
}

// Check returns what is wrong with the configuration: first what concerns the whole, then
// the routes, the services and the limits, in their order.
func Check(configuration *Configuration, surroundings Surroundings) []Finding {
	c := &checker{
		configuration: configuration, surroundings: surroundings,
		services: make(map[string]bool), used: make(map[string]bool),
	}
	for i := range configuration.Services {
		c.services[configuration.Services[i].Name] = true
	}
	if surroundings.InForceUnreadable {
		c.findings = append(c.findings, unreadable)
	}
	c.checkVersion()
	c.checkRoutes()
	c.checkServices()
	c.checkLimits()
	return c.findings
}

// report adds a finding.
func (c *checker) report(severity Severity, rule Rule, entry Entry, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Rule: rule, Entry: entry, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// notNegative reports a number below 0. It returns false for one.
func (c *checker) notNegative(entry Entry, what string, value float64) bool {
	if value < 0 {
		c.report(Error, RuleNegative, entry, "write 0 or more", "%s %s is negative", what, number(value))
	}
	return value >= 0
}

// checkVersion checks that hosts adopt the configuration in place of the one in force.
func (c *checker) checkVersion() {
	entry := Entry{Kind: KindConfiguration}
	version, inForce := c.configuration.Version, c.surroundings.InForce
	switch {
	case version == 0:
		c.report(Error, RuleVersion, entry, "write a version above that in force", "the version is missing or 0, so hosts refuse the configuration")
	case inForce == nil:
	case version < inForce.Version:
		c.report(Error, RuleVersionNotNewer, entry, fmt.Sprintf("write a version above %d", inForce.Version),
			"version %d is below version %d in force, so hosts refuse it", version, inForce.Version)
	case version == inForce.Version && len(Compare(inForce, c.configuration)) > 0:
		c.report(Error, RuleVersionNotNewer, entry, fmt.Sprintf("write a version above %d", inForce.Version),
			"version %d is in force with other contents, so hosts ignore the differences", version)
	}
}
