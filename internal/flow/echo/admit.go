package echo

import (
	"slices"
	"time"
)

// ownRequestsPerSlot is the number of this host's own requests per slot of the least used
// upstream from which on new flows wait: one that runs, and for every other slot one that
// follows it, so that slots do not idle until callers have acknowledged an answer.
const ownRequestsPerSlot = 1.5

// admission is what to do with a new flow.
type admission uint8

const (
	// admit forwards the flow to the chosen upstream.
	admit admission = iota
	// enqueue lets the flow wait for a slot.
	enqueue
	// refuse resets the flow in favour of routes with a higher priority.
	refuse
	// refuseLate resets the flow because its request must miss its deadline.
	refuseLate
)

// admissionOf decides whether a new flow with the SYN s may go to the upstream u of the
// pool, which was chosen for it.
//
// An overload that has just begun is taken for a backlog that drains: its flows are
// served late rather than refused, because each refusal costs the caller a try. While this
// host's own requests fill the slots, they wait here until one ends, so that they do not
// overflow the queue of an upstream, which would reject them. In an overload that lasts,
// flows that would be late are refused. Flows of the highest priority neither wait nor
// are refused.
func (e *Engine) admissionOf(now time.Time, p *pool, r *route, u *upstream, s *Segment) admission {
	switch {
	case !r.sheddable || !p.overloaded(now, r, u):
		return admit
	case p.overload.observe(now) && !e.options.Without.Has(OverloadRefusal):
		return refuse
	case float64(u.outstanding) < ownRequestsPerSlot*u.effectiveSlots(now):
		return admit
	case !e.options.Without.Has(DeadlineRefusal) && p.mustTakeLonger(now, u, r.requestTimeout()-timeSinceFirstSYN(s.Ack)):
		return refuseLate
	case e.options.Without.Has(AdmissionQueue):
		return admit
	default:
		return enqueue
	}
}

// fairAdmissionOf is admissionOf for a flow that has not been forwarded yet. While an overload
// lasts, fairRefusal may swap the decisions on two flows.
func (e *Engine) fairAdmissionOf(now time.Time, p *pool, r *route, u *upstream, s *Segment) admission {
	a := e.admissionOf(now, p, r, u, s)
	if !r.sheddable || a == enqueue || a == refuseLate || s.Ack > 0 || !p.overload.lasts(now) || e.options.Without.Has(FairQueueing) || e.options.Without.Has(OverloadRefusal) {
		return a
	}
	if !slices.Contains(e.sharingPools, p) {
		e.sharingPools = append(e.sharingPools, p)
	}
	return p.refusal.decide(now, s.Caller.Addr(), a)
}

// requestTimeout returns the deadline of a request of the route.
func (r *route) requestTimeout() time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return defaultRequestTimeout
}

// displacedFlow is a flow that gave way to another while the queue was full.
type displacedFlow struct {
	flow *waitingFlow
	// callerWaiting is the number of its caller's flows that waited, itself included.
	callerWaiting uint32
}

// enqueueFlow lets a new flow wait for the pool, or refuses it if the queue is full and no
// other flow gives way. The upstream was chosen for the flow; rec is its record or nil.
func (e *Engine) enqueueFlow(now time.Time, p *pool, r *route, s *Segment, u *upstream, rec *flowRecord) Decision {
	f := &waitingFlow{syn: *s, route: r, arrived: now, deadline: now.Add(r.requestTimeout() - timeSinceFirstSYN(s.Ack))}
	if !e.insertWaiting(p, f) {
		d := e.withDetail(now, Decision{Verdict: Reset, Reason: Overloaded}, r, u, rec)
		d.Detail.CallerWaiting = uint32(p.queue.callerWaiting(f) + 1)
		return d
	}
	if !slices.Contains(e.queuedPools, p) {
		e.queuedPools = append(e.queuedPools, p)
	}
	e.waiting.Add(1)
	return Decision{Verdict: Hold, Reason: Queued}
}

// insertWaiting adds the flow to the pool's queue. It returns false if the flow must be refused.
func (e *Engine) insertWaiting(p *pool, f *waitingFlow) bool {
	if e.options.Without.Has(FairQueueing) {
		return p.queue.insert(f)
	}
	displaced := p.queue.insertFair(f)
	switch displaced {
	case f:
		return false
	case nil:
	default:
		e.displaced = append(e.displaced, displacedFlow{flow: displaced, callerWaiting: uint32(p.queue.callerWaiting(displaced) + 1)})
		e.pendingRefusals.Add(1)
		e.waiting.Add(-1)
	}
	if !slices.Contains(e.sharingPools, p) {
		e.sharingPools = append(e.sharingPools, p)
	}
	return true
}

// forgetShares drops the shares and counts of callers and routes that are no longer needed.
func (e *Engine) forgetShares(now time.Time) {
	e.sharingPools = slices.DeleteFunc(e.sharingPools, func(p *pool) bool {
		waited, refused := p.queue.forget(now), p.refusal.forget(now)
		return waited && refused
	})
}

// PendingRefusals returns the number of flows that have given way to others and that
// NextAdmitted returns next.
func (e *Engine) PendingRefusals() int { return int(e.pendingRefusals.Load()) }

// WaitingFlows returns the number of new flows that wait for a slot.
func (e *Engine) WaitingFlows() int { return int(e.waiting.Load()) }

// NextAdmitted returns the decision on a waiting flow that can be admitted or must be
// refused now, with the flow's SYN. It returns false if all flows must wait on.
func (e *Engine) NextAdmitted(now time.Time) (syn Segment, d Decision, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.displaced) > 0 {
		return e.nextDisplaced(now)
	}
	for i, p := range e.queuedPools {
		f, d := e.nextAdmittedTo(now, p)
		if f == nil {
			continue
		}
		p.queue.remove(f)
		if len(p.queue.flows) == 0 {
			e.queuedPools = slices.Delete(e.queuedPools, i, i+1)
		}
		e.waiting.Add(-1)
		d.Detail.Waited = now.Sub(f.arrived)
		return f.syn, d, true
	}
	return Segment{}, Decision{}, false
}

// nextDisplaced returns the decision on the flow that gave way first.
func (e *Engine) nextDisplaced(now time.Time) (syn Segment, d Decision, ok bool) {
	f := e.displaced[0].flow
	d = Decision{Verdict: Reset, Reason: Overloaded}
	if f.syn.Ack > 0 || e.isOpen(&f.syn) {
		d.Verdict = Drop // the flow may be open, and a RST would end it
	}
	d = e.withDetail(now, d, f.route, nil, nil)
	d.Detail.Waited, d.Detail.CallerWaiting = now.Sub(f.arrived), e.displaced[0].callerWaiting
	e.displaced = slices.Delete(e.displaced, 0, 1)
	e.pendingRefusals.Add(-1)
	return f.syn, d, true
}

// nextAdmittedTo returns a flow that waits for the pool and the decision on it, or nil if
// all flows must wait on.
func (e *Engine) nextAdmittedTo(now time.Time, p *pool) (*waitingFlow, Decision) {
	if e.options.Without.Has(FairQueueing) {
		f, waitedEnough := p.queue.first(now)
		return e.admitWaiting(now, f, waitedEnough)
	}
	f, waitedEnough := p.queue.firstFair(now, p.processingTime)
	admitted, d := e.admitWaiting(now, f, waitedEnough)
	if f != nil && admitted == nil {
		admitted, d = e.admitWaiting(now, p.queue.insteadOf(f, now, p.processingTime), false)
	}
	if admitted != nil && d.Verdict == Forward {
		p.queue.charge(now, admitted, waitedEnough, p.processingTime)
	}
	return admitted, d
}

// admitWaiting returns the waiting flow and the decision on it. It returns
// nil if there is no flow or it must wait on.
func (e *Engine) admitWaiting(now time.Time, f *waitingFlow, waitedEnough bool) (*waitingFlow, Decision) {
	if f == nil {
		return nil, Decision{}
	}
	if e.isOpen(&f.syn) {
		return f, e.withDetail(now, Decision{Verdict: Drop, Reason: AlreadyOpen}, f.route, nil, nil)
	}
	r := e.routes[f.syn.VirtualAddress] // a configuration may have changed it
	if r == nil {
		return f, e.withDetail(now, e.decideUnrouted(now, &f.syn), f.route, nil, nil)
	}
	u, chosen := e.selectUpstream(now, r, nil)
	if u == nil {
		return f, e.refuseUnserved(now, r, &f.syn)
	}
	admitted := e.fairAdmissionOf(now, chosen, r, u, &f.syn)
	if admitted.refuses(&f.syn) {
		return f, e.withDetail(now, Decision{Verdict: Reset, Reason: Overloaded}, r, u, nil)
	}
	if admitted == enqueue && !waitedEnough {
		return nil, Decision{}
	}
	return f, e.openFlow(now, r, &f.syn, u)
}
