package probe

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
)

// slot is the schedule of one target.
type slot struct {
	target target
	at     time.Time
	// running is set while a check is in progress.
	running bool
	index   int
}

// slotQueue is a heap of slots by time.
type slotQueue []*slot

func (q slotQueue) Len() int           { return len(q) }
func (q slotQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q slotQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *slotQueue) Push(x any) {
	s := x.(*slot)
	s.index = len(*q)
	*q = append(*q, s)
}
func (q *slotQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule spreads the checks of all targets over the interval.
type schedule struct {
	// interval is the time between two checks of a target that passes.
	interval time.Duration
	queue    slotQueue
	slots    map[health.Key]*slot
}

// set replaces the targets. New ones are checked at random times within one
// interval, so that hosts do not check in step.
func (s *schedule) set(now time.Time, targets []target, random *rand.Rand) {
	former := s.slots
	s.interval = max(checkInterval, time.Duration(len(targets))*time.Second/maxChecksPerSecond)
	s.slots = make(map[health.Key]*slot, len(targets))
	s.queue = s.queue[:0]
	for _, t := range targets {
		entry := former[t.key]
		if entry == nil {
			entry = &slot{at: now.Add(time.Duration(random.Int64N(int64(s.interval))))}
		}
		entry.target = t
		s.slots[t.key] = entry
		heap.Push(&s.queue, entry)
	}
}

// due returns a target whose check is due.
func (s *schedule) due(now time.Time) (target, bool) {
	for len(s.queue) > 0 && !s.queue[0].at.After(now) {
		first := s.queue[0]
		if !first.running {
			return first.target, true
		}
		s.postpone(now, first)
	}
	return target{}, false
}

// begin notes that a check has begun.
func (s *schedule) begin(now time.Time, key health.Key) {
	entry := s.slots[key]
	entry.running = true
	s.postpone(now, entry)
}

func (s *schedule) postpone(now time.Time, entry *slot) {
	entry.at = entry.at.Add(s.interval)
	if entry.at.Before(now) {
		entry.at = now.Add(s.interval)
	}
	heap.Fix(&s.queue, entry.index)
}

// done notes that a check has ended. A target that does not pass is checked again
// after checkInterval, however long the interval of the others.
func (s *schedule) done(now time.Time, key health.Key, passed bool) {
	entry := s.slots[key]
	if entry == nil {
		return
	}
	entry.running = false
	if soon := now.Add(checkInterval); !passed && entry.at.After(soon) {
		entry.at = soon
		heap.Fix(&s.queue, entry.index)
	}
}

// next returns the time of the next check.
func (s *schedule) next() (time.Time, bool) {
	if len(s.queue) == 0 {
		return time.Time{}, false
	}
	return s.queue[0].at, true
}

// targetsOf lists the upstreams of a configuration.
func targetsOf(snapshot *config.Snapshot) []target {
	var targets []target
	for i := range snapshot.Services {
		s := &snapshot.Services[i]
		for _, upstream := range s.Upstreams {
			targets = append(targets, target{
				key:        health.Key{Service: s.ID, Name: upstream.Name},
				address:    upstream.Address,
				healthPath: s.HealthPath,
				loadPath:   s.LoadPath,
			})
		}
	}
	return targets
}
