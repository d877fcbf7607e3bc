package evidencerpc

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/evidence"
)

// ownSumsLifetime is how long this host's own numbers are used again without asking the
// engine, which counts the flows of all upstreams. Reports are renewed half as often.
const ownSumsLifetime = 250 * time.Millisecond

// NotifyEvacuation makes the exchange report soon that an evacuation has begun or ended on
// this host. It never blocks.
func (x *Exchange) NotifyEvacuation() {
	x.ownSumsOutdated.Store(true)
	x.wakeUp()
}

// Sums returns the sums of all hosts, and whether this is the first host, which adds them
// up.
func (x *Exchange) Sums() (sums evidence.Sums, first bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.totalSumsLocked(x.options.Now()), x.parent == nil
}

// totalSumsLocked returns the sums of all hosts. x.mu must be held.
func (x *Exchange) totalSumsLocked(now time.Time) evidence.Sums {
	return x.sums.Total(now, x.ownSumsLocked(now), x.parentNameLocked())
}

// ownSumsLocked returns this host's own numbers. x.mu must be held.
func (x *Exchange) ownSumsLocked(now time.Time) evidence.Sums {
	if x.ownSumsOutdated.Swap(false) || now.Sub(x.ownSumsAt) >= ownSumsLifetime {
		var inForce []evidence.EvacuationSum
		if x.options.Evacuations != nil {
			inForce = x.options.Evacuations()
		}
		x.ownSums, x.ownSumsAt = evidence.NewSums(inForce), now
	}
	return x.ownSums
}

// announceSumsLocked reports changed numbers of children to the parent. The children learn
// them at once only if no parent answers for all hosts. x.mu must be held.
func (x *Exchange) announceSumsLocked(now time.Time) {
	if !x.sums.FromParent(now, x.parentNameLocked()) {
		x.received++
		x.announceLocked()
	}
	if x.parent != nil {
		x.wakeUp()
	}
}

// expireSumsLocked ends sums that were not renewed, and reports the change at once: each
// level that noticed it by itself would add SumsTTL. x.mu must be held.
func (x *Exchange) expireSumsLocked(now time.Time) {
	changed, next := x.sums.Expire(now)
	if changed {
		x.announceSumsLocked(now)
	}
	switch {
	case next == 0:
	case x.expiry == nil:
		x.expiry = time.AfterFunc(next, x.expireSums)
	default:
		x.expiry.Reset(next)
	}
}

// expireSums ends sums that were not renewed.
func (x *Exchange) expireSums() {
	x.mu.Lock()
	x.expireSumsLocked(x.options.Now())
	x.mu.Unlock()
	x.checkSums()
}

// stopExpiry stops the timer for sums that end. Those that arrive later start it again, but
// it ends by itself once no more arrive.
func (x *Exchange) stopExpiry() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.expiry != nil {
		x.expiry.Stop()
	}
}

// checkSums calls OnSums at the first host while an evacuation is in force.
func (x *Exchange) checkSums() {
	if x.options.OnSums == nil {
		return
	}
	if sums, first := x.Sums(); first && len(sums.Evacuations) > 0 {
		x.options.OnSums()
	}
}
