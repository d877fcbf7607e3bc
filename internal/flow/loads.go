package flow

import (
	"sync/atomic"

	"github.com/oatlatch/oatlatch/internal/health"
)

// loads holds what the choice of an upstream depends on, indexed by upstreamRef.
// Once published, it is immutable except for the counters in newFlows.
type loads struct {
	upstreams []upstreamLoad
	// newFlows counts the flows that this host has assigned to each upstream with
	// per-flow balancing since the loads were published.
	newFlows  []atomic.Uint32
	threshold float64
}

// upstreamLoad is the state of one upstream.
type upstreamLoad struct {
	state health.State
	// usable is set if the upstream may take new flows.
	usable bool
	// estimate is the number of active flows per unit of weight.
	estimate float64
	// perFlow is the amount that one new flow of this host adds to the estimate. It
	// assumes that every other owner assigns one too.
	perFlow float64
	// ramp is the fraction of its full share that a joining upstream may take.
	ramp float64
}

// gone reports whether the upstream is gone, so that its flows may move to others.
func (l *loads) gone(ref upstreamRef) bool {
	return int(ref) < len(l.upstreams) && l.upstreams[ref].state == health.Gone
}

// countNewFlow counts a flow assigned to the upstream.
func (l *loads) countNewFlow(ref upstreamRef) {
	if int(ref) < len(l.newFlows) {
		l.newFlows[ref].Add(1)
	}
}

// load returns the upstream's estimated load including new flows.
func (l *loads) load(ref upstreamRef) float64 {
	u := &l.upstreams[ref]
	return u.estimate + float64(l.newFlows[ref].Load())*u.perFlow
}
