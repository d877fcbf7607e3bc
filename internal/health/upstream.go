package health

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Thresholds of state changes.
const (
	// fall is the number of failed checks in a row that make an upstream suspect.
	fall = 3
	// rise is the number of passed checks in a row that end suspicion or draining.
	rise = 2
	// blip is the length of a suspicion after which an upstream is taken to have
	// restarted, so that it starts slowly.
	blip = 10 * time.Second
	// minRamp is the share of a starting upstream at the beginning of its slow start.
	minRamp = 0.1
	// goneRetention is how long an upstream without flows stays in the view.
	goneRetention = time.Minute
)

// condition is what checks say of an upstream.
type condition uint8

const (
	// unchecked upstreams have not been checked yet.
	unchecked condition = iota
	healthy
	failing
	leaving
)

// tracked is what is known of one upstream.
type tracked struct {
	key        Key
	definition service.Upstream
	drainLimit time.Duration
	slowStart  time.Duration
	// present is unset once the upstream is out of the configuration.
	present bool

	condition condition
	passes    int
	failures  int
	// refused is set while the last check was refused.
	refused bool
	// restarted is set when a check was refused during the present suspicion.
	restarted bool
	detail    string
	// failingSince is when the present suspicion began.
	failingSince time.Time
	// rampFrom is when the slow start began; zero when there is none.
	rampFrom time.Time
	// waiting is set while a new upstream has not passed its first check.
	waiting bool
	// drainingSince is when new work ended; zero when the upstream is not draining.
	drainingSince time.Time

	load  loadTracker
	shown Upstream
}

// observe takes in the result of a check.
func (t *tracked) observe(now time.Time, check Check) {
	t.detail = check.Detail
	if check.Report != nil {
		t.load.observe(now, t.definition, *check.Report)
	}
	t.refused = check.Outcome == Refused
	switch check.Outcome {
	case Passed:
		t.passed(now)
	case ReportedDraining:
		t.passes, t.failures = 0, 0
		t.condition, t.waiting = leaving, false
	case Failed, Refused:
		t.failed(now)
	}
}

// passed counts a passed check.
func (t *tracked) passed(now time.Time) {
	t.failures = 0
	t.passes++
	if t.condition == healthy || t.condition != unchecked && t.passes < rise {
		return
	}
	if t.waiting || t.condition == leaving || t.condition == failing && t.isCold(now) {
		t.rampFrom = now
	}
	t.condition, t.waiting = healthy, false
}

// isCold reports whether an upstream that recovers is taken to have restarted.
func (t *tracked) isCold(now time.Time) bool {
	return t.restarted || now.Sub(t.failingSince) >= blip
}

// failed counts a failed check. An upstream that never passed one is suspect at once.
func (t *tracked) failed(now time.Time) {
	t.passes = 0
	t.failures++
	if t.condition == failing {
		t.restarted = t.restarted || t.refused
		return
	}
	if t.failures < fall && t.condition != unchecked {
		return
	}
	if t.condition == leaving {
		return
	}
	t.condition, t.failingSince, t.restarted = failing, now, t.refused
}

// ramp returns the share of its weight that the upstream may take.
func (t *tracked) ramp(now time.Time) float64 {
	if t.waiting {
		return 0
	}
	if t.rampFrom.IsZero() || t.slowStart <= 0 {
		return 1
	}
	progress := float64(now.Sub(t.rampFrom)) / float64(t.slowStart)
	if progress >= 1 {
		t.rampFrom = time.Time{}
		return 1
	}
	return max(minRamp, progress)
}

// drains reports whether the upstream takes no new work, and why.
func (t *tracked) drains() (string, bool) {
	switch {
	case !t.present:
		return "removed from the configuration", true
	case t.definition.State == service.AdminDraining:
		return "drained by the operator", true
	case t.condition == leaving:
		return "the upstream reports that it is draining", true
	default:
		return "", false
	}
}

// decide returns the state and the reason for it; distrusted means that the
// service's failed checks are not believed.
func (t *tracked) decide(now time.Time, distrusted string) (State, string) {
	if reason, draining := t.drains(); draining {
		return t.decideDraining(now, reason)
	}
	if t.shown.State == Gone {
		t.rampFrom = now
	}
	t.drainingSince = time.Time{}
	ramp := t.ramp(now)
	switch {
	case t.condition == failing && distrusted != "":
		return Up, distrusted
	case t.condition == failing:
		return Suspect, "health check failed: " + t.detail
	case t.waiting:
		return Joining, "waits for its first passed check"
	case ramp < 1:
		return Joining, "slow start"
	case t.condition == unchecked:
		return Up, "not checked yet"
	default:
		return Up, "health check passed"
	}
}

// decideDraining returns Gone once the drain limit has passed or the upstream has
// stopped.
func (t *tracked) decideDraining(now time.Time, reason string) (State, string) {
	if t.drainingSince.IsZero() {
		t.drainingSince = now
	}
	switch {
	case t.shown.State == Gone:
		return Gone, t.shown.Reason
	case now.Sub(t.drainingSince) >= t.drainLimit:
		return Gone, reason + "; the drain limit has passed"
	case t.refused && t.failures >= fall:
		return Gone, reason + "; it has stopped"
	default:
		return Draining, reason
	}
}
