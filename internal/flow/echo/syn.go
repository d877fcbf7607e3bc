package echo

import "time"

// decideSYN decides what to do with a SYN. It is a retransmission if the flow has a record
// to which it belongs.
func (e *Engine) decideSYN(now time.Time, r *route, s *Segment) Decision {
	key := flowKey{caller: s.Caller, address: s.VirtualAddress}
	rec := e.records[key]
	if s.superseded() {
		return e.withDetail(now, Decision{Verdict: Drop, Reason: Superseded}, r, nil, rec)
	}
	if rec != nil && rec.hasSYN(s) {
		d := e.decideRetransmittedSYN(now, r, rec, s)
		d.Detail.PriorSYNs = s.Ack
		return d
	}
	u, p := e.selectUpstream(now, r, nil)
	if u == nil {
		return e.refuseUnserved(now, r, s)
	}
	if p.queue.find(s) != nil {
		return Decision{Verdict: Hold, Reason: Queued}
	}
	admitted := e.fairAdmissionOf(now, p, r, u, s)
	if admitted == enqueue {
		if d := e.enqueueFlow(now, p, r, s, u, nil); d.Verdict == Hold || refuse.refuses(s) {
			return d
		}
		admitted = refuse
	}
	if admitted.refuses(s) {
		return e.withDetail(now, Decision{Verdict: Reset, Reason: Overloaded}, r, u, nil)
	}
	return e.openFlow(now, r, s, u)
}

// openFlow forwards the SYN of a new flow to the upstream.
func (e *Engine) openFlow(now time.Time, r *route, s *Segment, u *upstream) Decision {
	key := flowKey{caller: s.Caller, address: s.VirtualAddress}
	// A copy is never refused: the flow may be open through another host, and a RST would end it.
	if !e.makeRoom(now, key, s.Ack == 0) {
		return e.withDetail(now, Decision{Verdict: Reset, Reason: FlowLimit}, r, u, nil)
	}
	if !e.spendWarmup(now, u) {
		// The permission has ended since the upstream was chosen.
		d := Decision{Verdict: Reset, Reason: WarmingUp}
		if s.Ack > 0 {
			d.Verdict = Drop // the flow may be open through another host
		}
		return e.withDetail(now, d, r, u, nil)
	}
	rec := &flowRecord{upstream: u, process: u.seen.number, trial: u.mute(), sawSYN: true, synSeq: s.Seq, nextSeq: s.Seq + 1, created: now, lastSeen: now, requestTimeout: r.Timeout}
	e.storeRecord(key, rec)
	d := e.withDetail(now, forwardTo(u, Opened), r, u, nil)
	rec.startRequest(now)
	e.countRecent(now, u)
	return d
}

// decideRetransmittedSYN decides what to do with a further copy of a SYN. If the flow is
// open, the copy is a late one and is dropped: the caller has an answer, and an upstream
// could take the copy for a new flow. The copy goes to the same upstream as before if that
// has answered other flows since the first SYN, because then the first SYN or its answer
// was merely lost, or if this host has read both so soon after each other that they came from its
// socket together. Otherwise it goes to another upstream if there is one. No copy goes to an
// upstream that accepts no flows of the route.
//
// The flow may be open although this host has not seen the caller's ACK, which may still
// be on its way or have reached another host. While its upstream may live, it is therefore
// not reset: the copy goes elsewhere, even under overload, or is dropped.
func (e *Engine) decideRetransmittedSYN(now time.Time, r *route, rec *flowRecord, s *Segment) Decision {
	rec.lastSeen = now
	u := rec.upstream
	if rec.state == stateOpen {
		return e.withDetail(now, Decision{Verdict: Drop, Reason: AlreadyOpen}, r, u, rec)
	}
	e.recordRetransmission(now, rec, rec.created)
	accepted := r.accepts(u)
	if accepted && !u.suspected() && (u.lastAnswer.After(rec.created) || now.Sub(rec.created) < minRetransmitDelay) {
		return e.openAgain(now, r, rec)
	}
	other, p := e.selectUpstream(now, r, u)
	var admitted admission
	if other != nil && other != u {
		admitted = e.admissionOf(now, p, r, other, s)
		if (admitted == admit || u.live() && !accepted) && e.spendWarmup(now, other) {
			d := e.withDetail(now, forwardTo(other, OpenedElsewhere), r, u, rec)
			rec.reassign(other)
			e.countRecent(now, other)
			return d
		}
	}
	switch {
	case accepted:
		return e.openAgain(now, r, rec)
	case other == nil:
		d := Decision{Verdict: Reset, Reason: e.refusalReason(now, r)}
		if e.partial {
			d.Verdict = Hold
		} else if u.live() {
			d.Verdict = Drop
		}
		return e.withDetail(now, d, r, u, rec)
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

// openAgain forwards a further copy of a SYN to the same upstream. The copy is dropped if
// the upstream warms up and must get no opening packet now: the flow may be open there, so
// that a reset would break it, and the caller sends another copy if it is not.
func (e *Engine) openAgain(now time.Time, r *route, rec *flowRecord) Decision {
	if !e.spendWarmup(now, rec.upstream) {
		return e.withDetail(now, Decision{Verdict: Drop, Reason: WarmingUp}, r, rec.upstream, rec)
	}
	return e.withDetail(now, forwardTo(rec.upstream, OpenedAgain), r, rec.upstream, rec)
}
