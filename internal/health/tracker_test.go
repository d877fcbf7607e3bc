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

// desk is a tracker over one service with a virtual clock.
type desk struct {
	t        *testing.T
	now      time.Time
	tracker  *Tracker
	snapshot *config.Snapshot
}

func newDesk(t *testing.T, upstreams int) *desk {
	s := service.Service{
		Name: "call-desk", ID: testService,
		DrainLimit: 10 * time.Minute, SlowStart: 20 * time.Second,
	}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, testUpstream(i))
	}
	d := &desk{t: t, now: testStart, tracker: NewTracker()}
	d.snapshot = &config.Snapshot{Services: []service.Service{s}}
	d.tracker.Adopt(d.now, d.snapshot)
	return d
}

func testUpstream(i int) service.Upstream {
	return service.Upstream{Name: fmt.Sprintf("up-%02d", i), Weight: 1, Slots: 4, Connections: 100, State: service.AdminActive}
}

// check reports one outcome for an upstream and lets a second pass.
func (d *desk) check(i int, outcome Outcome, report *Report) {
	d.tracker.Observe(d.now, Check{Key: Key{testService, testUpstream(i).Name}, Outcome: outcome, Report: report})
	d.now = d.now.Add(time.Second)
	d.tracker.Step(d.now)
}

func (d *desk) pass(n int) {
	for i := range n {
		d.check(i, Passed, nil)
	}
}

func (d *desk) shown(i int) Upstream {
	for _, u := range d.tracker.View().Upstreams {
		if u.Name == testUpstream(i).Name {
			return u
		}
	}
	return Upstream{}
}

func (d *desk) want(i int, state State) Upstream {
	d.t.Helper()
	u := d.shown(i)
	if u.State != state {
		d.t.Fatalf("upstream %d is %v (%s), want %v", i, u.State, u.Reason, state)
	}
	return u
}

// replace changes the service by edit and adopts the result.
func (d *desk) replace(edit func(s *service.Service)) {
	s := d.snapshot.Services[0]
	s.Upstreams = append([]service.Upstream(nil), s.Upstreams...)
	edit(&s)
	d.snapshot = &config.Snapshot{Services: []service.Service{s}}
	d.tracker.Adopt(d.now, d.snapshot)
}

func TestFirstUpstreamsOfAServiceTakeWorkAtOnce(t *testing.T) {
	d := newDesk(t, 3)
	d.want(0, Up)
	d.check(0, Failed, nil)
	d.want(0, Suspect)
	d.want(1, Up)
}

func TestSuspectNeedsSeveralFailuresAndRecoversFromABlip(t *testing.T) {
	d := newDesk(t, 4)
	d.pass(4)
	d.check(0, Failed, nil)
	d.check(0, Failed, nil)
	d.want(0, Up)
	d.check(0, Failed, nil)
	d.want(0, Suspect)
	d.check(0, Passed, nil)
	d.want(0, Suspect)
	d.check(0, Passed, nil)
	d.want(0, Up)
}

func TestRestartedUpstreamStartsSlowly(t *testing.T) {
	d := newDesk(t, 4)
	d.pass(4)
	for range fall {
		d.check(0, Refused, nil)
	}
	d.check(0, Passed, nil)
	d.check(0, Passed, nil)
	if u := d.want(0, Joining); u.Ramp >= 0.5 {
		t.Fatalf("ramp starts at %v", u.Ramp)
	}
	d.now = d.now.Add(21 * time.Second)
	d.check(0, Passed, nil)
	d.want(0, Up)
}

func TestNewUpstreamWaitsForItsFirstCheck(t *testing.T) {
	d := newDesk(t, 2)
	d.pass(2)
	d.replace(func(s *service.Service) { s.Upstreams = append(s.Upstreams, testUpstream(2)) })
	if u := d.want(2, Joining); u.Ramp != 0 {
		t.Fatalf("takes %v of its share before a check", u.Ramp)
	}
	d.check(2, Failed, nil)
	d.want(2, Suspect)
	d.check(2, Passed, nil)
	d.check(2, Passed, nil)
	if u := d.want(2, Joining); u.Ramp <= 0 {
		t.Fatal("takes no work after its first passed checks")
	}
}

func TestMostChecksFailingAreDistrusted(t *testing.T) {
	d := newDesk(t, 4)
	d.pass(4)
	for range fall {
		for i := range 3 {
			d.check(i, Failed, nil)
		}
	}
	for i := range 4 {
		d.want(i, Up)
	}
	if d.tracker.Panicking() != 1 {
		t.Fatal("the service is not counted as distrusted")
	}
	for range rise {
		d.check(0, Passed, nil)
		d.check(1, Passed, nil)
	}
	d.want(2, Suspect)
}

func TestRefusalIsBelievedWhenMostChecksFail(t *testing.T) {
	d := newDesk(t, 4)
	d.pass(4)
	for range fall {
		d.check(0, Refused, nil)
		d.check(1, Failed, nil)
		d.check(2, Failed, nil)
	}
	d.want(0, Suspect)
	d.want(1, Up)
	for range fall {
		for i := range 4 {
			d.check(i, Refused, nil)
		}
	}
	for i := range 4 {
		d.want(i, Up)
	}
}

func TestDrainingTakesEffectAtOnceAndEndsAsGone(t *testing.T) {
	d := newDesk(t, 3)
	d.pass(3)
	d.check(0, ReportedDraining, nil)
	d.want(0, Draining)
	for range fall {
		d.check(0, Refused, nil)
	}
	d.want(0, Gone)

	d.replace(func(s *service.Service) { s.Upstreams[1].State = service.AdminDraining })
	d.want(1, Draining)
	d.now = d.now.Add(10 * time.Minute)
	d.tracker.Step(d.now)
	d.want(1, Gone)
	d.replace(func(s *service.Service) { s.Upstreams[1].State = service.AdminActive })
	d.want(1, Joining)
}

func TestAllDrainingTakesNoNewWork(t *testing.T) {
	d := newDesk(t, 3)
	d.pass(3)
	for i := range 3 {
		d.check(i, ReportedDraining, nil)
	}
	for i := range 3 {
		d.want(i, Draining)
	}
}

func TestRemovedUpstreamDrainsAndIsForgotten(t *testing.T) {
	d := newDesk(t, 3)
	d.pass(3)
	d.replace(func(s *service.Service) { s.Upstreams = s.Upstreams[1:] })
	d.want(0, Draining)
	d.now = d.now.Add(10 * time.Minute)
	d.tracker.Step(d.now)
	d.want(0, Gone)
	d.now = d.now.Add(goneRetention)
	d.tracker.Step(d.now)
	d.tracker.Step(d.now)
	if len(d.tracker.View().Upstreams) != 2 {
		t.Fatal("a gone upstream is not forgotten")
	}
}

func TestLoadReportsAreDoubted(t *testing.T) {
	steady := Report{Load: 0.5, SlotsInUse: 2, Connections: 50}
	tests := []struct {
		name    string
		reports []Report
		load    float64
		doubt   Doubt
	}{
		{"believed", []Report{steady}, 0.5, ""},
		{"one outlier", []Report{steady, {Load: 0.01}, steady}, 0.5, ""},
		{"not a number", []Report{steady, {Load: math.NaN()}}, 0.5, DoubtRange},
		{"negative", []Report{{Load: -1}}, noLoad, DoubtRange},
		{"understated", []Report{{Load: 0.1, SlotsInUse: 4, Connections: 50}}, 1, DoubtInconsistent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDesk(t, 2)
			for _, report := range test.reports {
				d.check(0, Passed, &report)
			}
			if u := d.shown(0); u.Load != test.load || u.LoadDoubt != test.doubt {
				t.Fatalf("load %v doubt %q, want %v %q", u.Load, u.LoadDoubt, test.load, test.doubt)
			}
		})
	}
}

func TestStaleAndStuckLoadsAreUnknown(t *testing.T) {
	d := newDesk(t, 2)
	d.check(0, Passed, &Report{Load: 0.5, SlotsInUse: 2})
	d.now = d.now.Add(loadMaxAge)
	d.tracker.Step(d.now)
	if u := d.shown(0); u.Load != noLoad || u.LoadDoubt != DoubtStale {
		t.Fatalf("load %v doubt %q", u.Load, u.LoadDoubt)
	}
	for i := range uint32(2 * stuckReports) {
		d.check(0, Passed, &Report{Load: 0.5, SlotsInUse: 2})
		d.check(1, Passed, &Report{Load: 0.5, SlotsInUse: 2, Connections: i})
	}
	if u := d.shown(0); u.LoadDoubt != DoubtStuck {
		t.Fatalf("doubt %q, want stuck", u.LoadDoubt)
	}
	if u := d.shown(1); u.LoadDoubt != "" {
		t.Fatalf("doubt %q of a changing report", u.LoadDoubt)
	}
}

func TestFlowLoadFollowsConnectionsNotRequests(t *testing.T) {
	d := newDesk(t, 2)
	connections := testUpstream(0).Connections
	for range medianWindow {
		d.check(0, Passed, &Report{Load: 0.75, SlotsInUse: 3, Connections: connections / 4})
		d.check(1, Passed, &Report{Load: 0.5})
	}
	if u := d.shown(0); u.Load != 0.75 || u.FlowLoad != 0.25 {
		t.Errorf("load %v and flow load %v, want 0.75 and 0.25", u.Load, u.FlowLoad)
	}
	if u := d.shown(1); u.FlowLoad != 0.5 {
		t.Errorf("flow load %v without connections, want the load, 0.5", u.FlowLoad)
	}
}
