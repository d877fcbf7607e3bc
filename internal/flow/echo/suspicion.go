package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// minRetransmitDelay is the least time after the first copy at which a packet
	// counts as a retransmission rather than as reordered. Callers retransmit after
	// 200 ms at the earliest.
	minRetransmitDelay = 150 * time.Millisecond
	// suspectThreshold is the number of flows that must retransmit, with no answer
	// from the upstream to any flow meanwhile, before the upstream is suspected.
	// With two, the loss of a single packet is not enough.
	suspectThreshold = 2
	// dataCentreSuspectThreshold is the number of suspected upstreams in a remote
	// data centre, with no answer from any other upstream there meanwhile, at which
	// all of its upstreams are suspected.
	dataCentreSuspectThreshold = 2
	// probeInterval is the time between probes of a suspected upstream.
	probeInterval = 300 * time.Millisecond
	// initialHold is how long probes cannot clear an upstream that is suspected
	// again without having answered a flow since it was last cleared. The hold
	// doubles each time, up to maxHold.
	initialHold = time.Second
	maxHold     = 8 * time.Second
	// pauseGap is the time without any packet after which retransmissions are
	// ignored for a while, because the host itself may have been paused.
	pauseGap = 400 * time.Millisecond
	// pauseGrace is how long retransmissions are ignored after a pause. It exceeds
	// the time taken to read the packets that queued in the socket.
	pauseGrace = 250 * time.Millisecond
)

// suspicion is the failure detector's state for one upstream. It is based on this
// host's own flows only.
type suspicion struct {
	// unansweredFlows counts the flows that have retransmitted since the last answer.
	unansweredFlows int
	// lastAnswer is when the upstream last answered a flow of this host.
	lastAnswer time.Time
	// suspectedAt is when the upstream became suspected; zero when it is not.
	suspectedAt time.Time
	// lastProbe is when the last probe of the suspected upstream began.
	lastProbe time.Time
	// hold is how long probes cannot clear the upstream when it is next suspected;
	// heldUntil is the end of the present hold.
	hold      time.Duration
	heldUntil time.Time
	// answerEpoch increases with each answer and whenever the suspicion is cleared,
	// so that each flow is counted once in unansweredFlows in between.
	answerEpoch uint32
}

func (s *suspicion) suspected() bool { return !s.suspectedAt.IsZero() }

// dataCentreHealth is the failure detector's state for one data centre.
type dataCentreHealth struct {
	// lastAnswer is when any upstream there last answered a flow of this host.
	lastAnswer time.Time
}

// recordRetransmission counts a retransmission of a packet first sent at the given
// time against the flow's upstream. It counts only if the upstream has answered no
// flow since, while another upstream has: if none answers, this host's own link is
// the more likely cause.
func (e *Engine) recordRetransmission(now time.Time, rec *record, sent time.Time) {
	u := rec.upstream
	if now.Sub(sent) < minRetransmitDelay || now.Before(e.ignoreRetransmissionsUntil) || u.lastAnswer.After(sent) || !e.lastAnswer.After(sent) {
		return
	}
	if rec.countedEpoch == u.answerEpoch+1 {
		return
	}
	rec.countedEpoch = u.answerEpoch + 1
	u.unansweredFlows++
	if u.unansweredFlows < suspectThreshold || u.suspected() {
		return
	}
	e.suspect(now, u, RepeatedPackets)
	e.checkDataCentre(now, u)
}

// checkDataCentre suspects every upstream of u's data centre if enough of them are
// suspected and none has answered since shortly before the first suspicion. The
// host's own data centre is never suspected as a whole.
func (e *Engine) checkDataCentre(now time.Time, u *upstream) {
	if u.local {
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
			e.suspect(now, other, SilentSite)
		}
	}
}

// suspect marks an upstream as suspected. New flows avoid it until it answers a
// flow or a probe clears it.
func (e *Engine) suspect(now time.Time, u *upstream, reason Reason) {
	u.suspectedAt, u.lastProbe, u.heldUntil = now, time.Time{}, now.Add(u.hold)
	u.hold = min(maxHold, max(initialHold, 2*u.hold))
	e.suspectedCount++
	e.report(Event{Kind: Suspected, Upstream: u.Name, DataCentre: u.DataCentre, Reason: reason, UnansweredFlows: u.unansweredFlows, Age: timeSince(now, u.lastAnswer)})
}

// recordAnswer records that the upstream answered a flow of this host.
func (e *Engine) recordAnswer(now time.Time, u *upstream) {
	u.lastAnswer, e.lastAnswer = now, now
	u.unansweredFlows = 0
	u.hold = 0
	u.answerEpoch++
	if health := e.dataCentres[u.DataCentre]; health != nil {
		health.lastAnswer = now
	}
	e.clearSuspicion(now, u, Answered)
}

// clearSuspicion ends the suspicion of an upstream, if any.
func (e *Engine) clearSuspicion(now time.Time, u *upstream, reason Reason) {
	if !u.suspected() {
		return
	}
	e.suspectedCount--
	e.report(Event{Kind: Cleared, Upstream: u.Name, DataCentre: u.DataCentre, Reason: reason, Age: timeSince(now, u.suspectedAt)})
	u.suspectedAt = time.Time{}
	u.unansweredFlows = 0
	u.answerEpoch++
}

// detectPause ignores retransmissions for pauseGrace if no packet has arrived for
// longer than pauseGap.
func (e *Engine) detectPause(now time.Time) {
	if !e.lastPacket.IsZero() && now.Sub(e.lastPacket) > pauseGap {
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
