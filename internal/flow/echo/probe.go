package echo

import (
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Probe describes a health check of a suspected upstream.
type Probe struct {
	Upstream catalog.UpstreamID
	Name     string
	Address  netip.AddrPort
	// HealthPath is the HTTP path of the service's health checks.
	HealthPath string
}

// DueProbes returns the probes that are due and records them as started.
func (e *Engine) DueProbes(now time.Time) []Probe {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.suspectedCount == 0 {
		return nil
	}
	var due []Probe
	for _, u := range e.upstreams {
		if u.suspected() && u.acceptsFlows() && now.Sub(u.lastProbe) >= probeInterval {
			u.lastProbe = now
			due = append(due, Probe{Upstream: u.ID, Name: u.Name, Address: u.Address, HealthPath: e.healthPaths[u.Service]})
		}
	}
	return due
}

// ProbeSucceeded records that a probe of the upstream succeeded. This clears the suspicion
// unless the upstream is in its hold, because it was cleared before and has answered
// no flow since.
func (e *Engine) ProbeSucceeded(now time.Time, id catalog.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if u := e.upstreams[id]; u != nil && u.suspected() && !now.Before(u.heldUntil) {
		e.clearSuspicion(now, u, Reachable)
	}
}

// SuspectedCount returns the number of suspected upstreams.
func (e *Engine) SuspectedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspectedCount
}
