package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/limit"
)

// initialEstimate is the service time assumed before the first measurement.
const initialEstimate = 5 * time.Millisecond

// lane gives the slots of one service to requests. It wraps the scheduler with
// a lock and wakes the goroutines whose requests were decided.
type lane struct {
	now func() time.Time

	mu        sync.Mutex
	scheduler *admission.Scheduler
	budget    *limit.RetryBudget
	waiters   map[uint64]chan admission.Decision
	nextID    uint64

	lenders []host.ID
	rand    *rand.Rand
	// borrowers counts requests that wait for a loan without being queued.
	borrowers int
	// borrowing is set while a loan is asked for beside the queue.
	borrowing   bool
	borrowAfter time.Time
}

func newLane(now func() time.Time, seed uint64, limits Limits) *lane {
	return &lane{
		now: now,
		scheduler: admission.NewScheduler(admission.Options{
			Rand:               rand.New(rand.NewPCG(seed, 0)),
			QueueLimit:         limits.QueueLimit,
			InitialServiceTime: initialEstimate,
		}),
		budget:  limit.NewRetryBudget(limits.RetryRatio),
		waiters: make(map[uint64]chan admission.Decision),
		rand:    rand.New(rand.NewPCG(seed, 1)),
	}
}

func (l *lane) submit(deadline time.Time, exclude []string) (admission.Decision, chan admission.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	request := admission.Request{ID: l.nextID, Deadline: deadline, Exclude: exclude}
	decision := l.scheduler.Submit(l.now(), request)
	if decision.Kind != admission.Queued {
		return decision, nil
	}
	wait := make(chan admission.Decision, 1)
	l.waiters[decision.ID] = wait
	return decision, wait
}

// withdraw removes a request from the queue unless it was decided meanwhile; a
// slot granted too late is used, or released by the caller.
func (l *lane) withdraw(id uint64, wait chan admission.Decision, reason admission.Reason) admission.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.scheduler.Cancel(id) {
		return <-wait
	}
	delete(l.waiters, id)
	return admission.Decision{ID: id, Kind: admission.Refused, Reason: reason}
}

// cancel removes a request from the queue and says whether it was still there.
func (l *lane) cancel(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, id)
	return l.scheduler.Cancel(id)
}

// release returns a slot; busy is zero when the service time is not known.
func (l *lane) release(upstream string, busy time.Duration, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if refused {
		l.wake(l.scheduler.ReleaseRefused(l.now(), upstream))
		return
	}
	l.wake(l.scheduler.Release(l.now(), upstream, busy))
}

func (l *lane) update(targets []admission.Target, lenders []host.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lenders = lenders
	l.wake(l.scheduler.Update(l.now(), targets))
}

func (l *lane) fresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.RecordRequest()
}

func (l *lane) takeRetry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.TakeRetry()
}

// wake hands decisions to the waiting requests. The channels have room for one.
func (l *lane) wake(decisions []admission.Decision) {
	for _, decision := range decisions {
		l.waiters[decision.ID] <- decision
		delete(l.waiters, decision.ID)
	}
}
