package health

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/service"
)

var testStart = time.UnixMilli(1_800_000_000_000)

const testService service.ID = 7

// fixture runs a tracker of one service on a virtual clock.
type fixture struct {
	t        *testing.T
	now      time.Time
	tracker  *Tracker
	snapshot *config.Snapshot
}

func newFixture(t *testing.T, upstreams int) *fixture {
	s := service.Service{
		Name: "call-desk", ID: testService,
		DrainLimit: 10 * time.Minute, SlowStart: 20 * time.Second,
	}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, testUpstream(i))
	}
	f := &fixture{t: t, now: testStart, tracker: NewTracker()}
	f.snapshot = &config.Snapshot{Services: []service.Service{s}}
	f.tracker.Adopt(f.now, f.snapshot)
	return f
}

func testUpstream(i int) service.Upstream {
	return service.Upstream{Name: fmt.Sprintf("up-%02d", i), Weight: 1, Slots: 4, Connections: 100, State: service.AdminActive}
}

// check passes one outcome for upstream i to the tracker and advances the clock by a second.
func (f *fixture) check(i int, outcome Outcome, report *Report) {
	f.tracker.Observe(f.now, Check{Key: Key{testService, testUpstream(i).Name}, Outcome: outcome, Report: report})
	f.now = f.now.Add(time.Second)
	f.tracker.Step(f.now)
}

// passFirst passes one check of each of the first n upstreams.
func (f *fixture) passFirst(n int) {
	for i := range n {
		f.check(i, Passed, nil)
	}
}

// upstream returns the entry of upstream i in the view.
func (f *fixture) upstream(i int) Upstream {
	for _, u := range f.tracker.View().Upstreams {
		if u.Name == testUpstream(i).Name {
			return u
		}
	}
	return Upstream{}
}

// wantState fails the test unless upstream i has the state, and returns its entry.
func (f *fixture) wantState(i int, state State) Upstream {
	f.t.Helper()
	u := f.upstream(i)
	if u.State != state {
		f.t.Fatalf("upstream %d is %v (%s), want %v", i, u.State, u.Reason, state)
	}
	return u
}

// reconfigure applies edit to a copy of the service and adopts the resulting configuration.
func (f *fixture) reconfigure(edit func(s *service.Service)) {
	s := f.snapshot.Services[0]
	s.Upstreams = append([]service.Upstream(nil), s.Upstreams...)
	edit(&s)
	f.snapshot = &config.Snapshot{Services: []service.Service{s}}
	f.tracker.Adopt(f.now, f.snapshot)
}

func TestFirstUpstreamsOfAServiceTakeWorkAtOnce(t *testing.T) {
	f := newFixture(t, 3)
	f.wantState(0, Up)
	f.check(0, Failed, nil)
	f.wantState(0, Suspect)
	f.wantState(1, Up)
}

func TestSuspectAfterConsecutiveFailuresAndUpAfterConsecutivePasses(t *testing.T) {
	f := newFixture(t, 4)
	f.passFirst(4)
	f.check(0, Failed, nil)
	f.check(0, Failed, nil)
	f.wantState(0, Up)
	f.check(0, Failed, nil)
	f.wantState(0, Suspect)
	f.check(0, Passed, nil)
	f.wantState(0, Suspect)
	f.check(0, Passed, nil)
	f.wantState(0, Up)
}

func TestRestartedUpstreamStartsSlowly(t *testing.T) {
	f := newFixture(t, 4)
	f.passFirst(4)
	for range unhealthyThreshold {
		f.check(0, Refused, nil)
	}
	f.check(0, Passed, nil)
	f.check(0, Passed, nil)
	if u := f.wantState(0, Joining); u.Ramp >= 0.5 {
		t.Fatalf("the ramp starts at %v, want less than 0.5", u.Ramp)
	}
	f.now = f.now.Add(21 * time.Second)
	f.check(0, Passed, nil)
	f.wantState(0, Up)
}

func TestNewUpstreamWaitsForItsFirstCheck(t *testing.T) {
	f := newFixture(t, 2)
	f.passFirst(2)
	f.reconfigure(func(s *service.Service) { s.Upstreams = append(s.Upstreams, testUpstream(2)) })
	if u := f.wantState(2, Joining); u.Ramp != 0 {
		t.Fatalf("the ramp is %v before the first check, want 0", u.Ramp)
	}
	f.check(2, Failed, nil)
	f.wantState(2, Suspect)
	f.check(2, Passed, nil)
	f.check(2, Passed, nil)
	if u := f.wantState(2, Joining); u.Ramp <= 0 {
		t.Fatal("the ramp is 0 after passed checks")
	}
}

func TestServiceFailsOpenWhenMostChecksFail(t *testing.T) {
	f := newFixture(t, 4)
	f.passFirst(4)
	for range unhealthyThreshold {
		for i := range 3 {
			f.check(i, Failed, nil)
		}
	}
	for i := range 4 {
		f.wantState(i, Up)
	}
	if f.tracker.FailOpenServices() != 1 {
		t.Fatal("the service does not fail open")
	}
	for range healthyThreshold {
		f.check(0, Passed, nil)
		f.check(1, Passed, nil)
	}
	f.wantState(2, Suspect)
}

func TestRefusalCountsWhenServiceFailsOpen(t *testing.T) {
	f := newFixture(t, 4)
	f.passFirst(4)
	for range unhealthyThreshold {
		f.check(0, Refused, nil)
		f.check(1, Failed, nil)
		f.check(2, Failed, nil)
	}
	f.wantState(0, Suspect)
	f.wantState(1, Up)
	for range unhealthyThreshold {
		for i := range 4 {
			f.check(i, Refused, nil)
		}
	}
	for i := range 4 {
		f.wantState(i, Up)
	}
}

func TestDrainingTakesEffectAtOnceAndEndsAsGone(t *testing.T) {
	f := newFixture(t, 3)
	f.passFirst(3)
	f.check(0, ReportedDraining, nil)
	f.wantState(0, Draining)
	for range unhealthyThreshold {
		f.check(0, Refused, nil)
	}
	f.wantState(0, Gone)

	f.reconfigure(func(s *service.Service) { s.Upstreams[1].State = service.AdminDraining })
	f.wantState(1, Draining)
	f.now = f.now.Add(10 * time.Minute)
	f.tracker.Step(f.now)
	f.wantState(1, Gone)
	f.reconfigure(func(s *service.Service) { s.Upstreams[1].State = service.AdminActive })
	f.wantState(1, Joining)
}

func TestAllDrainingTakesNoNewWork(t *testing.T) {
	f := newFixture(t, 3)
	f.passFirst(3)
	for i := range 3 {
		f.check(i, ReportedDraining, nil)
	}
	for i := range 3 {
		f.wantState(i, Draining)
	}
}

func TestRemovedUpstreamDrainsAndLeavesTheView(t *testing.T) {
	f := newFixture(t, 3)
	f.passFirst(3)
	f.reconfigure(func(s *service.Service) { s.Upstreams = s.Upstreams[1:] })
	f.wantState(0, Draining)
	f.now = f.now.Add(10 * time.Minute)
	f.tracker.Step(f.now)
	f.wantState(0, Gone)
	f.now = f.now.Add(goneRetention)
	f.tracker.Step(f.now)
	f.tracker.Step(f.now)
	if len(f.tracker.View().Upstreams) != 2 {
		t.Fatal("the removed upstream is still in the view")
	}
}

func TestLoadReportsAreValidated(t *testing.T) {
	steady := Report{Load: 0.5, SlotsInUse: 2, Connections: 50}
	tests := []struct {
		name    string
		reports []Report
		load    float64
		doubt   Doubt
	}{
		{"believed", []Report{steady}, 0.5, ""},
		{"one outlier", []Report{steady, {Load: 0.01}, steady}, 0.5, ""},
		{"not a number", []Report{steady, {Load: math.NaN()}}, 0.5, DoubtOutOfRange},
		{"negative", []Report{{Load: -1}}, unknownLoad, DoubtOutOfRange},
		{"understated", []Report{{Load: 0.1, SlotsInUse: 4, Connections: 50}}, 1, DoubtInconsistent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 2)
			for _, report := range test.reports {
				f.check(0, Passed, &report)
			}
			if u := f.upstream(0); u.Load != test.load || u.LoadDoubt != test.doubt {
				t.Fatalf("load %v and doubt %q, want %v and %q", u.Load, u.LoadDoubt, test.load, test.doubt)
			}
		})
	}
}

func TestStaleAndStuckLoadsAreUnknown(t *testing.T) {
	f := newFixture(t, 2)
	f.check(0, Passed, &Report{Load: 0.5, SlotsInUse: 2})
	f.now = f.now.Add(loadMaxAge)
	f.tracker.Step(f.now)
	if u := f.upstream(0); u.Load != unknownLoad || u.LoadDoubt != DoubtStale {
		t.Fatalf("load %v and doubt %q, want an unknown and stale load", u.Load, u.LoadDoubt)
	}
	for i := range uint32(2 * stuckReports) {
		f.check(0, Passed, &Report{Load: 0.5, SlotsInUse: 2})
		f.check(1, Passed, &Report{Load: 0.5, SlotsInUse: 2, Connections: i})
	}
	if u := f.upstream(0); u.LoadDoubt != DoubtStuck {
		t.Fatalf("doubt %q, want stuck", u.LoadDoubt)
	}
	if u := f.upstream(1); u.LoadDoubt != "" {
		t.Fatalf("doubt %q of a report that changes, want none", u.LoadDoubt)
	}
}

func TestFlowLoadFollowsConnectionsNotRequests(t *testing.T) {
	f := newFixture(t, 2)
	connections := testUpstream(0).Connections
	for range medianWindow {
		f.check(0, Passed, &Report{Load: 0.75, SlotsInUse: 3, Connections: connections / 4})
		f.check(1, Passed, &Report{Load: 0.5})
	}
	if u := f.upstream(0); u.Load != 0.75 || u.FlowLoad != 0.25 {
		t.Errorf("load %v and flow load %v, want 0.75 and 0.25", u.Load, u.FlowLoad)
	}
	if u := f.upstream(1); u.FlowLoad != 0.5 {
		t.Errorf("flow load %v of a report without connections, want its load, 0.5", u.FlowLoad)
	}
}
