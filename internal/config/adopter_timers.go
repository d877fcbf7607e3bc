package config

import "time"

// runTimers runs all timers, each of which does nothing unless it is due.
func (a *Adopter) runTimers() {
	a.runRoundTimer()
	a.runPullTimer()
	a.runWatchTimer()
	a.runConfirmTimer()
	a.runRestoreTimer()
}

// NextWake returns the time at which the driver must pass TimerFired to Step, unless another
// event comes first.
func (a *Adopter) NextWake() time.Time {
	next := a.pull.nextAt
	if a.round != nil && a.candidate == nil {
		next = earlier(next, a.round.nextWake(a.now))
	}
	if a.bundle != nil && !a.watch.outstanding {
		if a.isWatcher() {
			next = earlier(next, a.watch.nextReadAt)
		} else {
			next = earlier(next, a.takeoverAt())
		}
	}
	if !a.confirm.dueAt.IsZero() && !a.confirm.outstanding {
		next = earlier(next, a.confirm.dueAt)
	}
	if !a.restore.dueAt.IsZero() {
		next = earlier(next, a.restore.dueAt)
	}
	return next
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
