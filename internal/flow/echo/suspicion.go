package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// minRetransmitDelay is the shortest time after the first copy of a packet at which
	// another copy counts as a retransmission. Earlier ones are taken for reordered
	// packets, because callers retransmit after 200 ms at the earliest.
	minRetransmitDelay = 150 * time.Millisecond
	// suspectThreshold is the number of flows that must retransmit, with no answer
	// from the upstream to any flow meanwhile, before the upstream is suspected.
	// Two are required so that the loss of a single packet is not enough.
	suspectThreshold = 2
	// dataCentreSuspectThreshold is the number of suspected upstreams in a remote
	// data centre, with no answer from any other upstream there meanwhile, at which
	// all of its upstreams are suspected.
	dataCentreSuspectThreshold = 2
	// probeInterval is the time between probes of a suspected upstream.
	probeInterval = 300 * time.Millisecond
	// initialHoldDown is how long probes cannot clear an upstream that is suspected
	// again without having answered a flow since it was last cleared. The time doubles
	// with each further suspicion by this host's own evidence, up to maxHoldDown.
	initialHoldDown = time.Second
	maxHoldDown     = 8 * time.Second
	// pauseGap is the time without any packet after which retransmissions are
	// ignored for pauseGrace, because the host itself may have been paused.
	pauseGap = 400 * time.Millisecond
	// pauseGrace is how long retransmissions are ignored after a pause. It exceeds
	// the time taken to read the packets that queued in the socket.
	pauseGrace = 250 * time.Millisecond
)

// suspicion is the failure detector's state for one upstream. It is based on this
// host's own flows and on the reports of other hosts.
type suspicion struct {
	// unansweredFlows is the number of flows that have retransmitted since the
	// upstream's last answer.
	unansweredFlows int
	// strikeSent is when the first of the packets was sent that make unansweredFlows.
	strikeSent time.Time
	// byReports is set if the upstream is suspected because of other hosts' reports.
	byReports bool
	// lastAnswer is when the upstream last answered a flow of this host.
	lastAnswer time.Time
	// suspectedAt is when the upstream became suspected, or zero if it is not.
	suspectedAt time.Time
	// suspectReason is why the upstream is suspected.
	suspectReason Reason
	// lastProbe is when the last probe of the suspected upstream began. unreachable is set if
	// the last one that ended could not reach it.
	lastProbe   time.Time
	unreachable bool
	// holdDown is how long probes cannot clear the upstream the next time that it is
	// suspected. holdDownUntil is the end of that time for the current suspicion.
	holdDown      time.Duration
	holdDownUntil time.Time
	// strikeSeries increases whenever unansweredFlows is set back to zero, so that each
	// flow is counted in it at most once between two resets.
	strikeSeries uint32
}

// suspected reports whether the upstream is suspected to have failed.
func (s *suspicion) suspected() bool { return !s.suspectedAt.IsZero() }

// dataCentreHealth is the failure detector's state for one data centre.
type dataCentreHealth struct {
	// lastAnswer is when any upstream there last answered a flow of this host.
	lastAnswer time.Time
	silence    dataCentreSilence
}

// recordRetransmission counts the flow as unanswered by its upstream because of a
// retransmission of a packet first sent at the given time, and suspects the upstream
// at suspectThreshold. The flow counts only if its upstream has answered no flow since
// that time and another upstream has. If none has, this host's own link is the more
// likely cause. A packet that was sent before this host saw the upstream's process may have
// been lost with the former one.
func (e *Engine) recordRetransmission(now time.Time, rec *flowRecord, sent time.Time) {
	u := rec.upstream
	if e.options.Without.Has(Suspicion) || now.Sub(sent) < minRetransmitDelay || now.Before(e.ignoreRetransmissionsUntil) || u.lastAnswer.After(sent) {
		return
	}
	e.recordSilence(now, u, sent)
	if !e.lastAnswer.After(sent) || sent.Before(u.seen.since) {
		return
	}
	if rec.countedSeries == u.strikeSeries+1 {
		return
	}
	rec.countedSeries = u.strikeSeries + 1
	if u.unansweredFlows == 0 || sent.Before(u.strikeSent) {
		u.strikeSent = sent
	}
	u.unansweredFlows++
	e.noteEvidence()
	if u.unansweredFlows < suspectThreshold || u.suspected() && !u.byReports {
		return
	}
	if u.suspected() {
		u.byReports, u.suspectReason = false, Retransmissions // this host now has evidence of its own
		e.startHoldDown(now, u)
		return
	}
	e.suspect(now, u, Retransmissions)
	e.checkDataCentre(now, u)
}

// checkDataCentre suspects every upstream of u's data centre if enough of them are
// suspected and no upstream there has answered since minRetransmitDelay before the
// first of them was suspected. The host's own data centre is never suspected as a
// whole. One that is evacuated may be, so that its open flows are reset when they go
// unanswered; probes clear its upstreams once it takes flows again.
func (e *Engine) checkDataCentre(now time.Time, u *upstream) {
	if u.local || e.options.Without.Has(DataCentreSuspicion) {
		return
	}
	suspected := 0
	var earliest time.Time
	for _, other := range e.upstreams {
		if other.DataCentre != u.DataCentre || !other.suspected() || other.Presence == catalog.Departed {
			continue
		}
		suspected++
		if earliest.IsZero() || other.suspectedAt.Before(earliest) {
			earliest = other.suspectedAt
		}
	}
	if suspected < dataCentreSuspectThreshold || e.dataCentres[u.DataCentre].lastAnswer.After(earliest.Add(-minRetransmitDelay)) {
		return
	}
	for _, other := range e.upstreams {
		if other.DataCentre == u.DataCentre && !other.suspected() && other.Presence != catalog.Departed {
			e.suspect(now, other, UnresponsiveDataCentre)
		}
	}
}

// suspect marks an upstream as suspected. New flows avoid it until it answers a flow,
// a probe clears it or a new process uses its ID.
func (e *Engine) suspect(now time.Time, u *upstream, reason Reason) {
	e.clearMute(now, u, reason) // its requests are late because it takes no packets
	u.suspectedAt, u.suspectReason, u.lastProbe = now, reason, time.Time{}
	u.byReports = reason == Reported
	if u.byReports {
		u.holdDownUntil = now.Add(u.holdDown)
	} else {
		e.startHoldDown(now, u)
	}
	e.suspectedCount++
	e.report(Event{Kind: Suspected, Upstream: u.Name, DataCentre: u.DataCentre, Reason: reason, UnansweredFlows: u.unansweredFlows, Hosts: u.reported.SilentHosts, Age: timeSince(now, u.lastAnswer), ProcessAge: now.Sub(u.seen.since)})
}

// startHoldDown starts the hold-down of a suspicion by this host's own evidence, and makes
// that of the next one longer.
func (e *Engine) startHoldDown(now time.Time, u *upstream) {
	u.holdDownUntil = now.Add(u.holdDown)
	if !e.options.Without.Has(HoldDown) {
		u.holdDown = min(maxHoldDown, max(initialHoldDown, 2*u.holdDown))
	}
}

// recordAnswer records that the upstream answered a flow of this host.
func (e *Engine) recordAnswer(now time.Time, u *upstream) {
	u.lastAnswer, e.lastAnswer = now, now
	u.unansweredFlows = 0
	u.holdDown = 0
	u.strikeSeries++
	if health := e.dataCentres[u.DataCentre]; health != nil {
		health.lastAnswer, health.silence = now, dataCentreSilence{}
	}
	e.clearSuspicion(now, u, Answered)
}

// clearSuspicion ends the suspicion of an upstream, if any.
func (e *Engine) clearSuspicion(now time.Time, u *upstream, reason Reason) {
	if !u.suspected() {
		return
	}
	if e.upstreams[u.ID] == u {
		e.suspectedCount-- // an upstream that left the view no longer counts
	}
	e.report(Event{Kind: Cleared, Upstream: u.Name, DataCentre: u.DataCentre, Reason: reason, Age: timeSince(now, u.suspectedAt)})
	u.suspectedAt, u.byReports, u.unreachable = time.Time{}, false, false
	u.unansweredFlows = 0
	u.strikeSeries++
}

// detectPause is called for each packet. If none has arrived for longer than
// pauseGap, retransmissions are ignored for pauseGrace.
func (e *Engine) detectPause(now time.Time) {
	if !e.lastPacket.IsZero() && now.Sub(e.lastPacket) > pauseGap && !e.options.Without.Has(PauseGrace) {
		e.ignoreRetransmissionsUntil = now.Add(pauseGrace)
	}
	e.lastPacket = now
}

// timeSince returns the time from then to now, or zero if then is not set.
func timeSince(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}
