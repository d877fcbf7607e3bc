package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// decideEstablished decides what to do with a packet other than a SYN. The packet
// goes to the upstream in the flow's record, or, if there is none, to the upstream
// that its token identifies.
func (e *Engine) decideEstablished(now time.Time, r *route, s *Segment) Decision {
	key := flowKey{caller: s.Caller, address: s.VirtualAddress}
	rec := e.records[key]
	reason := Known
	if rec == nil {
		u := e.upstreamsByToken[s.Token]
		if u == nil {
			verdict := Drop
			if e.partial {
				verdict = Hold
			}
			return e.withDetail(now, Decision{Verdict: verdict, Reason: UnknownToken}, r, nil, nil)
		}
		if !e.allows(r, u) {
			return e.withDetail(now, Decision{Verdict: e.dropOrHold(now), Reason: WrongService}, r, u, nil)
		}
		rec = &flowRecord{upstream: u, state: stateOpening, nextSeq: s.Seq, highestAck: s.Ack, created: now, lastSeen: now, requestTimeout: r.Timeout}
		e.makeRoom(now, key, false)
		e.storeRecord(key, rec)
		reason = Echoed
	} else if rec.state == stateOpening && !e.bindToToken(now, r, rec, s) {
		return e.withDetail(now, Decision{Verdict: Hold, Reason: WrongService}, r, rec.upstream, rec)
	}
	retransmitted, responseTime := e.updateRecord(now, r, rec, s)
	if retransmitted {
		e.recordRetransmission(now, rec, rec.requestedAt)
	}
	if reason := e.resetReason(now, r, rec, s, retransmitted); reason != 0 && !s.RST {
		d := e.withDetail(now, Decision{Verdict: Reset, Reason: reason}, r, rec.upstream, rec)
		rec.endRequest()
		rec.setState(stateClosed)
		return d
	}
	d := forwardTo(rec.upstream, reason)
	d.ResponseTime = responseTime
	return d
}

// bindToToken assigns the flow, at its first packet after the SYN, to the upstream
// that its token identifies if the route allows that upstream's service. The caller
// echoes the token of the upstream that answered first, which may not be the one
// that the last SYN went to. It returns false while it cannot tell whether the route
// allows the service.
func (e *Engine) bindToToken(now time.Time, r *route, rec *flowRecord, s *Segment) bool {
	u := e.upstreamsByToken[s.Token]
	switch {
	case u == nil || u == rec.upstream:
	case e.allows(r, u):
		rec.reassign(u)
	default:
		return e.dropOrHold(now) == Drop
	}
	return true
}

// updateRecord updates the flow's record from the packet. It reports whether the
// packet retransmits data and, if it acknowledges a response, how long the response
// took.
func (e *Engine) updateRecord(now time.Time, r *route, rec *flowRecord, s *Segment) (retransmitted bool, responseTime time.Duration) {
	rec.lastSeen = now
	switch {
	case rec.state == stateOpening:
		rec.setState(stateOpen)
		rec.highestAck = s.Ack
		if rec.sawSYN && s.Token == rec.upstream.token {
			e.recordAnswer(now, rec.upstream)
		}
	case seqAfter(s.Ack, rec.highestAck):
		size := s.Ack - rec.highestAck
		rec.highestAck = s.Ack
		if !rec.awaitingResponse {
			// No request is outstanding, so the packet acknowledges the upstream's FIN
			// or further data of the last response. Neither shows that the upstream
			// still receives packets.
			break
		}
		responseTime = now.Sub(rec.requestedAt)
		e.recordResponseTime(now, r, rec, responseTime)
		e.recordResponse(now, rec.upstream)
		if rec.sentRequest && !rec.overdue {
			failed := r.typical.observe(responseTime, int64(size))
			e.countAnswer(now, rec.upstream, failed, 1)
			if !failed {
				e.countSpeed(now, rec.upstream, responseTime)
				e.observeSpill(now, rec.upstream, responseTime)
			}
		}
		rec.noteHolder()
		rec.endRequest()
		e.recordAnswer(now, rec.upstream)
	}
	end := s.Seq + uint32(s.Length)
	switch {
	case s.Length > 0 && seqAfter(end, rec.nextSeq):
		counted := rec.sawSYN && !rec.sentRequest // with the SYN
		rec.nextSeq, rec.sentRequest = end, true
		rec.startRequest(now)
		if !counted && e.holderOf(rec) != FormerProcess {
			e.countRecent(now, rec.upstream)
		}
		r.outstanding.add(rec)
	case s.Length > 0:
		// If the flow has moved here from another host, this host may not know when the
		// request was first sent. A retransmission cannot then be told from reordering.
		retransmitted = !rec.requestedAt.IsZero() && now.Sub(rec.requestedAt) >= minRetransmitDelay
	}
	if s.FIN || s.RST {
		rec.endRequest()
		rec.setState(stateClosed)
	}
	return retransmitted, responseTime
}

// recordResponseTime adds a response time to the estimates of the upstream's
// service.
func (e *Engine) recordResponseTime(now time.Time, r *route, rec *flowRecord, responseTime time.Duration) {
	p := e.poolOf(rec.upstream)
	if p == nil || rec.upstream.evacuated {
		return // new flows depend on the other upstreams alone
	}
	p.updateSlowFraction(now, responseTime, r.Objective)
	if rec.foundFreeSlot {
		p.updateProcessingTime(responseTime)
	}
}

// resetReason returns why the flow must be reset, or 0 if it must not be.
//
// An upstream that was draining when its registration ended has stopped. One whose
// registration ended without draining may merely have lost its connection to the
// registration store, so its flows are reset only if it also fails to answer.
//
// A flow with a repeatable request to a suspected upstream that is confirmed to be silent is
// reset, so that the caller sends the request to another one. This applies only if flows
// of that very upstream went unanswered: when its whole data centre is suspected, it may
// still work. The same holds for an upstream that is mute. An evacuated upstream is not probed, so only an answer can clear it: a
// request is given the chance, and reset once it is retransmitted.
func (e *Engine) resetReason(now time.Time, r *route, rec *flowRecord, s *Segment, retransmitted bool) Reason {
	u := rec.upstream
	departed := u.Presence == catalog.Departed
	switch {
	case departed && u.Draining:
		return UpstreamLeft
	case departed && (retransmitted || u.suspected()):
		return UpstreamLost
	case u.evacuated && !retransmitted:
		return 0
	case !r.Repeatable || s.Length == 0 || e.options.Without.Has(UnreachableReset):
		return 0
	case u.unansweredFlows > 0 && e.confirmedSilent(now, u), !rec.trial && e.confirmedMute(now, u):
		return Unreachable
	default:
		return 0
	}
}
