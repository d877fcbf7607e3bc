package catalog

import (
	"net/netip"
	"slices"
	"time"
)

// Route maps one virtual address to the services that receive its flows.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares holds the services that receive new flows; there is at least one.
	Shares []Share
	// Repeatable is set if the route's requests are idempotent, so that a caller may
	// retry a request whose outcome is unknown.
	Repeatable bool
	// Timeout is the deadline of a request.
	Timeout time.Duration
	// Objective is the latency objective of a request.
	Objective time.Duration
	// Priority ranks routes when capacity is short; 0 is the highest.
	Priority int
	// AllowedRegions are the regions to whose data centres new flows may go; empty for all.
	AllowedRegions []string
}

// HasService reports whether new flows of the route go to the service.
func (r *Route) HasService(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// Share is a service's weighted share of a route's new flows.
type Share struct {
	Service string
	Weight  uint32
}
