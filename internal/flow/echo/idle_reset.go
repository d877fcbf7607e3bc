package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// minSilenceBeforeReset is how long an upstream must be suspected before its flows are
	// reset, unless a probe could not reach it. A probe clears one that works within
	// probeInterval and the probe's time limit, and the hosts that have no evidence of their
	// own learn of it from the others.
	minSilenceBeforeReset = 600 * time.Millisecond
	// silenceProcessingTimes is the same in processing times of the pool: upstreams that
	// take long may answer nobody for a while.
	silenceProcessingTimes = 4
	// suspectedSweepInterval is the time between sweeps while upstreams are suspected or mute.
	suspectedSweepInterval = 250 * time.Millisecond
	// maxIdleResets is the maximum number of idle flows that wait to be reset.
	maxIdleResets = 1024
)

// idleReset is an idle flow to be reset.
type idleReset struct {
	// segment holds the flow's addresses and the sequence number that the caller expects.
	segment  Segment
	decision Decision
}

// resetIdleFlow schedules the reset of an open flow without an outstanding request if its
// upstream has left or does not answer. A request that is not repeatable cannot be sent
// again once it is on the way, so a caller that learns of the failure before its next
// request loses nothing. It reports whether the flow is reset.
func (e *Engine) resetIdleFlow(now time.Time, key flowKey, rec *flowRecord) bool {
	if rec.state != stateOpen || rec.awaitingResponse || len(e.idleResets) >= maxIdleResets {
		return false
	}
	reason := e.idleResetReason(now, rec.upstream)
	if reason == 0 {
		return false
	}
	e.scheduleReset(now, key, rec, reason)
	return true
}

// scheduleReset schedules the reset of an open flow.
func (e *Engine) scheduleReset(now time.Time, key flowKey, rec *flowRecord, reason Reason) {
	d := e.withDetail(now, Decision{Verdict: Reset, Reason: reason}, e.routes[key.address], rec.upstream, rec)
	e.idleResets = append(e.idleResets, idleReset{
		segment:  Segment{Caller: key.caller, VirtualAddress: key.address, Seq: rec.nextSeq, Ack: rec.highestAck, ACK: true},
		decision: d,
	})
	e.pendingResets.Add(1)
	rec.setState(stateClosed)
}

// idleResetReason returns why idle flows of the upstream must be reset, or 0 if they must
// not be. Suspicions of a whole data centre do not count, because that is more often cut
// off from this host than down. Neither does one of an evacuated upstream, which no probe
// can clear.
func (e *Engine) idleResetReason(now time.Time, u *upstream) Reason {
	switch {
	case e.options.Without.Has(IdleReset):
		return 0
	case u.Presence == catalog.Departed && u.Draining:
		return UpstreamLeft
	case u.suspected() && u.suspectReason != UnresponsiveDataCentre && !u.evacuated && now.Sub(u.suspectedAt) >= e.silenceBeforeReset(u):
		return UnreachableIdle
	case e.confirmedMute(now, u):
		return UnreachableIdle
	default:
		return 0
	}
}

// confirmedSilent reports whether the upstream is suspected, and a probe could not reach it or
// it has been suspected for long. One that works may leave two flows unanswered for a moment,
// for example while it collects garbage.
func (e *Engine) confirmedSilent(now time.Time, u *upstream) bool {
	return u.suspected() && (u.unreachable || now.Sub(u.suspectedAt) >= e.silenceBeforeReset(u))
}

// silenceBeforeReset returns how long the upstream must be suspected before its flows are
// reset without a probe that could not reach it.
func (e *Engine) silenceBeforeReset(u *upstream) time.Duration {
	if p := e.poolOf(u); p != nil {
		return max(minSilenceBeforeReset, silenceProcessingTimes*p.processingTime)
	}
	return minSilenceBeforeReset
}

// sweepDue reports whether it is time for a sweep.
func (e *Engine) sweepDue(now time.Time) bool {
	since := now.Sub(e.lastSweep)
	return since >= sweepInterval || e.suspectedCount+e.muteCount > 0 && since >= suspectedSweepInterval
}

// PendingResets returns the number of idle flows that wait to be reset.
func (e *Engine) PendingResets() int { return int(e.pendingResets.Load()) }

// NextReset returns the next idle flow to reset and the decision on it. It returns false if
// there is none.
func (e *Engine) NextReset() (flow Segment, d Decision, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idleResets) == 0 {
		return Segment{}, Decision{}, false
	}
	next := e.idleResets[0]
	e.idleResets = e.idleResets[1:]
	if len(e.idleResets) == 0 {
		e.idleResets = nil // releases the array
	}
	e.pendingResets.Add(-1)
	return next.segment, next.decision, true
}
