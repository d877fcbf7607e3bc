package dispatch

import (
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// lend takes a free slot for another host.
func (l *lane) lend(exclude []string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Lend(l.now(), exclude)
}

// learn takes the service time of a request on a lent slot into the mean.
func (l *lane) learn(busy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.RecordServiceTime(busy)
}

func (l *lane) estimate() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.MeanServiceTime()
}

func (l *lane) lenderList() []host.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lenders
}

// chooseLenders draws up to n different lenders.
func (l *lane) chooseLenders(n int) []host.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosen := slices.Clone(l.lenders)
	l.rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(n, len(chosen))]
}

// mayBorrow says whether a request in the queue may ask for a loan: one at a
// time, and after a pause when the last round brought none.
func (l *lane) mayBorrow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.borrowing || len(l.lenders) == 0 || l.now().Before(l.borrowAfter) {
		return false
	}
	l.borrowing = true
	return true
}

// borrowed ends the round that mayBorrow allowed. After denials it pauses for a
// part of the service time, in which few slots become free.
func (l *lane) borrowed(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrowing = false
	if !ok {
		pause := l.scheduler.MeanServiceTime() / lendPauseDivisor
		l.borrowAfter = l.now().Add(min(lastLendPause, max(firstLendPause, pause)))
	}
}

// enterBorrowers counts a request in that waits for a loan, up to a limit.
func (l *lane) enterBorrowers(limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.borrowers >= limit {
		return false
	}
	l.borrowers++
	return true
}

func (l *lane) leaveBorrowers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrowers--
}
