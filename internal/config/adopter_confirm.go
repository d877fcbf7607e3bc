package config

import "time"

// confirmState tracks the host's confirmations that it has adopted a version that released
// addresses.
type confirmState struct {
	// confirmed is the highest version that this process has stored on the platform.
	confirmed Version
	// dueAt is the time of the next confirmation; zero when none is scheduled.
	dueAt       time.Time
	outstanding bool
	failures    int
}

// complete records that the platform has stored the version.
func (c *confirmState) complete(version Version) {
	c.confirmed = max(c.confirmed, version)
	c.outstanding = false
	c.failures = 0
}

// needsConfirm reports whether the adopted version has quarantined addresses whose release
// this host has not confirmed.
func (a *Adopter) needsConfirm() bool {
	if a.bundle == nil {
		return false
	}
	for _, q := range a.bundle.Head.Quarantined {
		if q.Released > a.confirm.confirmed {
			return true
		}
	}
	return false
}

// scheduleConfirm schedules a confirmation at a random time within maxConfirmDelay, unless
// none is needed or one is already scheduled.
func (a *Adopter) scheduleConfirm() {
	if !a.needsConfirm() || !a.confirm.dueAt.IsZero() {
		return
	}
	a.confirm.dueAt = a.now.Add(time.Duration(a.rng.Int64N(int64(maxConfirmDelay))))
}

// runConfirmTimer sends the confirmation when it is due and none is outstanding.
func (a *Adopter) runConfirmTimer() {
	c := &a.confirm
	if c.dueAt.IsZero() || c.outstanding || a.now.Before(c.dueAt) {
		return
	}
	c.dueAt = time.Time{}
	if a.needsConfirm() {
		c.outstanding = true
		a.emit(Confirm{Version: a.bundle.Version()})
	}
}

func (a *Adopter) handleConfirmFailed() {
	a.confirm.outstanding = false
	a.confirm.failures++
	a.confirm.dueAt = a.now.Add(a.backoff(a.confirm.failures, backoffCap))
}
