package echo

import "time"

const (
	// recentlyTakingFlows is how long after an upstream has stopped to take flows a copy of
	// a SYN may belong to a flow that is open there: callers give up 1.4 s after the first
	// SYN, and another host may have learned up to 3 s later that the upstream takes none.
	recentlyTakingFlows = 5 * time.Second
	// maxSYNDistance is the greatest distance in bytes between a SYN and a later packet at
	// which they are taken for the same flow. A caller sends less within the time in which
	// copies arrive.
	maxSYNDistance = 1 << 20
	// firstCopyAfter is the time after which a caller sends the first copy of a SYN. The time
	// doubles before each of the lastCopy steps that follow: to the second copy, and to the end
	// of the attempt.
	firstCopyAfter = 200 * time.Millisecond
	lastCopy       = 2
)

// superseded reports whether the caller has sent another copy of the SYN, or has given up, while
// the SYN waited at this host, which stood still. The flow may be open through another host by
// now. If a second upstream answered, the caller would echo its token from then on.
func (s *Segment) superseded() bool { return s.Delayed >= firstCopyAfter<<min(s.Ack, lastCopy) }

// hasSYN reports whether the SYN is a copy of the one that opened the flow, which is not
// closed. If this host has not seen that SYN, a SYN that the caller marks as a copy is
// recognised by the flow's sequence numbers. Another one may be that of a new flow from the
// same port.
func (r *flowRecord) hasSYN(s *Segment) bool {
	return r.state != stateClosed && r.follows(s) && (r.sawSYN || s.Ack > 0)
}

// follows reports whether the flow's sequence numbers follow those of the SYN.
func (r *flowRecord) follows(s *Segment) bool {
	if r.sawSYN {
		return r.synSeq == s.Seq
	}
	return r.nextSeq-s.Seq-1 < maxSYNDistance
}

// refuseUnserved decides about a SYN that no upstream can take. It is refused, unless it is
// a copy and the flow may be open through another host.
func (e *Engine) refuseUnserved(now time.Time, r *route, s *Segment) Decision {
	d := Decision{Verdict: Reset, Reason: e.refusalReason(now, r)}
	switch {
	case e.partial:
		d.Verdict = Hold
	case s.Ack > 0 && e.recentlyTook(now, r):
		d.Verdict = Drop
	}
	return e.withDetail(now, d, r, nil, nil)
}

// refuses reports whether a SYN with the admission is refused. One that gives way to routes
// with a higher priority is not if it is a copy: the flow may be open through another host,
// and a RST would end it.
func (a admission) refuses(s *Segment) bool {
	return a == refuseLate || a == refuse && s.Ack == 0
}

// recentlyTook reports whether a live upstream of the route has stopped to take flows so
// recently that copies of their SYNs may arrive.
func (e *Engine) recentlyTook(now time.Time, r *route) bool {
	for _, share := range r.Shares {
		if p := e.pools[share.Service]; p != nil {
			for _, u := range p.upstreams {
				if u.live() && !r.accepts(u) && now.Sub(latest(u.stoppedTaking, r.changed)) < recentlyTakingFlows {
					return true
				}
			}
		}
	}
	return false
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isOpen reports whether the flow of the waiting SYN has been opened by another copy of it.
func (e *Engine) isOpen(s *Segment) bool {
	rec := e.records[flowKey{caller: s.Caller, address: s.VirtualAddress}]
	return rec != nil && rec.state == stateOpen && rec.follows(s)
}
