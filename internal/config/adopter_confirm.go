package config

import "time"

// confirm is the state of the host's confirmation of released addresses.
type confirm struct {
	// confirmed is the highest version that the platform has stored for this process.
	confirmed   Version
	at          time.Time
	outstanding bool
	failures    int
}

func (c *confirm) done(version Version) {
	c.confirmed = max(c.confirmed, version)
	c.outstanding = false
	c.failures = 0
}

// needsConfirm reports whether the adopted version releases addresses that this
// host has not confirmed.
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

func (a *Adopter) scheduleConfirm() {
	if !a.needsConfirm() || !a.confirm.at.IsZero() {
		return
	}
	a.confirm.at = a.now.Add(time.Duration(a.rng.Int64N(int64(confirmSpread))))
}

func (a *Adopter) confirmTimer() {
	c := &a.confirm
	if c.at.IsZero() || c.outstanding || a.now.Before(c.at) {
		return
	}
	c.at = time.Time{}
	if a.needsConfirm() {
		c.outstanding = true
		a.do(Confirm{Version: a.bundle.Version()})
	}
}

func (a *Adopter) confirmFailed() {
	a.confirm.outstanding = false
	a.confirm.failures++
	a.confirm.at = a.now.Add(a.backoff(a.confirm.failures, backoffCap))
}
