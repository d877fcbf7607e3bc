package flow

import (
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/slottable"
)

const (
	slotMask = ID(slottable.SlotMask)
	// candidateShift and rampShift select hash bits that neither the slot nor the
	// shard depends on.
	candidateShift = 10
	candidateMask  = 1<<10 - 1
	rampShift      = 20
	// rampSteps is the resolution of the share of flows that a joining upstream takes.
	rampSteps = 1 << 12
	// maxCandidates bounds the upstreams that are compared for one flow.
	maxCandidates = 32
	// maxTargetProbes bounds the slots probed for a usable upstream.
	maxTargetProbes = 64
	// targetProbeStep is odd and the number of slots a power of two, so probing
	// visits different slots.
	targetProbeStep = 397
)

// chooseUpstream returns the upstream of a new flow in an active slot: the slot's
// target or, with per-flow balancing, the least loaded upstream if its load is
// lower by more than the threshold. A joining upstream takes only the share of flows
// that its ramp allows. The loads include the flows assigned since they were
// published; otherwise an owner would send every new flow to the same upstream
// until the loads are published again.
func (d *decider) chooseUpstream() upstreamRef {
	target := d.table.targets[d.slotIndex]
	l := d.service.loads.Load()
	if l == nil || target == noUpstream || int(target) >= len(l.upstreams) {
		return target
	}
	u := &l.upstreams[target]
	beyondRamp := u.state == health.Joining && float64(d.id>>rampShift%rampSteps) >= u.ramp*rampSteps
	if !beyondRamp && !d.table.perFlowBalancing {
		return target
	}
	best := d.leastLoaded(l, target)
	if beyondRamp || l.load(target) > l.load(best)*(1+l.threshold) {
		return best
	}
	return target
}

// leastLoaded returns the least loaded of the upstreams that take new flows, or
// target if there is no other. It compares at most maxCandidates of them, from a
// position that depends on the flow's hash.
func (d *decider) leastLoaded(l *loads, target upstreamRef) upstreamRef {
	best := target
	n := len(l.upstreams)
	start := int(d.id>>candidateShift&candidateMask) % n
	for k := range min(n, maxCandidates) {
		ref := upstreamRef((start + k) % n)
		u := &l.upstreams[ref]
		if ref == target || !u.usable || u.state == health.Joining {
			continue
		}
		if best == target || l.load(ref) < l.load(best) {
			best = ref
		}
	}
	return best
}
