package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Shares of a service's weight by which failed checks are believed or not.
const (
	// panicBelow is the healthy share below which failed checks are distrusted.
	panicBelow = 0.5
	// panicUntil is the healthy share from which they are believed again.
	panicUntil = 0.6
)

// refreshInterval is the time between views that differ in ages and ramps only.
const refreshInterval = 500 * time.Millisecond

// Tracker is the state machine that decides the states of all upstreams. It
// performs no I/O: the caller makes the checks.
type Tracker struct {
	upstreams map[Key]*tracked
	// order lists the upstreams by service and name.
	order []*tracked
	// panicking are the services whose failed checks are distrusted.
	panicking map[service.ID]bool
	// adopted is set once a configuration has been adopted.
	adopted bool
	view    View
	changed bool
}

// NewTracker returns a tracker without upstreams.
func NewTracker() *Tracker {
	return &Tracker{upstreams: make(map[Key]*tracked), panicking: make(map[service.ID]bool)}
}

// Adopt takes in the services of a configuration.
func (t *Tracker) Adopt(now time.Time, snapshot *config.Snapshot) {
	for _, u := range t.order {
		u.present = false
	}
	known := make(map[service.ID]bool)
	for _, u := range t.order {
		known[u.key.Service] = true
	}
	for i := range snapshot.Services {
		t.adoptService(&snapshot.Services[i], known[snapshot.Services[i].ID])
	}
	t.adopted = true
	t.Step(now)
}

// adoptService takes in one service. Only an upstream that joins others starts
// slowly: when all are new there is nobody to take the load instead.
func (t *Tracker) adoptService(s *service.Service, known bool) {
	for _, definition := range s.Upstreams {
		key := Key{Service: s.ID, Name: definition.Name}
		u := t.upstreams[key]
		if u == nil || u.definition.Address != definition.Address {
			if u != nil {
				t.remove(u)
			}
			u = &tracked{key: key, waiting: known}
			t.add(u)
		}
		u.definition = definition
		u.drainLimit, u.slowStart = s.DrainLimit, s.SlowStart
		u.present = true
	}
}

func (t *Tracker) add(u *tracked) {
	t.upstreams[u.key] = u
	at, _ := slices.BinarySearchFunc(t.order, u, compareTracked)
	t.order = slices.Insert(t.order, at, u)
}

func (t *Tracker) remove(u *tracked) {
	delete(t.upstreams, u.key)
	t.order = slices.DeleteFunc(t.order, func(other *tracked) bool { return other == u })
}

func compareTracked(a, b *tracked) int {
	return cmp.Or(cmp.Compare(a.key.Service, b.key.Service), cmp.Compare(a.key.Name, b.key.Name))
}

// Observe takes in the result of a check and reports whether it changes the
// upstream's condition, so that Step should bring the view up to date at once.
func (t *Tracker) Observe(now time.Time, check Check) bool {
	u := t.upstreams[check.Key]
	if u == nil {
		return false
	}
	condition, refused := u.condition, u.refused
	u.observe(now, check)
	return u.condition != condition || u.refused != refused
}

// Step brings the view up to date with the checks and the time.
func (t *Tracker) Step(now time.Time) {
	upstreams := make([]Upstream, 0, len(t.order))
	for rest := t.order; len(rest) > 0; {
		n := slices.IndexFunc(rest, func(u *tracked) bool { return u.key.Service != rest[0].key.Service })
		if n < 0 {
			n = len(rest)
		}
		upstreams = t.stepService(now, rest[:n], upstreams)
		rest = rest[n:]
	}
	t.forget(now)
	if !slices.Equal(upstreams, t.view.Upstreams) {
		t.view, t.changed = View{Upstreams: upstreams}, true
	}
}

// stepService decides the states of one service's upstreams and appends them.
func (t *Tracker) stepService(now time.Time, members []*tracked, shown []Upstream) []Upstream {
	distrusted := t.distrust(members)
	var changes uint64
	for _, u := range members {
		changes += u.load.changes
	}
	for _, u := range members {
		state, reason := u.decide(now, distrusted[u])
		othersChanged := changes-u.load.changes >= stuckReports*uint64(len(members)-1)
		u.show(now, state, reason, othersChanged)
		shown = append(shown, u.shown)
	}
	return shown
}

// show updates the upstream's line of the view.
func (t *tracked) show(now time.Time, state State, reason string, othersChanged bool) {
	if t.shown.State != state {
		t.shown.Since = now
	}
	t.shown.Service, t.shown.Name = t.key.Service, t.key.Name
	t.shown.State, t.shown.Reason = state, reason
	t.shown.Load, t.shown.LoadDoubt = t.load.believed(now, othersChanged)
	t.shown.FlowLoad = t.load.believedFlows(t.shown.Load)
	t.shown.LoadAt = t.load.at
	t.shown.Ramp = 1
	if state == Joining {
		t.shown.Ramp = t.ramp(now)
	}
}

// distrust returns the reason for each upstream whose failed checks are not
// believed. When most upstreams of a service look bad at once, the checks are more
// likely at fault than the upstreams. A refused connection is positive evidence
// and is believed as long as another upstream remains.
func (t *Tracker) distrust(members []*tracked) map[*tracked]string {
	var total, good, doubtful uint64
	for _, u := range members {
		if _, draining := u.drains(); draining {
			continue
		}
		weight := uint64(u.definition.Weight)
		total += weight
		switch {
		case u.condition != failing:
			good += weight
		case !u.refused:
			doubtful += weight
		}
	}
	id := members[0].key.Service
	limit := panicBelow
	if t.panicking[id] {
		limit = panicUntil
	}
	if total == 0 || float64(good) >= limit*float64(total) {
		delete(t.panicking, id)
		return nil
	}
	t.panicking[id] = true
	reason := fmt.Sprintf("checks distrusted: only %d%% of the service's weight passes", good*100/total)
	distrusted := make(map[*tracked]string)
	for _, u := range members {
		if !u.refused || good+doubtful == 0 {
			distrusted[u] = reason
		}
	}
	return distrusted
}

// forget drops upstreams that are out of the configuration and have been gone for
// a while.
func (t *Tracker) forget(now time.Time) {
	var forgotten []*tracked
	for _, u := range t.order {
		if !u.present && u.shown.State == Gone && now.Sub(u.shown.Since) >= goneRetention {
			forgotten = append(forgotten, u)
		}
	}
	for _, u := range forgotten {
		t.remove(u)
	}
}

// View returns the current view.
func (t *Tracker) View() View {
	return t.view
}

// TakeChanged reports whether the view has changed since the last call.
func (t *Tracker) TakeChanged() bool {
	changed := t.changed
	t.changed = false
	return changed
}

// Panicking returns the number of services whose failed checks are distrusted.
func (t *Tracker) Panicking() int {
	return len(t.panicking)
}

// Next returns when Step is due for the sake of time alone.
func (t *Tracker) Next(now time.Time) time.Time {
	return now.Add(refreshInterval)
}
