package echo

import "time"

// decideSYN decides what to do with a SYN. If the flow has a record, is not closed and
// its SYN had the same sequence number, the packet is a retransmission.
func (e *Engine) decideSYN(now time.Time, r *route, s *Segment) Decision {
	key := flowKey{caller: s.Caller, address: s.VirtualAddress}
	rec := e.records[key]
	if rec != nil && rec.sawSYN && rec.synSeq == s.Seq && rec.state != stateClosed {
		d := e.decideRetransmittedSYN(now, r, rec, s)
		d.Detail.PriorSYNs = s.Ack
		return d
	}
	u, p := e.selectUpstream(now, r, nil)
	if u == nil {
		verdict := Reset
		if e.partial {
			verdict = Hold
		}
		return e.withDetail(now, Decision{Verdict: verdict, Reason: e.noUpstreamReason(now, r)}, r, nil, nil)
	}
	if p.queue.find(s) != nil {
		return Decision{Verdict: Hold, Reason: Queued}
	}
	switch e.admissionOf(now, p, r, u, s) {
	case enqueue:
		if e.enqueueFlow(now, p, r, s) {
			return Decision{Verdict: Hold, Reason: Queued}
		}
		fallthrough
	case refuse:
		return e.withDetail(now, Decision{Verdict: Reset, Reason: Overloaded}, r, u, nil)
	default:
		return e.openFlow(now, r, s, u)
	}
}

// openFlow forwards the SYN of a new flow to the upstream.
func (e *Engine) openFlow(now time.Time, r *route, s *Segment, u *upstream) Decision {
	if !e.spendWarmup(now, u) {
		// The permission has ended since the upstream was chosen.
		return e.withDetail(now, Decision{Verdict: Reset, Reason: WarmingUp}, r, u, nil)
	}
	key := flowKey{caller: s.Caller, address: s.VirtualAddress}
	rec := &flowRecord{upstream: u, sawSYN: true, synSeq: s.Seq, nextSeq: s.Seq + 1, created: now, lastSeen: now, requestTimeout: r.Timeout}
	e.storeRecord(key, rec)
	d := e.withDetail(now, forwardTo(u, Opened), r, u, nil)
	rec.startRequest(now)
	return d
}

// decideRetransmittedSYN decides what to do with a further copy of a SYN. The copy goes
// to the same upstream as before if the flow is open, or if that upstream has answered
// other flows since the first SYN, because then the first SYN or its answer was merely
// lost. Otherwise it goes to another upstream if there is one.
func (e *Engine) decideRetransmittedSYN(now time.Time, r *route, rec *flowRecord, s *Segment) Decision {
	rec.lastSeen = now
	e.recordRetransmission(now, rec, rec.created)
	u := rec.upstream
	if rec.state == stateOpen || u.acceptsFlows() && !u.suspected() && u.lastAnswer.After(rec.created) {
		return e.openAgain(now, r, rec)
	}
	other, p := e.selectUpstream(now, r, u)
	switch {
	case other != nil && other != u && e.admissionOf(now, p, r, other, s) == admit && e.spendWarmup(now, other):
		d := e.withDetail(now, forwardTo(other, OpenedElsewhere), r, u, rec)
		rec.reassign(other)
		return d
	case u.acceptsFlows():
		return e.openAgain(now, r, rec)
	default:
		return e.withDetail(now, Decision{Verdict: Reset, Reason: NoUpstream}, r, u, rec)
	}
}

// openAgain forwards a further copy of a SYN to the same upstream. The copy is dropped if
// the upstream warms up and must get no opening packet now: the flow may be open there, so
// that a reset would break it, and the caller sends another copy if it is not.
func (e *Engine) openAgain(now time.Time, r *route, rec *flowRecord) Decision {
	if !e.spendWarmup(now, rec.upstream) {
		return e.withDetail(now, Decision{Verdict: Drop, Reason: WarmingUp}, r, rec.upstream, rec)
	}
	return e.withDetail(now, forwardTo(rec.upstream, OpenedAgain), r, rec.upstream, rec)
}
