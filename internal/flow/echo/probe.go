package echo

import (
	"errors"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// ErrUnreachable means that a probe could make no connection to the upstream, or that another
// process answers at its address.
var ErrUnreachable = errors.New("upstream cannot be reached at its address")

// Probe describes a health check of a suspected upstream.
type Probe struct {
	// Upstream and Name are the upstream's ID and name.
	Upstream catalog.UpstreamID
	Name     string
	Address  netip.AddrPort
	// HealthPath is the HTTP path of the service's health checks.
	HealthPath string
}

// DueProbes returns the probes to start now. A suspected upstream that accepts new
// flows is probed every probeInterval, unless this host has no evidence of its own: the
// hosts that have some probe it. A probe of an upstream that warms up counts as an opening
// packet.
func (e *Engine) DueProbes(now time.Time) []Probe {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.suspectedCount == 0 {
		return nil
	}
	var due []Probe
	for _, u := range e.upstreams {
		if u.suspected() && (!u.byReports || u.unansweredFlows > 0) && u.acceptsFlows() && now.Sub(u.lastProbe) >= probeInterval && e.spendWarmup(now, u) {
			u.lastProbe = now
			due = append(due, Probe{Upstream: u.ID, Name: u.Name, Address: u.Address, HealthPath: e.healthPaths[u.Service]})
		}
	}
	return due
}

// ProbeSucceeded records that a probe of the upstream succeeded. This clears the
// suspicion, unless the upstream is still in the hold-down that applies if it has
// answered no flow since it was last cleared.
func (e *Engine) ProbeSucceeded(now time.Time, id catalog.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.upstreams[id]
	if u == nil || !u.suspected() {
		return
	}
	u.unreachable = false
	if !now.Before(u.holdDownUntil) {
		e.clearSuspicion(now, u, Reachable)
	}
}

// ProbeFailed records that a probe could not reach the upstream. Until another one does, its
// repeatable requests are reset.
func (e *Engine) ProbeFailed(id catalog.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if u := e.upstreams[id]; u != nil && u.suspected() {
		u.unreachable = true
	}
}

// SuspectedCount returns the number of suspected upstreams.
func (e *Engine) SuspectedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspectedCount
}
