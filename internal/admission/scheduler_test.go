package admission

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/standin/testflags"
)

func TestMain(m *testing.M) {
	testflags.SetTestFlags(testflags.Options{Seed: 5, Checks: 300})
	os.Exit(m.Run())
}

var testStart = time.Unix(1_700_000_000, 0)

// schedulerModel compares a scheduler with a model of its slots and queue. Its exported
// methods are the actions of a state machine test, in which Check runs after each one.
type schedulerModel struct {
	scheduler *Scheduler
	now       time.Time
	lastID    uint64
	// slots is the number of slots by upstream name.
	slots map[string]int
	// undecided holds the requests, by ID, that are neither granted nor refused.
	undecided map[uint64]Request
	// slotsInUse holds the upstream name of each slot in use.
	slotsInUse []string
}

// upstreamNames are the names of the upstreams of the model.
var upstreamNames = []string{"a", "b", "c"}

func newSchedulerModel() *schedulerModel {
	return &schedulerModel{
		scheduler: NewScheduler(Options{Rand: rand.New(rand.NewPCG(1, 2)), QueueLimit: 5, InitialServiceTime: 10 * time.Millisecond}),
		now:       testStart,
		slots:     make(map[string]int),
		undecided: make(map[uint64]Request),
	}
}

func (m *schedulerModel) Update(t *rapid.T) {
	m.slots = make(map[string]int)
	var targets []Target
	for _, name := range upstreamNames {
		if n := rapid.IntRange(0, 3).Draw(t, name); n > 0 {
			m.slots[name] = n
			targets = append(targets, Target{Name: name, Slots: n, Ramp: 1})
		}
	}
	m.checkDecisions(t, m.scheduler.Update(m.now, targets))
}

func (m *schedulerModel) Submit(t *rapid.T) {
	m.lastID++
	r := Request{ID: m.lastID, Deadline: m.now.Add(time.Duration(rapid.IntRange(-5, 200).Draw(t, "ms")) * time.Millisecond)}
	if rapid.Bool().Draw(t, "excludes") {
		r.Exclude = []string{rapid.SampledFrom(upstreamNames).Draw(t, "exclude")}
	}
	m.undecided[r.ID] = r
	decision := m.scheduler.Submit(m.now, r)
	if decision.Kind != Queued {
		m.checkDecisions(t, []Decision{decision})
	}
}

func (m *schedulerModel) Release(t *rapid.T) {
	if len(m.slotsInUse) == 0 {
		t.Skip("no slot is in use")
	}
	index := rapid.IntRange(0, len(m.slotsInUse)-1).Draw(t, "slot")
	name := m.slotsInUse[index]
	m.slotsInUse = append(m.slotsInUse[:index:index], m.slotsInUse[index+1:]...)
	if rapid.Bool().Draw(t, "refused") {
		m.checkDecisions(t, m.scheduler.ReleaseRefused(m.now, name))
		return
	}
	m.checkDecisions(t, m.scheduler.Release(m.now, name, time.Duration(rapid.IntRange(0, 50).Draw(t, "busy"))*time.Millisecond))
}

func (m *schedulerModel) Lend(t *rapid.T) {
	waiting := m.scheduler.QueueLength()
	name, ok := m.scheduler.Lend(m.now, nil)
	if ok && waiting > 0 {
		t.Fatal("lent a slot while requests wait")
	}
	if ok {
		m.takeSlot(t, name)
	}
}

func (m *schedulerModel) Cancel(t *rapid.T) {
	for id := range m.undecided {
		if m.scheduler.Cancel(id) {
			delete(m.undecided, id)
		}
		break
	}
}

// Pass advances the clock.
func (m *schedulerModel) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
}

// checkDecisions checks each decision against its request and applies it to the model.
func (m *schedulerModel) checkDecisions(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		r, known := m.undecided[d.ID]
		if !known {
			t.Fatalf("decision on request %d, which was already decided or never submitted", d.ID)
		}
		delete(m.undecided, d.ID)
		if d.Kind != Granted {
			continue
		}
		if len(r.Exclude) > 0 && r.Exclude[0] == d.Upstream {
			t.Fatalf("request %d was granted a slot of an excluded upstream", d.ID)
		}
		if !m.now.Before(r.Deadline) {
			t.Fatalf("request %d was granted after its deadline", d.ID)
		}
		m.takeSlot(t, d.Upstream)
	}
}

// takeSlot adds a slot in use and checks that the upstream had a free one.
func (m *schedulerModel) takeSlot(t *rapid.T, name string) {
	used := 0
	for _, other := range m.slotsInUse {
		if other == name {
			used++
		}
	}
	if used >= m.slots[name] {
		t.Fatalf("upstream %s has %d slots, of which %d are in use: none is free", name, m.slots[name], used)
	}
	m.slotsInUse = append(m.slotsInUse, name)
}

// Check checks that as many requests are queued as are undecided, and no more than the
// queue limit.
func (m *schedulerModel) Check(t *rapid.T) {
	if got := m.scheduler.QueueLength(); got != len(m.undecided) || got > 5 {
		t.Fatalf("%d requests are queued and %d are undecided, want equal numbers up to 5", got, len(m.undecided))
	}
}

func TestSchedulerRespectsSlotsDeadlinesAndQueueLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newSchedulerModel()))
	})
}

func TestRefusingUpstreamIsAvoidedDuringBackoff(t *testing.T) {
	m := newSchedulerModel()
	m.scheduler.Update(testStart, []Target{{Name: "a", Slots: 2, Ramp: 1}, {Name: "b", Slots: 2, Ramp: 1}})
	first := m.scheduler.Submit(testStart, Request{ID: 1, Deadline: testStart.Add(time.Second)})
	m.scheduler.ReleaseRefused(testStart, first.Upstream)
	for id := uint64(2); id < 4; id++ {
		d := m.scheduler.Submit(testStart, Request{ID: id, Deadline: testStart.Add(time.Second)})
		if d.Kind != Granted || d.Upstream == first.Upstream {
			t.Errorf("request %d: %+v", id, d)
		}
	}
	if d := m.scheduler.Submit(testStart, Request{ID: 4, Deadline: testStart.Add(time.Second)}); d.Kind != Queued {
		t.Errorf("the upstream in backoff got a request: %+v", d)
	}
	if d := m.scheduler.Submit(testStart.Add(initialBackoff), Request{ID: 5, Deadline: testStart.Add(time.Second)}); d.Kind == Refused {
		t.Errorf("refused after the backoff: %+v", d)
	}
}

func TestFreeUpstreamsShareWorkByWeight(t *testing.T) {
	m := newSchedulerModel()
	m.scheduler.Update(testStart, []Target{{Name: "a", Slots: 2, Ramp: 1, Weight: 3}, {Name: "b", Slots: 2, Ramp: 1, Weight: 1}, {Name: "c", Slots: 2, Ramp: 0.25, Weight: 4}})
	counts := make(map[string]int)
	for id := range uint64(5000) {
		d := m.scheduler.Submit(testStart, Request{ID: id, Deadline: testStart.Add(time.Second)})
		counts[d.Upstream]++
		m.scheduler.Release(testStart, d.Upstream, time.Millisecond)
	}
	if counts["a"] < 2800 || counts["a"] > 3200 || counts["b"] < 850 || counts["b"] > 1150 {
		t.Errorf("5000 requests at weights 3, 1 and 4 with a ramp of 0.25 are divided as %v", counts)
	}
}
