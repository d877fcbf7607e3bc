package admission

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Options bounds a scheduler.
type Options struct {
	// Rand chooses among equal upstreams.
	Rand *rand.Rand
	// QueueLimit is the longest queue.
	QueueLimit int
	// InitialEstimate is the service time assumed before the first measurement.
	InitialEstimate time.Duration
}

// estimateWeight is the weight of one measurement in the mean service time.
const estimateWeight = 0.05

// Scheduler gives the slots of one service's upstreams to requests. It is a
// state machine: callers pass the time in and carry out the decisions.
type Scheduler struct {
	options  Options
	targets  []Target
	inUse    map[string]int
	queue    []Request
	estimate time.Duration
}

// NewScheduler returns a scheduler without upstreams.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{
		options:  options,
		inUse:    make(map[string]int),
		estimate: options.InitialEstimate,
	}
}

// Submit grants, queues or refuses a request.
func (s *Scheduler) Submit(now time.Time, r Request) Decision {
	if reason := s.unservable(now, r); reason != "" {
		return Decision{ID: r.ID, Kind: Refused, Reason: reason}
	}
	if len(s.queue) == 0 || !s.queueServable() {
		if name, ok := s.pick(r.Exclude); ok {
			return s.grant(r, name)
		}
	}
	if len(s.queue) >= s.options.QueueLimit {
		return Decision{ID: r.ID, Kind: Refused, Reason: ReasonQueueFull}
	}
	if now.Add(s.wait(len(s.queue)) + s.estimate).After(r.Deadline) {
		return Decision{ID: r.ID, Kind: Refused, Reason: ReasonOverloaded}
	}
	s.queue = append(s.queue, r)
	return Decision{ID: r.ID, Kind: Queued, GiveUp: r.Deadline.Add(-s.estimate)}
}

// Release returns a slot after the upstream was busy for a time. It is zero
// when the upstream refused the request.
func (s *Scheduler) Release(now time.Time, upstream string, busy time.Duration) []Decision {
	if s.inUse[upstream] > 0 {
		s.inUse[upstream]--
	}
	if s.inUse[upstream] == 0 {
		delete(s.inUse, upstream)
	}
	if busy > 0 {
		s.estimate += time.Duration(estimateWeight * float64(busy-s.estimate))
	}
	return s.advance(now)
}

// Update replaces the upstreams; requests that run keep their slots.
func (s *Scheduler) Update(now time.Time, targets []Target) []Decision {
	s.targets = slices.Clone(targets)
	return s.advance(now)
}

// Cancel removes a queued request and says whether it was queued.
func (s *Scheduler) Cancel(id uint64) bool {
	index := slices.IndexFunc(s.queue, func(r Request) bool { return r.ID == id })
	if index < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, index, index+1)
	return true
}

// InUse returns the slots in use at an upstream.
func (s *Scheduler) InUse(upstream string) int { return s.inUse[upstream] }

// QueueLength returns the number of queued requests.
func (s *Scheduler) QueueLength() int { return len(s.queue) }

// Estimate returns the mean service time.
func (s *Scheduler) Estimate() time.Duration { return s.estimate }

// Targets returns the upstreams.
func (s *Scheduler) Targets() []Target { return slices.Clone(s.targets) }

// advance refuses queued requests that became unservable and grants free slots.
func (s *Scheduler) advance(now time.Time) []Decision {
	var decisions []Decision
	kept := s.queue[:0]
	for _, r := range s.queue {
		if reason := s.unservable(now, r); reason != "" {
			decisions = append(decisions, Decision{ID: r.ID, Kind: Refused, Reason: reason})
			continue
		}
		if name, ok := s.pick(r.Exclude); ok {
			decisions = append(decisions, s.grant(r, name))
			continue
		}
		kept = append(kept, r)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return decisions
}

// unservable returns why no slot can help the request, or nothing.
func (s *Scheduler) unservable(now time.Time, r Request) Reason {
	if !now.Before(r.Deadline) {
		return ReasonDeadlineInQueue
	}
	for _, t := range s.targets {
		if t.Slots > 0 && !slices.Contains(r.Exclude, t.Name) {
			return s.infeasible(now, r)
		}
	}
	return ReasonNoUpstream
}

// infeasible returns ReasonDeadlineInQueue when the time left is below half of
// the usual service time.
func (s *Scheduler) infeasible(now time.Time, r Request) Reason {
	if now.Add(s.estimate / 2).After(r.Deadline) {
		return ReasonDeadlineInQueue
	}
	return ""
}

// queueServable says whether a free slot would serve the head of the queue.
func (s *Scheduler) queueServable() bool {
	for _, r := range s.queue {
		if _, ok := s.pick(r.Exclude); ok {
			return true
		}
	}
	return false
}

// wait estimates how long the request behind others in the queue waits.
func (s *Scheduler) wait(ahead int) time.Duration {
	slots := 0
	for _, t := range s.targets {
		slots += t.Slots
	}
	if slots == 0 {
		return 0
	}
	return s.estimate * time.Duration(ahead+1) / time.Duration(slots)
}

// pick chooses the upstream with the largest share of free slots, weighed by ramp.
func (s *Scheduler) pick(exclude []string) (string, bool) {
	best, bestScore := "", 0.0
	for _, t := range s.targets {
		free := t.Slots - s.inUse[t.Name]
		if free <= 0 || slices.Contains(exclude, t.Name) {
			continue
		}
		score := t.Ramp * float64(free) / float64(t.Slots) * (1 + s.options.Rand.Float64()/2)
		if score > bestScore {
			best, bestScore = t.Name, score
		}
	}
	return best, best != ""
}

func (s *Scheduler) grant(r Request, upstream string) Decision {
	s.inUse[upstream]++
	return Decision{ID: r.ID, Kind: Granted, Upstream: upstream}
}
