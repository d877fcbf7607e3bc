package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Thresholds for failing open: a service whose upstreams mostly fail their checks
// ignores the failures. The share is the part of the service's weight held by
// upstreams that are not failing. The two values differ so that a service whose share
// fluctuates around a threshold does not flap.
const (
	// failOpenBelow is the share below which a service fails open.
	failOpenBelow = 0.5
	// failOpenUntil is the share from which failed checks count again.
	failOpenUntil = 0.6
)

// refreshInterval is the time after which Step is due if no check changes a condition.
const refreshInterval = 500 * time.Millisecond

// Tracker determines the states of all upstreams. It is a state machine without
// I/O: the caller runs the checks and passes in their results and the time.
type Tracker struct {
	byKey map[Key]*trackedUpstream
	// sorted holds the same upstreams, sorted by service and name.
	sorted []*trackedUpstream
	// failOpen is the set of services whose failed checks are ignored.
	failOpen map[service.ID]bool
	// configured is set once a configuration has been applied.
	configured bool
	view       View
	// changed is set when view has changed since the last call of TakeChanged.
	changed bool
}

// NewTracker returns a tracker without upstreams.
func NewTracker() *Tracker {
	return &Tracker{byKey: make(map[Key]*trackedUpstream), failOpen: make(map[service.ID]bool)}
}

// Adopt applies a configuration: it starts tracking new upstreams and drains those
// that are no longer configured.
func (t *Tracker) Adopt(now time.Time, snapshot *config.Snapshot) {
	for _, u := range t.sorted {
		u.configured = false
	}
	knownServices := make(map[service.ID]bool)
	for _, u := range t.sorted {
		knownServices[u.key.Service] = true
	}
	for i := range snapshot.Services {
		t.adoptService(&snapshot.Services[i], knownServices[snapshot.Services[i].ID])
	}
	t.configured = true
	t.Step(now)
}

// adoptService applies the configuration of one service. An upstream whose address
// has changed is tracked as a new one. A new upstream waits for its first passed
// check only if the service was known before: when all upstreams are new, there is
// no other one to take the work.
func (t *Tracker) adoptService(s *service.Service, serviceKnown bool) {
	for _, definition := range s.Upstreams {
		key := Key{Service: s.ID, Name: definition.Name}
		u := t.byKey[key]
		if u == nil || u.definition.Address != definition.Address {
			if u != nil {
				t.remove(u)
			}
			u = &trackedUpstream{key: key, awaitingFirstPass: serviceKnown}
			t.add(u)
		}
		u.definition = definition
		u.drainLimit, u.slowStart = s.DrainLimit, s.SlowStart
		u.configured = true
	}
}

func (t *Tracker) add(u *trackedUpstream) {
	t.byKey[u.key] = u
	index, _ := slices.BinarySearchFunc(t.sorted, u, compareTracked)
	t.sorted = slices.Insert(t.sorted, index, u)
}

func (t *Tracker) remove(u *trackedUpstream) {
	delete(t.byKey, u.key)
	t.sorted = slices.DeleteFunc(t.sorted, func(other *trackedUpstream) bool { return other == u })
}

func compareTracked(a, b *trackedUpstream) int {
	return cmp.Or(cmp.Compare(a.key.Service, b.key.Service), cmp.Compare(a.key.Name, b.key.Name))
}

// Observe records the result of a check. It reports whether the upstream's condition,
// or whether it refuses connections, has changed. The caller should then call Step at
// once.
func (t *Tracker) Observe(now time.Time, check Check) bool {
	u := t.byKey[check.Key]
	if u == nil {
		return false
	}
	condition, refused := u.condition, u.lastRefused
	u.observe(now, check)
	return u.condition != condition || u.lastRefused != refused
}

// Step updates the view from the recorded checks and the current time.
func (t *Tracker) Step(now time.Time) {
	upstreams := make([]Upstream, 0, len(t.sorted))
	for rest := t.sorted; len(rest) > 0; {
		n := slices.IndexFunc(rest, func(u *trackedUpstream) bool { return u.key.Service != rest[0].key.Service })
		if n < 0 {
			n = len(rest)
		}
		upstreams = t.stepService(now, rest[:n], upstreams)
		rest = rest[n:]
	}
	t.removeGone(now)
	if !slices.Equal(upstreams, t.view.Upstreams) {
		t.view, t.changed = View{Upstreams: upstreams}, true
	}
}

// stepService determines the states of one service's upstreams and appends them to
// states.
func (t *Tracker) stepService(now time.Time, upstreams []*trackedUpstream, states []Upstream) []Upstream {
	ignored := t.ignoredFailures(upstreams)
	var changes uint64
	for _, u := range upstreams {
		changes += u.load.changes
	}
	for _, u := range upstreams {
		state, reason := u.determineState(now, ignored[u])
		othersChanged := changes-u.load.changes >= stuckReports*uint64(len(upstreams)-1)
		u.updateEntry(now, state, reason, othersChanged)
		states = append(states, u.entry)
	}
	return states
}

// updateEntry updates the upstream's entry in the view.
func (u *trackedUpstream) updateEntry(now time.Time, state State, reason string, othersChanged bool) {
	if u.entry.State != state {
		u.entry.Since = now
	}
	u.entry.Service, u.entry.Name = u.key.Service, u.key.Name
	u.entry.State, u.entry.Reason = state, reason
	u.entry.Load, u.entry.LoadDoubt = u.load.effectiveLoad(now, othersChanged)
	u.entry.FlowLoad = u.load.effectiveFlowLoad(u.entry.Load)
	u.entry.LoadAt = u.load.receivedAt
	u.entry.Ramp = 1
	if state == Joining {
		u.entry.Ramp = u.ramp(now)
	}
}

// ignoredFailures returns the upstreams of one service whose failed checks are
// ignored, each with the reason. When most upstreams of a service fail at once, the
// checks are more likely at fault than the upstreams, so the service fails open. A
// refused connection proves that the upstream is down and still counts, unless every
// upstream refuses connections.
func (t *Tracker) ignoredFailures(upstreams []*trackedUpstream) map[*trackedUpstream]string {
	var total, passing, failingNotRefused uint64
	for _, u := range upstreams {
		if _, draining := u.drainReason(); draining {
			continue
		}
		weight := uint64(u.definition.Weight)
		total += weight
		switch {
		case u.condition != failing:
			passing += weight
		case !u.lastRefused:
			failingNotRefused += weight
		}
	}
	id := upstreams[0].key.Service
	threshold := failOpenBelow
	if t.failOpen[id] {
		threshold = failOpenUntil
	}
	if total == 0 || float64(passing) >= threshold*float64(total) {
		delete(t.failOpen, id)
		return nil
	}
	t.failOpen[id] = true
	reason := fmt.Sprintf("failed checks ignored: only %d%% of the service's weight passes", passing*100/total)
	ignored := make(map[*trackedUpstream]string)
	for _, u := range upstreams {
		if !u.lastRefused || passing+failingNotRefused == 0 {
			ignored[u] = reason
		}
	}
	return ignored
}

// removeGone removes upstreams that are no longer configured and have been Gone for
// goneRetention.
func (t *Tracker) removeGone(now time.Time) {
	var expired []*trackedUpstream
	for _, u := range t.sorted {
		if !u.configured && u.entry.State == Gone && now.Sub(u.entry.Since) >= goneRetention {
			expired = append(expired, u)
		}
	}
	for _, u := range expired {
		t.remove(u)
	}
}

// View returns the current view.
func (t *Tracker) View() View {
	return t.view
}

// TakeChanged reports whether the view has changed since the previous call.
func (t *Tracker) TakeChanged() bool {
	changed := t.changed
	t.changed = false
	return changed
}

// FailOpenServices returns the number of services whose failed checks are ignored.
func (t *Tracker) FailOpenServices() int {
	return len(t.failOpen)
}

// Next returns when Step is next due, unless a check changes a condition earlier.
func (t *Tracker) Next(now time.Time) time.Time {
	return now.Add(refreshInterval)
}
