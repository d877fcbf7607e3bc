package admission

import (
	"maps"
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

// waitMargin is the factor by which a wait must fit into the time left: queues
// stay at half of what deadlines allow, so that refusals come on arrival and
// seldom from the queue.
const waitMargin = 2

// estimateWeight is the weight of one measurement in the mean service time.
const estimateWeight = 0.05

// Scheduler gives the slots of one service's upstreams to requests. It is a
// state machine: callers pass the time in and carry out the decisions.
type Scheduler struct {
	options  Options
	targets  []Target
	inUse    map[string]int
	pauses   map[string]pause
	queue    []Request
	estimate time.Duration
}

// NewScheduler returns a scheduler without upstreams.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{
		options:  options,
		inUse:    make(map[string]int),
		pauses:   make(map[string]pause),
		estimate: options.InitialEstimate,
	}
}

// Submit grants, queues or refuses a request.
func (s *Scheduler) Submit(now time.Time, r Request) Decision {
	if reason := s.unservable(now, r); reason != "" {
		return Decision{ID: r.ID, Kind: Refused, Reason: reason}
	}
	if len(s.queue) == 0 || !s.queueServable(now) {
		if name, ok := s.pick(now, r.Exclude); ok {
			return s.grant(r, name)
		}
	}
	if len(s.queue) >= s.options.QueueLimit {
		return Decision{ID: r.ID, Kind: Refused, Reason: ReasonQueueFull}
	}
	if now.Add(waitMargin*s.wait(len(s.queue)) + s.estimate).After(r.Deadline) {
		return Decision{ID: r.ID, Kind: Refused, Reason: ReasonOverloaded}
	}
	s.queue = append(s.queue, r)
	return Decision{ID: r.ID, Kind: Queued, GiveUp: r.Deadline.Add(-s.estimate)}
}

// Release returns a slot after the upstream was busy for a time; it is zero
// when nothing is known of the service time.
func (s *Scheduler) Release(now time.Time, upstream string, busy time.Duration) []Decision {
	s.free(upstream)
	if busy > 0 {
		s.Learn(busy)
		delete(s.pauses, upstream)
	}
	return s.advance(now)
}

// Learn takes a service time into the mean.
func (s *Scheduler) Learn(busy time.Duration) {
	if busy > 0 {
		s.estimate += time.Duration(estimateWeight * float64(busy-s.estimate))
	}
}

// ReleaseRefused returns a slot of an upstream that refused the request, and
// prefers other upstreams for a while that doubles with each refusal in a row.
func (s *Scheduler) ReleaseRefused(now time.Time, upstream string) []Decision {
	s.free(upstream)
	length := min(maxPause, max(firstPause, 2*s.pauses[upstream].length))
	s.pauses[upstream] = pause{until: now.Add(length), length: length}
	return s.advance(now)
}

// Lend takes a free slot for another host, unless requests wait here. Release
// returns it.
func (s *Scheduler) Lend(now time.Time, exclude []string) (upstream string, ok bool) {
	if len(s.queue) > 0 {
		return "", false
	}
	upstream, ok = s.pick(now, exclude)
	if ok {
		s.inUse[upstream]++
	}
	return upstream, ok
}

func (s *Scheduler) free(upstream string) {
	if s.inUse[upstream] <= 1 {
		delete(s.inUse, upstream)
		return
	}
	s.inUse[upstream]--
}

// Update replaces the upstreams; requests that run keep their slots.
func (s *Scheduler) Update(now time.Time, targets []Target) []Decision {
	s.targets = slices.Clone(targets)
	maps.DeleteFunc(s.pauses, func(name string, _ pause) bool {
		return !slices.ContainsFunc(targets, func(t Target) bool { return t.Name == name })
	})
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
		if name, ok := s.pick(now, r.Exclude); ok {
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
func (s *Scheduler) queueServable(now time.Time) bool {
	for _, r := range s.queue {
		if _, ok := s.pick(now, r.Exclude); ok {
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

// pick draws an upstream by its free slots, weight and ramp. Paused upstreams are
// chosen only when all usable ones are paused.
func (s *Scheduler) pick(now time.Time, exclude []string) (string, bool) {
	picked, total, allPaused := "", 0.0, s.allPaused(now, exclude)
	for _, t := range s.targets {
		free := t.Slots - s.inUse[t.Name]
		if free <= 0 || slices.Contains(exclude, t.Name) || (!allPaused && s.paused(now, t)) {
			continue
		}
		score := t.score(free)
		total += score
		if s.options.Rand.Float64()*total < score {
			picked = t.Name
		}
	}
	return picked, picked != ""
}

func (s *Scheduler) allPaused(now time.Time, exclude []string) bool {
	for _, t := range s.targets {
		if t.Slots > 0 && !slices.Contains(exclude, t.Name) && !s.paused(now, t) {
			return false
		}
	}
	return true
}

func (s *Scheduler) paused(now time.Time, t Target) bool { return now.Before(s.pauses[t.Name].until) }

func (s *Scheduler) grant(r Request, upstream string) Decision {
	s.inUse[upstream]++
	return Decision{ID: r.ID, Kind: Granted, Upstream: upstream}
}
