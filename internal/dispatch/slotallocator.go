package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/limit"
)

// initialServiceTime is the service time assumed until the first one is measured.
const initialServiceTime = 5 * time.Millisecond

// slotAllocator assigns the slots of one service to requests. It guards the scheduler
// with a mutex and passes its decisions on to the goroutines that wait for them.
type slotAllocator struct {
	now func() time.Time

	mu          sync.Mutex
	scheduler   *admission.Scheduler
	retryBudget *limit.RetryBudget
	waiters     map[uint64]chan admission.Decision
	nextID      uint64

	lenders []host.ID
	rand    *rand.Rand
	// borrowers counts the requests that wait for a loan outside the queue, because
	// this host has no usable slot.
	borrowers int
	// borrowInProgress is set while a loan is requested on behalf of a queued request,
	// and nextBorrowAt is the earliest time of the next one.
	borrowInProgress bool
	nextBorrowAt     time.Time
}

func newSlotAllocator(now func() time.Time, seed uint64, limits Limits) *slotAllocator {
	return &slotAllocator{
		now: now,
		scheduler: admission.NewScheduler(admission.Options{
			Rand:               rand.New(rand.NewPCG(seed, 0)),
			QueueLimit:         limits.QueueLimit,
			InitialServiceTime: initialServiceTime,
		}),
		retryBudget: limit.NewRetryBudget(limits.RetryRatio),
		waiters:     make(map[uint64]chan admission.Decision),
		rand:        rand.New(rand.NewPCG(seed, 1)),
	}
}

// submit asks for a slot. If the request is queued, the decision arrives on the
// returned channel.
func (a *slotAllocator) submit(deadline time.Time, exclude []string) (admission.Decision, chan admission.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextID++
	request := admission.Request{ID: a.nextID, Deadline: deadline, Exclude: exclude}
	decision := a.scheduler.Submit(a.now(), request)
	if decision.Kind != admission.Queued {
		return decision, nil
	}
	decided := make(chan admission.Decision, 1)
	a.waiters[decision.ID] = decided
	return decision, decided
}

// cancelOrReceive removes a request from the queue and returns a refusal with the
// reason. If the request has been decided in the meantime, it returns that decision;
// the caller must use or release a slot granted by it.
func (a *slotAllocator) cancelOrReceive(id uint64, decided chan admission.Decision, reason admission.Reason) admission.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.scheduler.Cancel(id) {
		return <-decided
	}
	delete(a.waiters, id)
	return admission.Decision{ID: id, Kind: admission.Refused, Reason: reason}
}

// cancel removes a request from the queue. It returns false if the request has
// already been decided.
func (a *slotAllocator) cancel(id uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiters, id)
	return a.scheduler.Cancel(id)
}

// release frees a slot. serviceTime is zero if it is not known. refused reports
// that the upstream refused the request before running it or could not be reached.
func (a *slotAllocator) release(upstream string, serviceTime time.Duration, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if refused {
		a.deliver(a.scheduler.ReleaseRefused(a.now(), upstream))
		return
	}
	a.deliver(a.scheduler.Release(a.now(), upstream, serviceTime))
}

// update replaces this host's slots and the hosts that it may borrow from.
func (a *slotAllocator) update(targets []admission.Target, lenders []host.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lenders = lenders
	a.deliver(a.scheduler.Update(a.now(), targets))
}

// recordRequest records the first attempt of a request in the retry budget.
func (a *slotAllocator) recordRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retryBudget.RecordRequest()
}

// takeRetry takes one retry from the budget and returns false if there is none.
func (a *slotAllocator) takeRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryBudget.TakeRetry()
}

// deliver sends each decision to the request that waits for it. It does not block,
// because each channel has room for the request's only decision.
func (a *slotAllocator) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		a.waiters[decision.ID] <- decision
		delete(a.waiters, decision.ID)
	}
}
