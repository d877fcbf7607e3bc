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
	// minLateRequests and minLateHosts are the numbers of late requests, and of hosts that have
	// some, that make an upstream mute. One host is enough if it has as many.
	minLateRequests = 3
	minLateHosts    = 2
	// maxMuteFraction is the largest part of a pool that may be mute. If more upstreams answer
	// nothing, something else has failed.
	maxMuteFraction = 0.5
	// trialInterval is the mean time between two requests that all hosts together send to a mute
	// upstream to find out if it answers. It grows to a quarter of the time since it fell mute.
	trialInterval = 2 * time.Second
	trialFraction = 4
)

// muteness tells whether an upstream accepts requests and answers none. Probes do not show it:
// they are answered, and so are SYNs.
type muteness struct {
	// late is the number of requests of this host that are late, or have ended without an answer
	// after they were, since the upstream last answered a request of this host. sent is when the
	// first of them was sent.
	late int
	sent time.Time
	// since is when the upstream was found to be mute; zero if it is not. silentSince is when the
	// first request without an answer was sent, by any host.
	since, silentSince time.Time
	// nextTrial is when this host may send it a request again.
	nextTrial time.Time
}

// mute reports whether the upstream answers no requests.
func (u *upstream) mute() bool { return !u.muteness.since.IsZero() }

// confirmedMute reports whether the upstream has answered no request for so long that its flows
// are reset. One that works may stall for a moment.
func (e *Engine) confirmedMute(now time.Time, u *upstream) bool {
	return u.mute() && now.Sub(u.muteness.silentSince) >= e.silenceBeforeReset(u)
}

// lateAfter returns the time after which a request counts as late, or zero while the typical
// answer is unknown.
func (t *typicalAnswer) lateAfter() time.Duration {
	if t.time == 0 {
		return 0
	}
	return max(minLate, lateFactor*t.time)
}

// checkLate counts the outstanding requests of the route that have become late.
func (e *Engine) checkLate(now time.Time, r *route) {
	limit := r.typical.lateAfter()
	if limit == 0 || e.options.Without.Has(MuteDetection) {
		return
	}
	for rec := r.outstanding.first; rec != nil && now.Sub(rec.requestedAt) > limit; rec = rec.links.next {
		e.countLate(now, rec)
	}
}

// countLate counts the flow's request, which is late, unless its upstream has answered another
// one since, or no upstream has: then this host's own link is the more likely cause.
func (e *Engine) countLate(now time.Time, rec *flowRecord) {
	u := rec.upstream
	if rec.late || u.answeredAt.After(rec.requestedAt) || !e.lastResponse.After(rec.requestedAt) || now.Before(e.ignoreRetransmissionsUntil) {
		return
	}
	rec.late = true
	if u.muteness.late == 0 || rec.requestedAt.Before(u.muteness.sent) {
		u.muteness.sent = rec.requestedAt
	}
	u.muteness.late++
	e.noteEvidence()
	e.judgeMute(now, u)
}

// recordResponse records that the upstream has answered a request of this host.
func (e *Engine) recordResponse(now time.Time, u *upstream) {
	u.answeredAt, e.lastResponse = now, now
	if u.muteness.late > 0 || u.mute() {
		e.noteEvidence()
	}
	e.clearMute(now, u)
}

// clearMute ends the state of a mute upstream, if it is one, and forgets its late requests.
func (e *Engine) clearMute(now time.Time, u *upstream) {
	if u.mute() {
		if e.upstreams[u.ID] == u {
			e.muteCount-- // an upstream that left the view no longer counts
		}
		e.report(Event{Kind: Cleared, Upstream: u.Name, DataCentre: u.DataCentre, Reason: Answered, Age: now.Sub(u.muteness.since)})
	}
	u.muteness = muteness{}
}

// judgeMute decides whether the upstream is mute by the late requests of all hosts.
func (e *Engine) judgeMute(now time.Time, u *upstream) {
	m := &u.muteness
	late, hosts, silentSince := m.late, 0, m.sent
	if m.late > 0 {
		hosts = 1
	}
	if reported := &u.reported; now.Sub(u.reportedAt) < evidence.ReportTTL && reported.Late > 0 {
		since := u.reportedAt.Add(-reported.LateAge)
		if u.answeredAt.Before(since) {
			late, hosts = max(late, reported.Late), max(hosts, reported.LateHosts)
			if silentSince.IsZero() || since.Before(silentSince) {
				silentSince = since
			}
		}
	}
	enough := late >= minLateRequests && (hosts >= minLateHosts || m.late >= minLateRequests)
	if u.mute() || !enough || u.Presence == catalog.Departed || !e.mayBeMute(u) {
		return
	}
	m.since, m.silentSince = now, silentSince
	m.nextTrial = e.nextTrial(now, u)
	e.muteCount++
	e.report(Event{Kind: Suspected, Upstream: u.Name, DataCentre: u.DataCentre, Reason: NoResponses, UnansweredFlows: late, Hosts: hosts, Age: timeSince(now, u.answeredAt)})
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
			e.clearMute(now, u)
			return
		}
	}
	e.judgeMute(now, u)
}

// nextTrial returns when this host may send the mute upstream another request. The hosts do so
// at random, so that together they rarely exceed the rate that trialInterval gives.
func (e *Engine) nextTrial(now time.Time, u *upstream) time.Time {
	mean := max(trialInterval, now.Sub(u.muteness.since)/trialFraction) * time.Duration(max(1, e.hosts))
	return now.Add(time.Duration(e.random.ExpFloat64() * float64(mean)))
}

// chooseTrial returns a mute upstream of the pool to which a new flow of the route is sent to
// find out if it answers, or nil. Only requests that may be repeated are sent.
func (e *Engine) chooseTrial(now time.Time, r *route, p *pool) *upstream {
	if e.muteCount == 0 || !r.Repeatable || p == nil {
		return nil
	}
	for _, u := range p.upstreams {
		if u.mute() && u.acceptsFlows() && !u.suspected() && !now.Before(u.muteness.nextTrial) && r.allows(u) && e.withinWarmup(now, u) {
			u.muteness.nextTrial = e.nextTrial(now, u)
			return u
		}
	}
	return nil
}

// resetAtMute schedules the reset of a flow with an outstanding request that may be repeated if
// its upstream is mute, so that the caller sends it to another one. A trial has until it is
// overdue. It reports whether the flow is reset.
func (e *Engine) resetAtMute(now time.Time, key flowKey, rec *flowRecord) bool {
	r := e.routes[key.address]
	if r == nil || !r.Repeatable || rec.state != stateOpen || !rec.awaitingResponse || !rec.sentRequest || len(e.idleResets) >= maxIdleResets ||
		!e.confirmedMute(now, rec.upstream) || e.options.Without.Has(UnreachableReset) || rec.trial && !r.isOverdue(now, rec) {
		return false
	}
	e.scheduleReset(now, key, rec, Unreachable)
	rec.endRequest()
	return true
}
