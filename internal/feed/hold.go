package feed

import (
	"slices"
	"time"
)

// calmTime is how long no call of a host must have failed before its partners hold calls for
// longer. It exceeds peerCooldown, so that a partner that stays silent, and is asked again
// after that, keeps the calls short.
const calmTime = 10 * time.Second

// calmContact is the part of the outage threshold, in percent, up to which the last contact
// with the store is recent enough for calls to be held for longer. At 80 the store was called a
// fifth more often by 430 hosts with an apply_within of 2 s, and at 50 partners were called a
// tenth more often.
const calmContact = 60

// holdLocked returns how long the partner of the slot may hold the call that begins now. While
// nothing fails, the slots share the work: their calls end at different times, one at least in
// each partnerWait, so that a host finds its first silent partner as soon as with one slot
// whose calls are held for partnerWait. The others are then asked at once (noteFailureLocked).
// f.mu must be held.
func (f *Feed) holdLocked(now time.Time, slot int) time.Duration {
	spacing := partnerWait
	if !f.calmLocked(now) {
		spacing = partnerWait / time.Duration(f.partners.asking())
	}
	var ends []time.Time
	for i := range f.lag.calls {
		if call := &f.lag.calls[i]; i != slot && call.until.After(now) {
			ends = append(ends, call.until)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	// The call ends in the first gap between the ends of the others.
	last := now
	for _, end := range ends {
		if end.Sub(last) > spacing {
			break
		}
		last = end
	}
	return last.Add(spacing).Sub(now)
}

// calmLocked reports whether no call has failed lately, and the last contact with the store is
// recent enough not to grow old while calls are held. Otherwise hosts would take their sources
// for stale and read the store. f.mu must be held.
func (f *Feed) calmLocked(now time.Time) bool {
	return (f.lag.failedAt.IsZero() || now.Sub(f.lag.failedAt) >= calmTime) &&
		now.Sub(f.catalog.LastContact()) <= f.timing.OutageThreshold()*calmContact/100
}

// noteFailureLocked records that a call to a source or partner failed. It ends the calls that
// partners hold for longer than partnerWait: their slots ask the same partners at once whether
// they are alive. f.mu must be held.
func (f *Feed) noteFailureLocked(now time.Time) {
	f.lag.failedAt = now
	for i := range f.lag.calls {
		if call := &f.lag.calls[i]; call.cancel != nil && call.long {
			f.partners.slots[i].probe = true
			call.told = true
			call.cancel()
		}
	}
}
