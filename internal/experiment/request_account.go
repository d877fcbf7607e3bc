package experiment

import "time"

// requestAccount records one request of a caller and sums up its time by cause. All methods of
// a nil requestAccount do nothing: runs without a measurement have none.
type requestAccount struct {
	kind Kind
	// dc is the index of the caller's data centre. moved is set if the caller has moved to
	// another one before the request ended.
	dc    int
	moved bool
	sent  time.Time
	// contact is the first time at which a packet of the request could reach a live host, or
	// zero if none could.
	contact time.Time
	done    bool
	outcome outcome
	inTime  bool

	// state is the cause that the time since the last transition counts for.
	state Cause
	since time.Time
	spent [causeCount]time.Duration
	// transit is the part of the current attempt's time that counts for Other unless the
	// attempt turns out to be futile.
	transit time.Duration
}

// enter counts the time from now on for the cause.
func (a *requestAccount) enter(now time.Time, cause Cause) {
	if a == nil || a.done {
		return
	}
	if elapsed := now.Sub(a.since); a.state == Other {
		a.transit += elapsed
	} else {
		a.spent[a.state] += elapsed
	}
	a.state, a.since = cause, now
}

// endAttempt counts the transit time of the attempt, up to the next transition, for the cause.
func (a *requestAccount) endAttempt(now time.Time, cause Cause) {
	if a == nil || a.done {
		return
	}
	a.enter(now, cause)
	a.spent[cause] += a.transit
	a.transit = 0
}

// noteContact records that a packet reaches a live host.
func (a *requestAccount) noteContact(now time.Time) {
	if a != nil && (a.contact.IsZero() || now.Before(a.contact)) {
		a.contact = now
	}
}

// finish records the outcome.
func (a *requestAccount) finish(now time.Time, o outcome, inTime bool) {
	if a == nil || a.done {
		return
	}
	a.enter(now, Other)
	a.spent[Other] += a.transit
	a.done, a.outcome, a.inTime = true, o, inTime
}

// cause returns the cause that took most of the request's time.
func (a *requestAccount) cause() Cause {
	most := Other
	for c, spent := range a.spent {
		if spent > a.spent[most] {
			most = Cause(c)
		}
	}
	return most
}
