package flow

import (
	"sync/atomic"

	"github.com/oatlatch/oatlatch/internal/health"
)

// loads is what choices know of a service's upstreams, by reference. All but
// the counters is immutable.
type loads struct {
	upstreams []upstreamLoad
	// counters count steered flows since the loads were published.
	counters  []atomic.Uint32
	threshold float64
}

// upstreamLoad is the state of one upstream.
type upstreamLoad struct {
	state health.State
	// usable is set when the upstream may take new flows.
	usable bool
	// estimate is the number of active flows for each unit of weight.
	estimate float64
	// perFlow is what one new flow adds to the estimate.
	perFlow float64
	// ramp is the fraction of its share that a joining upstream may take.
	ramp float64
}

// gone reports whether the upstream has no flows any more.
func (l *loads) gone(ref upstreamRef) bool {
	return int(ref) < len(l.upstreams) && l.upstreams[ref].state == health.Gone
}

// assigned counts a new flow.
func (l *loads) assigned(ref upstreamRef) {
	if int(ref) < len(l.counters) {
		l.counters[ref].Add(1)
	}
}

// load returns the upstream's estimated load.
func (l *loads) load(ref upstreamRef) float64 {
	u := &l.upstreams[ref]
	return u.estimate + float64(l.counters[ref].Load())*u.perFlow
}
