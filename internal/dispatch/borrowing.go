package dispatch

import (
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// lend takes a free slot on behalf of another host and returns its upstream.
func (a *slotAllocator) lend(exclude []string) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.Lend(a.now(), exclude)
}

// recordServiceTime adds the service time of a request on a borrowed slot to
// the mean.
func (a *slotAllocator) recordServiceTime(serviceTime time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.RecordServiceTime(serviceTime)
}

func (a *slotAllocator) meanServiceTime() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.MeanServiceTime()
}

func (a *slotAllocator) currentLenders() []host.ID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lenders
}

// sampleLenders returns up to n different lenders, chosen at random.
func (a *slotAllocator) sampleLenders(n int) []host.ID {
	a.mu.Lock()
	defer a.mu.Unlock()
	chosen := slices.Clone(a.lenders)
	a.rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(n, len(chosen))]
}

// startBorrowing reports whether a queued request may ask for a loan now: only one
// request does at a time, and a round without a loan is followed by a pause. If it
// returns true, finishBorrowing must follow.
func (a *slotAllocator) startBorrowing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.borrowInProgress || len(a.lenders) == 0 || a.now().Before(a.nextBorrowAt) {
		return false
	}
	a.borrowInProgress = true
	return true
}

// finishBorrowing ends the round that startBorrowing allowed. After a round without a
// loan, the next one has to wait for a fraction of the service time, because few slots
// become free sooner.
func (a *slotAllocator) finishBorrowing(ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrowInProgress = false
	if !ok {
		pause := a.scheduler.MeanServiceTime() / borrowPauseDivisor
		a.nextBorrowAt = a.now().Add(min(maxRetryPause, max(minRetryPause, pause)))
	}
}

// addBorrower counts a request that waits for a loan outside the queue. It returns
// false if the limit is reached.
func (a *slotAllocator) addBorrower(limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.borrowers >= limit {
		return false
	}
	a.borrowers++
	return true
}

func (a *slotAllocator) removeBorrower() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrowers--
}
