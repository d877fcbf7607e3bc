package probe

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
)

// scheduleEntry holds when a target is due.
type scheduleEntry struct {
	target target
	dueAt  time.Time
	// inProgress is set while a check of the target is in progress.
	inProgress bool
	heapIndex  int
}

// entryHeap is a heap of entries, ordered by dueAt. It implements heap.Interface.
type entryHeap []*scheduleEntry

func (q entryHeap) Len() int           { return len(q) }
func (q entryHeap) Less(i, j int) bool { return q[i].dueAt.Before(q[j].dueAt) }
func (q entryHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}
func (q *entryHeap) Push(x any) {
	entry := x.(*scheduleEntry)
	entry.heapIndex = len(*q)
	*q = append(*q, entry)
}
func (q *entryHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule determines when each target is checked.
type schedule struct {
	// interval is the time between two checks of a target that passes its checks.
	interval time.Duration
	queue    entryHeap
	byKey    map[health.Key]*scheduleEntry
}

// setTargets replaces the targets. Those that stay keep their times. The first check
// of a new one is at a random time within the interval, so that checks are spread
// over it and hosts do not check simultaneously.
func (s *schedule) setTargets(now time.Time, targets []target, random *rand.Rand) {
	previous := s.byKey
	s.interval = max(checkInterval, time.Duration(len(targets))*time.Second/maxChecksPerSecond)
	s.byKey = make(map[health.Key]*scheduleEntry, len(targets))
	s.queue = s.queue[:0]
	for _, t := range targets {
		entry := previous[t.key]
		if entry == nil {
			entry = &scheduleEntry{dueAt: now.Add(time.Duration(random.Int64N(int64(s.interval))))}
		}
		entry.target = t
		s.byKey[t.key] = entry
		heap.Push(&s.queue, entry)
	}
}

// nextDue returns a target whose check is due. It postpones targets whose previous
// check is still in progress.
func (s *schedule) nextDue(now time.Time) (target, bool) {
	for len(s.queue) > 0 && !s.queue[0].dueAt.After(now) {
		entry := s.queue[0]
		if !entry.inProgress {
			return entry.target, true
		}
		s.postpone(now, entry)
	}
	return target{}, false
}

// markStarted records that a check has started, and schedules the next one.
func (s *schedule) markStarted(now time.Time, key health.Key) {
	entry := s.byKey[key]
	entry.inProgress = true
	s.postpone(now, entry)
}

// postpone moves the entry by one interval, or to one interval from now if it is
// further behind.
func (s *schedule) postpone(now time.Time, entry *scheduleEntry) {
	entry.dueAt = entry.dueAt.Add(s.interval)
	if entry.dueAt.Before(now) {
		entry.dueAt = now.Add(s.interval)
	}
	heap.Fix(&s.queue, entry.heapIndex)
}

// markDone records that a check has ended. A target that has not passed is checked
// again after checkInterval, even if the interval of the others is longer.
func (s *schedule) markDone(now time.Time, key health.Key, passed bool) {
	entry := s.byKey[key]
	if entry == nil {
		return
	}
	entry.inProgress = false
	if retryAt := now.Add(checkInterval); !passed && entry.dueAt.After(retryAt) {
		entry.dueAt = retryAt
		heap.Fix(&s.queue, entry.heapIndex)
	}
}

// nextTime returns when the next check is due, and false if there is no target.
func (s *schedule) nextTime() (time.Time, bool) {
	if len(s.queue) == 0 {
		return time.Time{}, false
	}
	return s.queue[0].dueAt, true
}

// targetsOf returns the upstreams of a configuration as targets.
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
