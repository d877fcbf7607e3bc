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
		return e.withDetail(now, Decision{Verdict: verdict, Reason: e.refusalReason(r)}, r, nil, nil)
	}
	if p.queue.find(s) != nil {
		return Decision{Verdict: Hold, Reason: Queued}
	}
	switch e.fairAdmissionOf(now, p, r, u, s) {
	case enqueue:
		return e.enqueueFlow(now, p, r, s, u, nil)
	case refuse:
		return e.withDetail(now, Decision{Verdict: Reset, Reason: Overloaded}, r, u, nil)
	default:
		return e.openFlow(now, r, s, u)
	}
}

// openFlow forwards the SYN of a new flow to the upstream.
func (e *Engine) openFlow(now time.Time, r *route, s *Segment, u *upstream) Decision {
	key := flowKey{caller: s.Caller, address: s.VirtualAddress}
	rec := &flowRecord{upstream: u, sawSYN: true, synSeq: s.Seq, nextSeq: s.Seq + 1, created: now, lastSeen: now, requestTimeout: r.Timeout}
	e.storeRecord(key, rec)
	d := e.withDetail(now, forwardTo(u, Opened), r, u, nil)
	rec.startRequest(now)
	e.countRecent(now, u)
	return d
}

// decideRetransmittedSYN decides what to do with a further copy of a SYN. The copy goes
// to the same upstream as before if the flow is open, or if that upstream has answered
// other flows since the first SYN, because then the first SYN or its answer was merely
// lost. Otherwise it goes to another upstream if there is one. No copy goes to an upstream
// whose data centre is evacuated: the flow waits for a slot elsewhere, or is refused, like a
// new one. If it is open there, the copy is a late one that opens nothing.
func (e *Engine) decideRetransmittedSYN(now time.Time, r *route, rec *flowRecord, s *Segment) Decision {
	rec.lastSeen = now
	e.recordRetransmission(now, rec, rec.created)
	u := rec.upstream
	again := e.withDetail(now, forwardTo(u, OpenedAgain), r, u, rec)
	if u.evacuated && rec.state == stateOpen {
		return e.withDetail(now, Decision{Verdict: Drop, Reason: Evacuated}, r, u, rec)
	}
	if rec.state == stateOpen || u.acceptsFlows() && !u.suspected() && u.lastAnswer.After(rec.created) {
		return again
	}
	other, p := e.selectUpstream(now, r, u)
	var admitted admission
	if other != nil && other != u {
		if admitted = e.admissionOf(now, p, r, other, s); admitted == admit {
			d := e.withDetail(now, forwardTo(other, OpenedElsewhere), r, u, rec)
			rec.reassign(other)
			e.countRecent(now, other)
			return d
		}
	}
	switch {
	case u.acceptsFlows():
		return again
	case other == nil:
		return e.withDetail(now, Decision{Verdict: Reset, Reason: e.refusalReason(r)}, r, u, rec)
	case admitted == enqueue:
		d := e.enqueueFlow(now, p, r, s, u, rec)
		if d.Verdict == Hold {
			e.removeRecord(flowKey{caller: s.Caller, address: s.VirtualAddress}, rec)
		}
		return d
	default:
		return e.withDetail(now, Decision{Verdict: Reset, Reason: Overloaded}, r, u, rec)
	}
}
