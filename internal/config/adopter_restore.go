package config

import (
	"slices"
	"time"
)

const (
	// restoreDelay is the least time between finding that the platform lost the
	// adopted configuration and writing it back.
	restoreDelay = time.Second
	// restoreSpread spreads the attempts of the hosts that watch.
	restoreSpread = 10 * time.Second
)

// restore is the state of writing the adopted configuration back to a platform
// that was emptied or restored from an older backup.
type restore struct {
	at          time.Time
	revision    uint64
	outstanding bool
	failures    int
}

// loses reports whether writing the bundle over the head would lose a publication:
// one that landed on the platform after it was restored.
func (b *Bundle) loses(head Head) bool {
	if len(head.Publications) == 0 || len(b.Head.Publications) == 0 {
		return true
	}
	newest := head.Publications[len(head.Publications)-1]
	known := slices.ContainsFunc(b.Head.Publications, func(p Publication) bool { return p.ID == newest.ID })
	return !known && !newest.At.Before(b.Head.Publications[0].At)
}

// platformBehind handles a platform that holds a lower version or none.
func (a *Adopter) platformBehind(head Head, revision uint64) {
	switch {
	case revision == 0:
		a.do(Refuse{Reason: RefuseAbsent, Source: Platform})
	case a.bundle.loses(head):
		a.do(Refuse{Reason: RefuseDiverged, Source: Platform, Version: head.Version})
		a.restore.at = time.Time{}
		return
	default:
		a.do(Refuse{Reason: RefuseStale, Source: Platform, Version: head.Version})
	}
	a.restore.revision = revision
	if a.restore.at.IsZero() && !a.restore.outstanding {
		a.restore.at = a.now.Add(restoreDelay + time.Duration(a.rng.Int64N(int64(restoreSpread))))
	}
}

func (a *Adopter) restoreTimer() {
	r := &a.restore
	if r.at.IsZero() || a.now.Before(r.at) {
		return
	}
	r.at = time.Time{}
	r.outstanding = true
	a.do(Restore{Bundle: a.bundle, Revision: r.revision})
}

func (a *Adopter) restored() { a.restore = restore{} }

// restoreFailed lets the next platform read decide whether to try again, after a
// backoff.
func (a *Adopter) restoreFailed() {
	r := &a.restore
	r.outstanding = false
	r.failures++
	a.watch.index = 0
	a.watch.at = later(a.watch.at, a.now.Add(a.backoff(r.failures, backoffCap)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
