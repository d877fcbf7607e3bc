package flow

import (
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/lookup"
)

const (
	slotMask = ID(lookup.SlotMask)
	// candidateShift and rampShift select hash bits that neither the slot nor the shard uses.
	candidateShift = 10
	rampShift      = 20
	// rampSteps is the resolution of a joining upstream's share.
	rampSteps = 1 << 12
	// maxAlternatives bounds the search for a usable upstream.
	maxAlternatives = 64
	// alternativeStep is odd, so that successive alternatives visit different slots.
	alternativeStep = 397
)

// choose returns the upstream of a new flow in an active slot: the slot's
// target, or a second candidate when that is clearly less loaded (Mitzenmacher,
// "The power of two choices in randomized load balancing").
func (d *decider) choose() upstreamRef {
	first := d.table.targets[d.index]
	l := d.entry.loads.Load()
	if l == nil || first == noUpstream || int(first) >= len(l.upstreams) {
		return first
	}
	second := d.candidate(l, first)
	if second == first {
		return first
	}
	if u := &l.upstreams[first]; u.state == health.Joining && float64(d.id>>rampShift%rampSteps) >= u.ramp*rampSteps {
		return second
	}
	if d.table.steered(d.index) && l.load(first) > l.load(second)*(1+l.threshold) {
		return second
	}
	return first
}

// candidate returns another upstream for the flow, drawn by weight, or first if there is none.
func (d *decider) candidate(l *loads, first upstreamRef) upstreamRef {
	i := int(d.id >> candidateShift & slotMask)
	for range maxAlternatives {
		ref := d.table.targets[i]
		if ref != first && ref != noUpstream && int(ref) < len(l.upstreams) && l.upstreams[ref].state != health.Joining {
			return ref
		}
		i = (i + alternativeStep) & lookup.SlotMask
	}
	return first
}
