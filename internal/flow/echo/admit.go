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
	// refuse resets the flow.
	refuse
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
	case !e.options.Without.Has(DeadlineRefusal) && p.wouldTakeLonger(now, u, r.requestTimeout()-timeSinceFirstSYN(s.Ack)):
		return refuse
	case e.options.Without.Has(AdmissionQueue):
		return admit
	default:
		return enqueue
	}
}

// requestTimeout returns the deadline of a request of the route.
func (r *route) requestTimeout() time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return defaultRequestTimeout
}

// enqueueFlow adds a new flow to the pool's queue. It returns false if the queue is full.
func (e *Engine) enqueueFlow(now time.Time, p *pool, r *route, s *Segment) bool {
	f := &waitingFlow{syn: *s, route: r, arrived: now, deadline: now.Add(r.requestTimeout() - timeSinceFirstSYN(s.Ack))}
	if !p.queue.insert(f) {
		return false
	}
	if !slices.Contains(e.queuedPools, p) {
		e.queuedPools = append(e.queuedPools, p)
	}
	e.waiting.Add(1)
	return true
}

// WaitingFlows returns the number of new flows that wait for a slot.
func (e *Engine) WaitingFlows() int { return int(e.waiting.Load()) }

// NextAdmitted returns the decision on a waiting flow that can be admitted or must be
// refused now, with the flow's SYN. It returns false if all flows must wait on.
func (e *Engine) NextAdmitted(now time.Time) (syn Segment, d Decision, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
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

// nextAdmittedTo returns a flow that waits for the pool and the decision on it, or nil if
// all flows must wait on.
func (e *Engine) nextAdmittedTo(now time.Time, p *pool) (*waitingFlow, Decision) {
	f, waitedEnough := p.queue.first(now)
	if f == nil {
		return nil, Decision{}
	}
	u, chosen := e.selectUpstream(now, f.route, nil)
	if u == nil {
		return f, e.withDetail(now, Decision{Verdict: Reset, Reason: e.noUpstreamReason(now, f.route)}, f.route, nil, nil)
	}
	switch e.admissionOf(now, chosen, f.route, u, &f.syn) {
	case refuse:
		return f, e.withDetail(now, Decision{Verdict: Reset, Reason: Overloaded}, f.route, u, nil)
	case enqueue:
		if !waitedEnough {
			return nil, Decision{}
		}
	case admit:
	}
	return f, e.openFlow(now, f.route, &f.syn, u)
}
