package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Options configure a Scheduler.
type Options struct {
	// Rand is the source of the weighted random choice of upstreams.
	Rand *rand.Rand
	// QueueLimit is the maximum number of queued requests.
	QueueLimit int
	// InitialServiceTime is the service time assumed before the first measurement.
	InitialServiceTime time.Duration
}

// waitSafetyFactor multiplies the expected wait when a request is checked against its
// deadline. With 2, queues stay at half the length that deadlines allow, so that
// requests are refused on arrival and seldom after waiting in the queue.
const waitSafetyFactor = 2

// serviceTimeWeight is the weight of a new measurement in the moving average of the
// service time.
const serviceTimeWeight = 0.05

// Scheduler assigns requests to the slots of the upstreams of one service. It is a
// state machine: callers pass in the time and carry out the decisions. It is not safe
// for concurrent use.
type Scheduler struct {
	options Options
	targets []Target
	// inUse is the number of slots in use by upstream name.
	inUse map[string]int
	// backoffs holds the last backoff of upstreams that refused a request, by name.
	backoffs map[string]backoff
	// queue holds the waiting requests in the order of their arrival.
	queue []Request
	// meanServiceTime is an exponential moving average.
	meanServiceTime time.Duration
}

// NewScheduler returns a scheduler without upstreams.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{
		options:         options,
		inUse:           make(map[string]int),
		backoffs:        make(map[string]backoff),
		meanServiceTime: options.InitialServiceTime,
	}
}

// Submit grants the request a slot, queues it or refuses it. A request overtakes the
// queue only if no queued request could use any of the free slots.
func (s *Scheduler) Submit(now time.Time, r Request) Decision {
	if reason := s.refusalReason(now, r); reason != "" {
		return Decision{ID: r.ID, Kind: Refused, Reason: reason}
	}
	if len(s.queue) == 0 || !s.canServeQueue(now) {
		if name, ok := s.pickUpstream(now, r.Exclude); ok {
			return s.grant(r, name)
		}
	}
	if len(s.queue) >= s.options.QueueLimit {
		return Decision{ID: r.ID, Kind: Refused, Reason: ReasonQueueFull}
	}
	if now.Add(waitSafetyFactor*s.expectedWait(len(s.queue)) + s.meanServiceTime).After(r.Deadline) {
		return Decision{ID: r.ID, Kind: Refused, Reason: ReasonOverloaded}
	}
	s.queue = append(s.queue, r)
	return Decision{ID: r.ID, Kind: Queued, QueueDeadline: r.Deadline.Add(-s.meanServiceTime)}
}

// Release returns a slot and records the service time of its request unless that
// is zero. It returns decisions on queued requests, as do ReleaseRefused and Update.
func (s *Scheduler) Release(now time.Time, upstream string, serviceTime time.Duration) []Decision {
	s.freeSlot(upstream)
	if serviceTime > 0 {
		s.RecordServiceTime(serviceTime)
		delete(s.backoffs, upstream)
	}
	return s.processQueue(now)
}

// RecordServiceTime updates the mean service time with a measurement. Values that are
// not positive are ignored.
func (s *Scheduler) RecordServiceTime(serviceTime time.Duration) {
	if serviceTime > 0 {
		s.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-s.meanServiceTime))
	}
}

// ReleaseRefused returns a slot of an upstream that refused the request. The upstream
// goes into a backoff, whose length doubles with each successive refusal.
func (s *Scheduler) ReleaseRefused(now time.Time, upstream string) []Decision {
	s.freeSlot(upstream)
	length := min(maxBackoff, max(initialBackoff, 2*s.backoffs[upstream].length))
	s.backoffs[upstream] = backoff{until: now.Add(length), length: length}
	return s.processQueue(now)
}

// Lend takes a free slot for use by another host, unless requests are queued here.
// Release or ReleaseRefused returns it.
func (s *Scheduler) Lend(now time.Time, exclude []string) (upstream string, ok bool) {
	if len(s.queue) > 0 {
		return "", false
	}
	upstream, ok = s.pickUpstream(now, exclude)
	if ok {
		s.inUse[upstream]++
	}
	return upstream, ok
}

func (s *Scheduler) freeSlot(upstream string) {
	if s.inUse[upstream] <= 1 {
		delete(s.inUse, upstream)
		return
	}
	s.inUse[upstream]--
}

// Update replaces the upstreams. Running requests keep their slots.
func (s *Scheduler) Update(now time.Time, targets []Target) []Decision {
	s.targets = slices.Clone(targets)
	maps.DeleteFunc(s.backoffs, func(name string, _ backoff) bool {
		return !slices.ContainsFunc(targets, func(t Target) bool { return t.Name == name })
	})
	return s.processQueue(now)
}

// Cancel removes a request from the queue and reports whether it was queued.
func (s *Scheduler) Cancel(id uint64) bool {
	index := slices.IndexFunc(s.queue, func(r Request) bool { return r.ID == id })
	if index < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, index, index+1)
	return true
}

// InUse returns the number of slots in use at an upstream.
func (s *Scheduler) InUse(upstream string) int { return s.inUse[upstream] }

// QueueLength returns the number of queued requests.
func (s *Scheduler) QueueLength() int { return len(s.queue) }

// MeanServiceTime returns the moving average of the service time.
func (s *Scheduler) MeanServiceTime() time.Duration { return s.meanServiceTime }

// Targets returns the upstreams.
func (s *Scheduler) Targets() []Target { return slices.Clone(s.targets) }

// processQueue refuses queued requests that can no longer be served, grants free slots
// to the others and returns these decisions.
func (s *Scheduler) processQueue(now time.Time) []Decision {
	var decisions []Decision
	kept := s.queue[:0]
	for _, r := range s.queue {
		if reason := s.refusalReason(now, r); reason != "" {
			decisions = append(decisions, Decision{ID: r.ID, Kind: Refused, Reason: reason})
			continue
		}
		if name, ok := s.pickUpstream(now, r.Exclude); ok {
			decisions = append(decisions, s.grant(r, name))
			continue
		}
		kept = append(kept, r)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return decisions
}

// refusalReason returns why the request could not use a free slot, or "" if it could:
// its deadline has passed or is too near, or all upstreams with slots are excluded.
func (s *Scheduler) refusalReason(now time.Time, r Request) Reason {
	if !now.Before(r.Deadline) {
		return ReasonDeadlineInQueue
	}
	for _, t := range s.targets {
		if t.Slots > 0 && !slices.Contains(r.Exclude, t.Name) {
			return s.deadlineReason(now, r)
		}
	}
	return ReasonNoUpstream
}

// deadlineReason returns ReasonDeadlineInQueue if the time left is less than half the
// mean service time, otherwise "".
func (s *Scheduler) deadlineReason(now time.Time, r Request) Reason {
	if now.Add(s.meanServiceTime / 2).After(r.Deadline) {
		return ReasonDeadlineInQueue
	}
	return ""
}

// canServeQueue reports whether any queued request could use a free slot.
func (s *Scheduler) canServeQueue(now time.Time) bool {
	for _, r := range s.queue {
		if _, ok := s.pickUpstream(now, r.Exclude); ok {
			return true
		}
	}
	return false
}

// expectedWait estimates the time until a slot is free for a request with the given
// number of requests ahead of it in the queue.
func (s *Scheduler) expectedWait(ahead int) time.Duration {
	slots := 0
	for _, t := range s.targets {
		slots += t.Slots
	}
	if slots == 0 {
		return 0
	}
	return s.meanServiceTime * time.Duration(ahead+1) / time.Duration(slots)
}

// pickUpstream picks a random upstream with a free slot, weighted by selectionWeight.
// Upstreams in backoff are picked only if all usable ones, free or not, are in backoff.
func (s *Scheduler) pickUpstream(now time.Time, exclude []string) (string, bool) {
	picked, total, ignoreBackoff := "", 0.0, s.allInBackoff(now, exclude)
	for _, t := range s.targets {
		freeSlots := t.Slots - s.inUse[t.Name]
		if freeSlots <= 0 || slices.Contains(exclude, t.Name) || (!ignoreBackoff && s.inBackoff(now, t)) {
			continue
		}
		weight := t.selectionWeight(freeSlots)
		total += weight
		if s.options.Rand.Float64()*total < weight {
			picked = t.Name
		}
	}
	return picked, picked != ""
}

// allInBackoff reports whether all upstreams with slots that are not excluded are in
// backoff.
func (s *Scheduler) allInBackoff(now time.Time, exclude []string) bool {
	for _, t := range s.targets {
		if t.Slots > 0 && !slices.Contains(exclude, t.Name) && !s.inBackoff(now, t) {
			return false
		}
	}
	return true
}

func (s *Scheduler) inBackoff(now time.Time, t Target) bool {
	return now.Before(s.backoffs[t.Name].until)
}

func (s *Scheduler) grant(r Request, upstream string) Decision {
	s.inUse[upstream]++
	return Decision{ID: r.ID, Kind: Granted, Upstream: upstream}
}
