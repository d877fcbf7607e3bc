package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// later decides a packet other than a SYN.
func (e *Engine) later(now time.Time, r *route, s *Segment) Decision {
	key := flowKey{caller: s.Caller, address: s.Address}
	rec := e.flows[key]
	reason := Known
	if rec == nil {
		u := e.tokens[s.Token]
		if u == nil {
			return e.explain(now, Decision{Verdict: Drop, Reason: UnknownToken}, r, nil, nil)
		}
		if _, ok := r.allowed[u.Service]; !ok {
			return e.explain(now, Decision{Verdict: Drop, Reason: WrongService}, r, u, nil)
		}
		rec = &record{upstream: u, phase: opening, sentEnd: s.Seq, acked: s.Ack, since: now, seen: now, timeout: r.Timeout}
		e.remember(key, rec)
		reason = Echoed
	} else if rec.phase == opening {
		e.settle(r, rec, s)
	}
	repeated, answered := e.note(now, r, rec, s)
	if repeated {
		e.strike(now, rec, rec.asked)
	}
	if reason := lost(r, rec.upstream, s, repeated); reason != 0 && !s.RST {
		d := e.explain(now, Decision{Verdict: Reset, Reason: reason}, r, rec.upstream, rec)
		rec.answered()
		rec.setPhase(closed)
		return d
	}
	d := forward(rec.upstream, reason)
	d.Answered = answered
	return d
}

// settle fixes the upstream of a flow at its first packet after the SYN. The
// caller repeats the token of the upstream that answered first, which may not be
// the one that its last SYN went to.
func (e *Engine) settle(r *route, rec *record, s *Segment) {
	u := e.tokens[s.Token]
	if u == nil || u == rec.upstream {
		return
	}
	if _, ok := r.allowed[u.Service]; ok {
		rec.assign(u)
	}
}

// note updates the record by the packet. It reports whether the caller repeats
// data that it has sent before, and how long an acknowledged answer took.
func (e *Engine) note(now time.Time, r *route, rec *record, s *Segment) (repeated bool, answered time.Duration) {
	rec.seen = now
	switch {
	case rec.phase == opening:
		rec.setPhase(open)
		rec.acked = s.Ack
		if rec.begun && s.Token == rec.upstream.token {
			e.answer(now, rec.upstream)
		}
	case after(s.Ack, rec.acked):
		rec.acked = s.Ack
		if !rec.waiting {
			// The end of the upstream's flow, or an answer that is already known: it
			// says nothing about packets on their way there.
			break
		}
		answered = now.Sub(rec.asked)
		e.learn(now, r, rec, answered)
		rec.answered()
		e.answer(now, rec.upstream)
	}
	end := s.Seq + uint32(s.Length)
	switch {
	case s.Length > 0 && after(end, rec.sentEnd):
		rec.sentEnd = end
		rec.ask(now)
	case s.Length > 0:
		// A flow that came from another host may have been asked there.
		repeated = !rec.asked.IsZero() && now.Sub(rec.asked) >= repeatAfter
	}
	if s.FIN || s.RST {
		rec.answered()
		rec.setPhase(closed)
	}
	return repeated, answered
}

// learn adds the time of an answer to what is known of its service.
func (e *Engine) learn(now time.Time, r *route, rec *record, took time.Duration) {
	p := e.poolOf(rec.upstream)
	if p == nil {
		return
	}
	p.note(now, took, r.Objective)
	if rec.unqueued {
		p.learn(took)
	}
}

// lost returns why a flow's upstream cannot answer any more, or 0. One that
// announced its stop and then removed its registration has stopped. One that
// lost it otherwise may only be out of reach of the store. A request that may be
// sent again is better off elsewhere while its upstream is silent, if one of its
// own flows has shown so: a data centre may only seem silent as a whole.
func lost(r *route, u *upstream, s *Segment, repeated bool) Reason {
	departed := u.Presence == catalog.Departed
	switch {
	case departed && u.Draining:
		return UpstreamLeft
	case departed && (repeated || u.suspected()):
		return UpstreamLost
	case u.suspected() && u.strikes > 0 && r.Repeatable && s.Length > 0:
		return Unreachable
	default:
		return 0
	}
}
