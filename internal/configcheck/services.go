package configcheck

import (
	"fmt"
	"strings"
)

// checkServices checks each service by itself and against the routes and the registered
// upstreams.
func (c *checker) checkServices() {
	served := make(map[string]bool)
	for i := range c.configuration.Routes {
		for _, b := range c.configuration.Routes[i].shares() {
			served[b.Service] = true
		}
	}
	names := make(map[string]int, len(c.configuration.Services))
	for i := range c.configuration.Services {
		s := &c.configuration.Services[i]
		entry := Entry{Kind: KindService, Index: i, Name: s.Name}
		c.checkName(entry, names, Error)
		if s.Name != "" && !c.used[s.Name] {
			c.report(Warning, RuleUnusedService, entry, "remove it or add a route", "no route names the service")
		}
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			c.report(Error, RuleHealthPath, entry, fmt.Sprintf("write %q", "/"+s.HealthPath), "health check path %q does not begin with /, so every check fails", s.HealthPath)
		}
		c.notNegative(entry, "number of flows", s.MaxFlows)
		c.checkWarmup(entry, s)
		if served[s.Name] && names[s.Name] == i {
			c.checkRegistered(entry, s.Name)
		}
	}
}

// checkWarmup checks the warm-up of a service. A rate of 0 stands for no figure, which
// the allowed overage multiplies in vain.
func (c *checker) checkWarmup(entry Entry, s *Service) {
	if !c.notNegative(entry, "warm-up time", s.WarmupSeconds) || !c.notNegative(entry, "warm-up rate", s.WarmupRate) {
		return
	}
	switch {
	case s.WarmupSeconds > 0 && s.WarmupRate == 0:
		c.report(Warning, RuleWarmup, entry, "write the requests per second that a cold upstream can serve, or remove the warm-up time",
			"the warm-up of %s s has a rate of 0 requests per second, so no limit applies whatever overage is allowed", number(s.WarmupSeconds))
	case s.WarmupRate > 0 && s.WarmupSeconds == 0:
		c.report(Warning, RuleWarmup, entry, "write the warm-up time or remove the rate", "the warm-up rate of %s requests per second has a warm-up time of 0", number(s.WarmupRate))
	}
}

// checkRegistered reports a service that gets new flows and has no upstream for them.
func (c *checker) checkRegistered(entry Entry, service string) {
	if c.surroundings.Registered == nil {
		return
	}
	registered := c.surroundings.Registered[service]
	switch {
	case registered.Ready > 0:
	case registered.Draining > 0:
		c.report(Warning, RuleNoUpstream, entry, "start another upstream first", "all %d registered upstreams drain, so new flows are refused", registered.Draining)
	default:
		c.report(Error, RuleNoUpstream, entry, "start an upstream first or correct the name", "no upstream is registered for the service, so new flows are refused")
	}
}

// checkLimits checks the limits of the configuration. Those of routes are checked with
// the routes.
func (c *checker) checkLimits() {
	l, entry := &c.configuration.Limits, Entry{Kind: KindLimits}
	c.notNegative(entry, "maximum header size", l.MaxHeaderBytes)
	c.notNegative(entry, "maximum body size", l.MaxBodyBytes)
	c.notNegative(entry, "header timeout", float64(l.HeaderTimeout))
	c.notNegative(entry, "idle timeout", float64(l.IdleTimeout))
}
