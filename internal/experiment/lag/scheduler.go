package lag

import (
	"container/heap"
	"errors"
	"iter"
	"maps"
	"slices"
	"time"
)

// errStopped ends a process when the scheduler stops.
var errStopped = errors.New("the simulation has ended")

// scheduler runs processes in virtual time. One process runs at a time, so a run depends on
// its options alone.
type scheduler struct {
	now    time.Time
	events eventQueue
	// sequence orders events of the same time.
	sequence uint64
	current  *process
	// processes are those that have not ended, by the order of their starts.
	processes map[uint64]*process
}

// process is a sequence of steps between which virtual time passes.
type process struct {
	scheduler *scheduler
	number    uint64
	// after, if set, is called after each step.
	after func()
	step  func() (struct{}, bool)
	stop  func()
	yield func(struct{}) bool
	// parked counts the calls of park. Events for an earlier one are void.
	parked uint64
}

// event resumes a process, or calls a function if there is no process.
type event struct {
	at       time.Time
	sequence uint64
	process  *process
	parked   uint64
	call     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

func (s *scheduler) schedule(e event) {
	s.sequence++
	e.sequence = s.sequence
	heap.Push(&s.events, e)
}

// at calls f at the time.
func (s *scheduler) at(t time.Time, f func()) { s.schedule(event{at: t, call: f}) }

// start starts a process at the time. after is called after each of its steps; nil for
// none.
func (s *scheduler) start(t time.Time, after func(), run func()) {
	if s.processes == nil {
		s.processes = make(map[uint64]*process)
	}
	p := &process{scheduler: s, after: after}
	p.step, p.stop = iter.Pull(func(yield func(struct{}) bool) {
		p.yield = yield
		defer func() {
			if r := recover(); r != nil && r != errStopped {
				panic(r)
			}
		}()
		run()
	})
	s.schedule(event{at: t, process: p})
	p.number = s.sequence
	s.processes[p.number] = p
}

// park suspends the current process until the time or the next call of wake.
func (p *process) park(until time.Time) {
	p.parked++
	p.scheduler.schedule(event{at: until, process: p, parked: p.parked})
	if !p.yield(struct{}{}) {
		panic(errStopped)
	}
}

// wake resumes a parked process.
func (p *process) wake() {
	p.scheduler.schedule(event{at: p.scheduler.now, process: p, parked: p.parked})
}

// run executes all events up to the time, and then ends all processes.
func (s *scheduler) run(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		if e.process == nil {
			e.call()
			continue
		}
		if e.parked != e.process.parked {
			continue
		}
		e.process.parked++ // no other event resumes this wait
		s.current = e.process
		if _, ok := e.process.step(); !ok {
			delete(s.processes, e.process.number)
		}
		if e.process.after != nil {
			e.process.after()
		}
	}
	s.now = until
	// A process may wait for the end of those that it has started.
	for _, number := range slices.Backward(slices.Sorted(maps.Keys(s.processes))) {
		s.processes[number].stop()
	}
}
