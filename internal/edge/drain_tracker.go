package edge

import "time"

const (
	// unhealthyThreshold is the number of failed readiness checks after which routers
	// stop sending packets to a host.
	unhealthyThreshold = 2
	// quietAfterChecks is the time without packets after which a host that has
	// refused unhealthyThreshold checks may exit. It covers packets in flight.
	quietAfterChecks = 100 * time.Millisecond
	// quietWithoutChecks is the time without packets after which a host that has not
	// refused as many checks may exit.
	quietWithoutChecks = 400 * time.Millisecond
	// minDrainWithoutChecks is the minimum drain time of such a host. Routers that
	// cannot reach its readiness address check it every half second, which the host
	// does not see; the time covers those checks.
	minDrainWithoutChecks = 1500 * time.Millisecond
	// drainPollInterval is the time between checks whether a draining host may exit.
	drainPollInterval = 50 * time.Millisecond
)

// drainTracker decides when a draining host may exit without cutting flows: when
// routers no longer send it packets, or at the time limit.
type drainTracker struct {
	started time.Time
	limit   time.Duration
	// packets is the number of packets received at the last call of done.
	packets uint64
	// quietSince is when that number last changed.
	quietSince time.Time
}

func newDrainTracker(now time.Time, limit time.Duration, packets uint64) *drainTracker {
	return &drainTracker{started: now, limit: limit, packets: packets, quietSince: now}
}

// done reports whether the host may exit. refusedChecks and packets are the
// numbers of readiness checks refused and of packets received so far.
func (d *drainTracker) done(now time.Time, refusedChecks, packets uint64) bool {
	if packets != d.packets {
		d.packets, d.quietSince = packets, now
	}
	elapsed, quiet := now.Sub(d.started), now.Sub(d.quietSince)
	switch {
	case elapsed >= d.limit:
		return true
	case refusedChecks >= unhealthyThreshold:
		return quiet >= quietAfterChecks
	default:
		return elapsed >= minDrainWithoutChecks && quiet >= quietWithoutChecks
	}
}
