package config

import (
	"slices"
	"time"
)

const (
	// minRestoreDelay is the minimum time between detecting that the platform has lost the
	// adopted configuration and writing it back.
	minRestoreDelay = time.Second
	// restoreJitter bounds the random delay that is added to minRestoreDelay, so that the
	// watchers do not write at the same time.
	restoreJitter = 10 * time.Second
)

// restoreState tracks the write of the adopted configuration to a platform that was emptied or
// restored from an older backup.
type restoreState struct {
	// dueAt is the time of the next write; zero when none is scheduled.
	dueAt time.Time
	// revision is the revision of the head to overwrite; zero when there is no head.
	revision    uint64
	outstanding bool
	failures    int
}

// wouldLosePublication reports whether overwriting the head with the bundle could lose a
// publication made after the platform was restored. That is the case when the newest
// publication of the head is unknown to the bundle, and not so old that the bundle may have
// dropped it from its list.
func (b *Bundle) wouldLosePublication(head Head) bool {
	if len(head.Publications) == 0 || len(b.Head.Publications) == 0 {
		return true
	}
	newest := head.Publications[len(head.Publications)-1]
	known := slices.ContainsFunc(b.Head.Publications, func(p Publication) bool { return p.ID == newest.ID })
	return !known && !newest.At.Before(b.Head.Publications[0].At)
}

// handlePlatformBehind reports that the platform holds a lower version or none, and schedules
// a restore unless that could lose a publication.
func (a *Adopter) handlePlatformBehind(head Head, revision uint64) {
	switch {
	case revision == 0:
		a.emit(Refuse{Reason: RefuseAbsent, Source: PlatformSource})
	case a.bundle.wouldLosePublication(head):
		a.emit(Refuse{Reason: RefuseDiverged, Source: PlatformSource, Version: head.Version})
		a.restore.dueAt = time.Time{}
		return
	default:
		a.emit(Refuse{Reason: RefuseStale, Source: PlatformSource, Version: head.Version})
	}
	a.restore.revision = revision
	if a.restore.dueAt.IsZero() && !a.restore.outstanding {
		a.restore.dueAt = a.now.Add(minRestoreDelay + time.Duration(a.rng.Int64N(int64(restoreJitter))))
	}
}

// runRestoreTimer starts the restore when it is due.
func (a *Adopter) runRestoreTimer() {
	r := &a.restore
	if r.dueAt.IsZero() || a.now.Before(r.dueAt) {
		return
	}
	r.dueAt = time.Time{}
	r.outstanding = true
	a.emit(Restore{Bundle: a.bundle, Revision: r.revision})
}

func (a *Adopter) handleRestored() { a.restore = restoreState{} }

// handleRestoreFailed schedules a platform read after a backoff. The result of that read decides
// whether the restore is retried.
func (a *Adopter) handleRestoreFailed() {
	r := &a.restore
	r.outstanding = false
	r.failures++
	a.watch.index = 0
	a.watch.nextReadAt = later(a.watch.nextReadAt, a.now.Add(a.backoff(r.failures, backoffCap)))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
