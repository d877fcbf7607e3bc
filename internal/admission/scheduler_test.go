package admission

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/standin/fixed"
)

func TestMain(m *testing.M) {
	fixed.Apply(fixed.Options{Seed: 5, Checks: 300})
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

// schedulerMachine drives a scheduler beside a count of what it has handed out.
type schedulerMachine struct {
	scheduler *Scheduler
	now       time.Time
	next      uint64
	slots     map[string]int
	// open maps each undecided request to its deadline.
	open  map[uint64]Request
	taken []string
}

var names = []string{"a", "b", "c"}

func newSchedulerMachine() *schedulerMachine {
	return &schedulerMachine{
		scheduler: NewScheduler(Options{Rand: rand.New(rand.NewPCG(1, 2)), QueueLimit: 5, InitialEstimate: 10 * time.Millisecond}),
		now:       start,
		slots:     make(map[string]int),
		open:      make(map[uint64]Request),
	}
}

func (m *schedulerMachine) Update(t *rapid.T) {
	m.slots = make(map[string]int)
	var targets []Target
	for _, name := range names {
		if n := rapid.IntRange(0, 3).Draw(t, name); n > 0 {
			m.slots[name] = n
			targets = append(targets, Target{Name: name, Slots: n, Ramp: 1})
		}
	}
	m.decide(t, m.scheduler.Update(m.now, targets))
}

func (m *schedulerMachine) Submit(t *rapid.T) {
	m.next++
	r := Request{ID: m.next, Deadline: m.now.Add(time.Duration(rapid.IntRange(-5, 200).Draw(t, "ms")) * time.Millisecond)}
	if rapid.Bool().Draw(t, "excludes") {
		r.Exclude = []string{rapid.SampledFrom(names).Draw(t, "exclude")}
	}
	m.open[r.ID] = r
	decision := m.scheduler.Submit(m.now, r)
	if decision.Kind != Queued {
		m.decide(t, []Decision{decision})
	}
}

func (m *schedulerMachine) Release(t *rapid.T) {
	if len(m.taken) == 0 {
		t.Skip("no slot is taken")
	}
	at := rapid.IntRange(0, len(m.taken)-1).Draw(t, "slot")
	name := m.taken[at]
	m.taken = append(m.taken[:at:at], m.taken[at+1:]...)
	if rapid.Bool().Draw(t, "refused") {
		m.decide(t, m.scheduler.ReleaseRefused(m.now, name))
		return
	}
	m.decide(t, m.scheduler.Release(m.now, name, time.Duration(rapid.IntRange(0, 50).Draw(t, "busy"))*time.Millisecond))
}

func (m *schedulerMachine) Lend(t *rapid.T) {
	waiting := m.scheduler.QueueLength()
	name, ok := m.scheduler.Lend(m.now, nil)
	if ok && waiting > 0 {
		t.Fatal("lent a slot while requests wait")
	}
	if ok {
		m.take(t, name)
	}
}

func (m *schedulerMachine) Cancel(t *rapid.T) {
	for id := range m.open {
		if m.scheduler.Cancel(id) {
			delete(m.open, id)
		}
		break
	}
}

func (m *schedulerMachine) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
}

// decide checks each decision against what was asked.
func (m *schedulerMachine) decide(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		r, known := m.open[d.ID]
		if !known {
			t.Fatalf("request %d is decided twice", d.ID)
		}
		delete(m.open, d.ID)
		if d.Kind != Granted {
			continue
		}
		if len(r.Exclude) > 0 && r.Exclude[0] == d.Upstream {
			t.Fatalf("request %d went to an upstream that had refused it", d.ID)
		}
		if !m.now.Before(r.Deadline) {
			t.Fatalf("request %d was granted past its deadline", d.ID)
		}
		m.take(t, d.Upstream)
	}
}

func (m *schedulerMachine) take(t *rapid.T, name string) {
	used := 0
	for _, other := range m.taken {
		if other == name {
			used++
		}
	}
	if used >= m.slots[name] {
		t.Fatalf("%s has %d slots and %d in use", name, m.slots[name], used)
	}
	m.taken = append(m.taken, name)
}

// Check holds that every undecided request is queued, within the limit.
func (m *schedulerMachine) Check(t *rapid.T) {
	if got := m.scheduler.QueueLength(); got != len(m.open) || got > 5 {
		t.Fatalf("%d requests are queued and %d are undecided", got, len(m.open))
	}
}

func TestSchedulerHonoursSlotsDeadlinesAndTheQueueLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newSchedulerMachine()))
	})
}

func TestRefusingUpstreamIsAvoidedForAWhile(t *testing.T) {
	m := newSchedulerMachine()
	m.scheduler.Update(start, []Target{{Name: "a", Slots: 2, Ramp: 1}, {Name: "b", Slots: 2, Ramp: 1}})
	first := m.scheduler.Submit(start, Request{ID: 1, Deadline: start.Add(time.Second)})
	m.scheduler.ReleaseRefused(start, first.Upstream)
	for id := uint64(2); id < 4; id++ {
		d := m.scheduler.Submit(start, Request{ID: id, Deadline: start.Add(time.Second)})
		if d.Kind != Granted || d.Upstream == first.Upstream {
			t.Errorf("request %d: %+v", id, d)
		}
	}
	if d := m.scheduler.Submit(start, Request{ID: 4, Deadline: start.Add(time.Second)}); d.Kind != Queued {
		t.Errorf("the refusing upstream got more work: %+v", d)
	}
	if d := m.scheduler.Submit(start.Add(firstPause), Request{ID: 5, Deadline: start.Add(time.Second)}); d.Kind == Refused {
		t.Errorf("after the pause: %+v", d)
	}
}

func TestFreeUpstreamsShareWorkByWeight(t *testing.T) {
	m := newSchedulerMachine()
	m.scheduler.Update(start, []Target{{Name: "a", Slots: 2, Ramp: 1, Weight: 3}, {Name: "b", Slots: 2, Ramp: 1, Weight: 1}, {Name: "c", Slots: 2, Ramp: 0.25, Weight: 4}})
	counts := make(map[string]int)
	for id := range uint64(5000) {
		d := m.scheduler.Submit(start, Request{ID: id, Deadline: start.Add(time.Second)})
		counts[d.Upstream]++
		m.scheduler.Release(start, d.Upstream, time.Millisecond)
	}
	if counts["a"] < 2800 || counts["a"] > 3200 || counts["b"] < 850 || counts["b"] > 1150 {
		t.Errorf("weights 3, 1 and 4 at a quarter share 5000 requests as %v", counts)
	}
}
