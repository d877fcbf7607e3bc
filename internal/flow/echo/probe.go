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

// Probe describes a health check of a suspected or mute upstream.
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
// hosts that have some probe it. A mute one is probed before each trial. A probe of an upstream
// that warms up counts as an opening packet.
func (e *Engine) DueProbes(now time.Time) []Probe {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.suspectedCount+e.muteCount == 0 {
		return nil
	}
	var due []Probe
	for _, u := range e.upstreams {
		if !u.acceptsFlows() || !u.probeDue(now) && !u.trialProbeDue(now) || !e.spendWarmup(now, u) {
			continue
		}
		if u.mute() {
			e.planProbe(now, u)
		} else {
			u.lastProbe = now
		}
		due = append(due, Probe{Upstream: u.ID, Name: u.Name, Address: u.Address, HealthPath: e.healthPaths[u.Service]})
	}
	return due
}

// probeDue reports whether the upstream is suspected and is to be probed now.
func (s *suspicion) probeDue(now time.Time) bool {
	return s.suspected() && (!s.byReports || s.unansweredFlows > 0) && now.Sub(s.lastProbe) >= probeInterval
}

// ProbeSucceeded records that a probe of the upstream succeeded. This clears the
// suspicion, unless the upstream is still in the hold-down that applies if it has
// answered no flow since it was last cleared. A mute upstream may get a trial.
func (e *Engine) ProbeSucceeded(now time.Time, id catalog.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.upstreams[id]
	if u != nil && u.mute() {
		u.muteness.answersProbes, u.muteness.trialReady = true, true
	}
	if u == nil || !u.suspected() {
		return
	}
	u.unreachable = false
	if !now.Before(u.holdDownUntil) {
		e.clearSuspicion(now, u, Reachable)
	}
}

// ProbeFailed records that the upstream did not answer a probe. If it could not even be reached,
// its repeatable requests are reset until another probe reaches it.
func (e *Engine) ProbeFailed(id catalog.UpstreamID, unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.upstreams[id]
	switch {
	case u == nil:
	case u.suspected():
		u.unreachable = u.unreachable || unreachable
	case u.mute():
		u.muteness.answersProbes, u.muteness.trialReady = false, false
	}
}

// ProbedCount returns the number of suspected and mute upstreams, which may have to be probed.
func (e *Engine) ProbedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspectedCount + e.muteCount
}
