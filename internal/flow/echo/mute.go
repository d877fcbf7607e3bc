package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

const (
	// lateFactor is the multiple of the typical time after which a request is late, but not
	// before minLate. Late requests are usual; that an upstream answers none meanwhile is not.
	lateFactor = 4
	minLate    = 150 * time.Millisecond
	// lateNotice is the time within which a late request is noticed. One that is noticed later
	// says nothing: this host was paused, or packets of the flow no longer come through it.
	lateNotice = 400 * time.Millisecond
	// minLateRequests and minLateHosts are the numbers of late requests, and of hosts that have
	// some, that make an upstream mute. One host is enough if it has as many.
	minLateRequests = 3
	minLateHosts    = 2
	// maxMuteFraction is the largest part of a pool that may be mute. If more upstreams answer
	// nothing, something else has failed.
	maxMuteFraction = 0.5
	// minLateSpan is the minimum time between the first and the last request without an answer
	// before flows are reset. When routers move flows to another host, the answers to all requests
	// that are in progress are acknowledged there: these were sent within a typical time.
	minLateSpan = 200 * time.Millisecond
	// lateValidity is how long a request without an answer counts for resets. An upstream that has
	// answered again since may be known to no host yet.
	lateValidity = 3 * time.Second
	// trialInterval is the mean time between two probes before a trial, and so between two trials,
	// of all hosts together.
	trialInterval = 1500 * time.Millisecond
)

// muteness tells whether an upstream accepts requests and answers none, although it answers SYNs.
// Probes do not end it. They tell an upstream that answers nothing but probes from one without a
// free slot, for example because requests hang: that one lives, so its flows are not reset, and
// it gets no trial, which would only wait there.
type muteness struct {
	// late is the number of requests of this host that are late, or have ended without an answer
	// after they were, since the upstream last answered a request of this host. sent and lastSent
	// are when the first and the last of them were sent.
	late           int
	sent, lastSent time.Time
	// since is when the upstream was found to be mute; zero if it is not. silentSince is when the
	// first request without an answer had been sent then, by any host.
	since, silentSince time.Time
	// nextProbe is when this host may probe the upstream. answersProbes is set while it has
	// answered the last probe, and trialReady if no trial has been sent since then.
	nextProbe                 time.Time
	answersProbes, trialReady bool
}

// mute reports whether the upstream seems to answer no requests. New flows avoid it.
func (u *upstream) mute() bool { return !u.muteness.since.IsZero() }

// lateRequests are the requests of an upstream that are late since its last answer, to all hosts
// as far as they are known.
type lateRequests struct {
	count, hosts   int
	sent, lastSent time.Time
}

// lateRequestsOf returns the late requests of the upstream.
func (u *upstream) lateRequestsOf(now time.Time) lateRequests {
	m := &u.muteness
	l := lateRequests{count: m.late, sent: m.sent, lastSent: m.lastSent}
	if m.late > 0 {
		l.hosts = 1
	}
	if r := &u.reported; r.Late > 0 && now.Sub(u.reportedAt) < evidence.ReportTTL {
		if sent := u.reportedAt.Add(-r.LateAge); u.answeredAt.Before(sent) {
			l.count, l.hosts = max(l.count, r.Late), max(l.hosts, r.LateHosts)
			l.lastSent = latest(l.lastSent, u.reportedAt.Add(-r.LastLateAge))
			if l.sent.IsZero() || sent.Before(l.sent) {
				l.sent = sent
			}
		}
	}
	return l
}

// confirmedMute reports whether the upstream has answered no requests for so long that its flows
// are reset. Requests that hang keep its slots until their callers give up, so later ones may be
// late although it works again. From lateValidity after the first one on, it must therefore have
// a free slot, which an answer to a probe shows.
func (e *Engine) confirmedMute(now time.Time, u *upstream) bool {
	if !u.mute() {
		return false
	}
	l := u.lateRequestsOf(now)
	silent := now.Sub(l.sent)
	return l.lastSent.Sub(l.sent) >= minLateSpan && silent >= e.silenceBeforeReset(u) &&
		(silent < lateValidity || u.muteness.answersProbes) && now.Sub(l.lastSent) < lateValidity
}

// lateAfter returns the time after which a request counts as late, or zero while the typical
// answer is unknown.
func (t *typicalAnswer) lateAfter() time.Duration {
	if t.time == 0 {
		return 0
	}
	return max(minLate, lateFactor*t.time)
}

// checkLate counts the outstanding requests of the route that have become late. Those on flows of
// a former process get no answer, so they end: they take no slot of the upstream.
func (e *Engine) checkLate(now time.Time, r *route) {
	limit := r.typical.lateAfter()
	if limit == 0 || e.options.Without.Has(MuteDetection) {
		return
	}
	for rec := r.outstanding.first; rec != nil && now.Sub(rec.requestedAt) > limit; {
		next := rec.links.next
		switch {
		case e.holderOf(rec) == FormerProcess:
			rec.endRequest()
		case !rec.late && now.Sub(rec.requestedAt) <= limit+lateNotice:
			e.countLate(now, rec)
		}
		rec = next
	}
}

// countLate counts the flow's request, which is late, unless its upstream has answered another
// one since, or no upstream has: then this host's own link is the more likely cause. One that is
// suspected does not even take packets. A flow that a former process may hold shows nothing.
func (e *Engine) countLate(now time.Time, rec *flowRecord) {
	u := rec.upstream
	if e.holderOf(rec) != CurrentProcess || u.suspected() || u.answeredAt.After(rec.requestedAt) || !e.lastResponse.After(rec.requestedAt) || now.Before(e.ignoreRetransmissionsUntil) {
		return
	}
	rec.late = true
	if u.muteness.late == 0 || rec.requestedAt.Before(u.muteness.sent) {
		u.muteness.sent = rec.requestedAt
	}
	u.muteness.late++
	u.muteness.trialReady = false
	u.muteness.lastSent = latest(u.muteness.lastSent, rec.requestedAt)
	e.noteEvidence()
	e.judgeMute(now, u)
}

// recordResponse records that the upstream has answered a request of this host.
func (e *Engine) recordResponse(now time.Time, u *upstream) {
	u.answeredAt, e.lastResponse = now, now
	if u.muteness.late > 0 || u.mute() {
		e.noteEvidence()
	}
	e.clearMute(now, u, Answered)
}

// clearMute ends the state of a mute upstream, if it is one, and forgets its late requests.
func (e *Engine) clearMute(now time.Time, u *upstream, reason Reason) {
	if u.mute() {
		if e.upstreams[u.ID] == u {
			e.muteCount-- // an upstream that left the view no longer counts
		}
		e.report(Event{Kind: Cleared, Upstream: u.Name, DataCentre: u.DataCentre, Reason: reason, Age: now.Sub(u.muteness.since)})
	}
	u.muteness = muteness{}
}

// judgeMute decides whether the upstream is mute by the late requests of all hosts.
func (e *Engine) judgeMute(now time.Time, u *upstream) {
	l := u.lateRequestsOf(now)
	enough := l.count >= minLateRequests && (l.hosts >= minLateHosts || u.muteness.late >= minLateRequests)
	if u.mute() || !enough || u.suspected() || u.Presence == catalog.Departed || !e.mayBeMute(u) {
		return
	}
	u.muteness.since, u.muteness.silentSince = now, l.sent
	e.planProbe(now, u)
	e.muteCount++
	e.report(Event{Kind: Suspected, Upstream: u.Name, DataCentre: u.DataCentre, Reason: NoResponses, UnansweredFlows: l.count, Hosts: l.hosts, Age: timeSince(now, u.answeredAt), ProcessAge: now.Sub(u.seen.since)})
}

// mayBeMute reports whether few enough upstreams of the pool are mute for another one to be.
func (e *Engine) mayBeMute(u *upstream) bool {
	p := e.poolOf(u)
	if p == nil {
		return false
	}
	mute := 1
	for _, other := range p.upstreams {
		if other.mute() {
			mute++
		}
	}
	return float64(mute) <= maxMuteFraction*float64(len(p.upstreams))
}

// judgeReportedMute applies the reports of all hosts on the late requests of the upstream.
func (e *Engine) judgeReportedMute(now time.Time, u *upstream) {
	if age := u.reported.ResponseAge; age > 0 {
		answered, m := now.Add(-age), &u.muteness
		if m.late > 0 && answered.After(m.sent) || m.late == 0 && u.mute() && answered.After(m.silentSince) {
			e.clearMute(now, u, Answered)
			return
		}
	}
	e.judgeMute(now, u)
}

// planProbe determines when this host may probe the mute upstream. The hosts do so at random, so
// that all together probe it once in each trialInterval on average.
func (e *Engine) planProbe(now time.Time, u *upstream) {
	mean := trialInterval * time.Duration(max(1, e.hosts))
	u.muteness.nextProbe = now.Add(time.Duration(e.random.ExpFloat64() * float64(mean)))
}

// trialProbeDue reports whether the upstream is mute and is to be probed now, before a trial.
func (u *upstream) trialProbeDue(now time.Time) bool {
	return u.mute() && !u.muteness.trialReady && !now.Before(u.muteness.nextProbe)
}

// chooseTrial returns a mute upstream of the pool to which a new flow of the route is sent to
// find out if it answers, or nil. Only requests that may be repeated are sent, and only to an
// upstream that has answered a probe.
func (e *Engine) chooseTrial(now time.Time, r *route, p *pool) *upstream {
	if e.muteCount == 0 || !r.Repeatable || p == nil {
		return nil
	}
	for _, u := range p.upstreams {
		if u.mute() && u.muteness.trialReady && u.acceptsFlows() && r.allows(u) && e.withinWarmup(now, u) {
			u.muteness.trialReady = false
			e.planProbe(now, u)
			return u
		}
	}
	return nil
}

// resetAtMute schedules the reset of a flow with an outstanding request that may be repeated if
// its upstream is mute, so that the caller sends it to another one. A trial has until it is
// late. It reports whether the flow is reset.
func (e *Engine) resetAtMute(now time.Time, key flowKey, rec *flowRecord) bool {
	r := e.routes[key.address]
	if r == nil || !r.Repeatable || rec.state != stateOpen || !rec.awaitingResponse || !rec.sentRequest || len(e.idleResets) >= maxIdleResets ||
		!e.confirmedMute(now, rec.upstream) || e.options.Without.Has(UnreachableReset) || rec.trial && !rec.late {
		return false
	}
	e.scheduleReset(now, key, rec, Unreachable)
	rec.endRequest()
	return true
}
