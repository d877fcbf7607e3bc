package config

import "time"

func (a *Adopter) runTimers() {
	a.roundTimer()
	a.pullTimer()
	a.watchTimer()
	a.confirmTimer()
	a.restoreTimer()
}

// NextWake returns when the driver has to report TimerFired at the latest.
func (a *Adopter) NextWake() time.Time {
	next := a.pulls.at
	if a.round != nil && a.candidate == nil {
		next = earlier(next, a.round.wake(a.now))
	}
	if a.bundle != nil && !a.watch.outstanding {
		if a.watches() {
			next = earlier(next, a.watch.at)
		} else {
			next = earlier(next, a.takeoverAt())
		}
	}
	if !a.confirm.at.IsZero() && !a.confirm.outstanding {
		next = earlier(next, a.confirm.at)
	}
	if !a.restore.at.IsZero() {
		next = earlier(next, a.restore.at)
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
