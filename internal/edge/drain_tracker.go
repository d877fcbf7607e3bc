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
	// minDrainWithoutChecks is the minimum drain time of a host that has not refused as
	// many checks. Routers check the host every half second. If they cannot reach its
	// readiness address, the host does not see the checks; the time covers them.
	minDrainWithoutChecks = 1500 * time.Millisecond
	// drainPollInterval is the time between checks whether a draining host may exit.
	drainPollInterval = 50 * time.Millisecond
)

// drainTracker decides when a draining host may exit: when routers no longer send it
// packets, so that no flow is interrupted, or at the time limit.
type drainTracker struct {
	started time.Time
	// limit is the maximum drain time.
	limit time.Duration
	// packets is the number of packets that had been received at the last call of done.
	packets uint64
	// quietSince is when packets last changed.
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
