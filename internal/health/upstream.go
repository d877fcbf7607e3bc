package health

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Parameters of state changes.
const (
	// unhealthyThreshold is the number of consecutive failed checks after which an
	// upstream is failing.
	unhealthyThreshold = 3
	// healthyThreshold is the number of consecutive passed checks after which an
	// upstream that failed or reported draining is healthy again.
	healthyThreshold = 2
	// restartAssumedAfter is how long an upstream must have been failing to be
	// regarded as restarted when it recovers, so that it gets a slow start.
	restartAssumedAfter = 10 * time.Second
	// initialRamp is the share of work that an upstream takes at the beginning of
	// its slow start.
	initialRamp = 0.1
	// goneRetention is how long an upstream that is Gone and no longer configured
	// stays in the view.
	goneRetention = time.Minute
)

// condition is the health of an upstream according to its checks alone.
type condition uint8

const (
	// unchecked upstreams have not been checked yet.
	unchecked condition = iota
	healthy
	failing
	// drainReported upstreams have reported that they are draining.
	drainReported
)

// trackedUpstream is the tracking state of one upstream.
type trackedUpstream struct {
	key        Key
	definition service.Upstream
	drainLimit time.Duration
	slowStart  time.Duration
	// configured is unset once the upstream is removed from the configuration.
	configured bool

	condition           condition
	consecutivePasses   int
	consecutiveFailures int
	// lastRefused is set if the last check had the outcome Refused.
	lastRefused bool
	// refusedWhileFailing is set if a check was refused since failingSince.
	refusedWhileFailing bool
	// lastDetail is the Detail of the last check.
	lastDetail string
	// failingSince is when the upstream was last found failing.
	failingSince time.Time
	// slowStartSince is when the slow start began, or zero if there is none.
	slowStartSince time.Time
	// awaitingFirstPass is set until an upstream added to a known service passes a
	// check or reports draining.
	awaitingFirstPass bool
	// drainingSince is when draining began, or zero if the upstream is not draining.
	drainingSince time.Time

	load loadTracker
	// entry is the upstream's entry in the view.
	entry Upstream
}

// observe records the result of a check.
func (u *trackedUpstream) observe(now time.Time, check Check) {
	u.lastDetail = check.Detail
	if check.Report != nil {
		u.load.observe(now, u.definition, *check.Report)
	}
	u.lastRefused = check.Outcome == Refused
	switch check.Outcome {
	case Passed:
		u.recordPass(now)
	case ReportedDraining:
		u.consecutivePasses, u.consecutiveFailures = 0, 0
		u.condition, u.awaitingFirstPass = drainReported, false
	case Failed, Refused:
		u.recordFailure(now)
	}
}

// recordPass counts a passed check. An upstream that was new, draining or restarted
// begins its slow start when it becomes healthy.
func (u *trackedUpstream) recordPass(now time.Time) {
	u.consecutiveFailures = 0
	u.consecutivePasses++
	if u.condition == healthy || u.condition != unchecked && u.consecutivePasses < healthyThreshold {
		return
	}
	if u.awaitingFirstPass || u.condition == drainReported || u.condition == failing && u.restartAssumed(now) {
		u.slowStartSince = now
	}
	u.condition, u.awaitingFirstPass = healthy, false
}

// restartAssumed reports whether a recovering upstream is regarded as restarted:
// it refused connections or was failing for restartAssumedAfter.
func (u *trackedUpstream) restartAssumed(now time.Time) bool {
	return u.refusedWhileFailing || now.Sub(u.failingSince) >= restartAssumedAfter
}

// recordFailure counts a failed check. An upstream whose first check fails is failing
// at once. One that reported draining keeps that condition.
func (u *trackedUpstream) recordFailure(now time.Time) {
	u.consecutivePasses = 0
	u.consecutiveFailures++
	if u.condition == failing {
		u.refusedWhileFailing = u.refusedWhileFailing || u.lastRefused
		return
	}
	if u.consecutiveFailures < unhealthyThreshold && u.condition != unchecked {
		return
	}
	if u.condition == drainReported {
		return
	}
	u.condition, u.failingSince, u.refusedWhileFailing = failing, now, u.lastRefused
}

// ramp returns the fraction of its full share that the upstream may take, and ends
// the slow start when its time is over.
func (u *trackedUpstream) ramp(now time.Time) float64 {
	if u.awaitingFirstPass {
		return 0
	}
	if u.slowStartSince.IsZero() || u.slowStart <= 0 {
		return 1
	}
	progress := float64(now.Sub(u.slowStartSince)) / float64(u.slowStart)
	if progress >= 1 {
		u.slowStartSince = time.Time{}
		return 1
	}
	return max(initialRamp, progress)
}

// drainReason returns why the upstream is draining, and false if it is not.
func (u *trackedUpstream) drainReason() (string, bool) {
	switch {
	case !u.configured:
		return "removed from the configuration", true
	case u.definition.State == service.AdminDraining:
		return "drained by the operator", true
	case u.condition == drainReported:
		return "the upstream reports that it is draining", true
	default:
		return "", false
	}
}

// determineState returns the state and the reason for it. A non-empty ignoreReason says
// why the upstream's failed checks are ignored.
func (u *trackedUpstream) determineState(now time.Time, ignoreReason string) (State, string) {
	if reason, draining := u.drainReason(); draining {
		return u.determineDrainingState(now, reason)
	}
	if u.entry.State == Gone {
		u.slowStartSince = now
	}
	u.drainingSince = time.Time{}
	ramp := u.ramp(now)
	switch {
	case u.condition == failing && ignoreReason != "":
		return Up, ignoreReason
	case u.condition == failing:
		return Suspect, "health check failed: " + u.lastDetail
	case u.awaitingFirstPass:
		return Joining, "waiting for the first passed check"
	case ramp < 1:
		return Joining, "slow start"
	case u.condition == unchecked:
		return Up, "not checked yet"
	default:
		return Up, "health check passed"
	}
}

// determineDrainingState returns the state of a draining upstream: Gone once the drain
// limit has passed or the upstream refuses connections, otherwise Draining.
func (u *trackedUpstream) determineDrainingState(now time.Time, reason string) (State, string) {
	if u.drainingSince.IsZero() {
		u.drainingSince = now
	}
	switch {
	case u.entry.State == Gone:
		return Gone, u.entry.Reason
	case now.Sub(u.drainingSince) >= u.drainLimit:
		return Gone, reason + "; the drain limit has passed"
	case u.lastRefused && u.consecutiveFailures >= unhealthyThreshold:
		return Gone, reason + "; the upstream refuses connections"
	default:
		return Draining, reason
	}
}
