package flow

import (
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/lookup"
)

const (
	slotMask = ID(lookup.SlotMask)
	// candidateShift and rampShift select hash bits that neither the slot nor the shard uses.
	candidateShift = 10
	candidateMask  = 1<<10 - 1
	rampShift      = 20
	// rampSteps is the resolution of a joining upstream's share.
	rampSteps = 1 << 12
	// maxCandidates is the number of upstreams compared for a steered flow.
	maxCandidates = 32
	// maxAlternatives bounds the search for a usable upstream.
	maxAlternatives = 64
	// alternativeStep is odd, so that successive alternatives visit different slots.
	alternativeStep = 397
)

// choose returns the upstream of a new flow in an active slot: the slot's
// target or, in a steered service, the least loaded upstream if that has clearly
// less load. The counters that follow every choice keep owners from sending
// all flows of the time between two reports to one upstream.
func (d *decider) choose() upstreamRef {
	first := d.table.targets[d.index]
	l := d.entry.loads.Load()
	if l == nil || first == noUpstream || int(first) >= len(l.upstreams) {
		return first
	}
	u := &l.upstreams[first]
	yields := u.state == health.Joining && float64(d.id>>rampShift%rampSteps) >= u.ramp*rampSteps
	if !yields && !d.table.steered {
		return first
	}
	best := d.leastLoaded(l, first)
	if yields || l.load(first) > l.load(best)*(1+l.threshold) {
		return best
	}
	return first
}

// leastLoaded returns the least loaded of the upstreams that take new flows,
// or first if there is no other. Of a long list it looks at a part that
// differs from flow to flow.
func (d *decider) leastLoaded(l *loads, first upstreamRef) upstreamRef {
	best := first
	n := len(l.upstreams)
	start := int(d.id>>candidateShift&candidateMask) % n
	for k := range min(n, maxCandidates) {
		ref := upstreamRef((start + k) % n)
		u := &l.upstreams[ref]
		if ref == first || !u.usable || u.state == health.Joining {
			continue
		}
		if best == first || l.load(ref) < l.load(best) {
			best = ref
		}
	}
	return best
}
