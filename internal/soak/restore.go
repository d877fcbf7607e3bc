package soak

import (
	"time"

	"github.com/oatlatch/oatlatch/platform/standin"
)

const (
	// restoreOdds is the number of faults to one restore of the store, on average.
	restoreOdds = 4
	// rewriteDelay is the time after a restore by which the operator and the upstreams
	// have written again what the store lost.
	rewriteDelay = 800 * time.Millisecond
)

// storeCopy is a copy of the store, with what only the run knows of that time.
type storeCopy struct {
	store standin.StoreCopy
	taken time.Time
}

// restoreStoreAtRandom restores the store from a copy that is some seconds old, in one of
// restoreOdds cases. It takes a new copy in the others.
func (r *soakRun) restoreStoreAtRandom() {
	if r.copied == nil || r.restoreRandom.IntN(restoreOdds) != 0 {
		if r.copied == nil || time.Since(r.copied.taken) > applyWithin {
			r.copied = &storeCopy{store: r.store.Copy(), taken: time.Now()}
		}
		return
	}
	r.mu.Lock()
	r.faultCounts["store-restore"]++
	r.mu.Unlock()
	older := r.copied.store
	r.runStoreFault(func() { r.store.SetUnavailable(true) }, func() {
		r.store.Restore(older)
		r.store.SetUnavailable(false)
		time.Sleep(rewriteDelay)
		if err := r.writeAgain(); err != nil {
			r.recorder.RecordViolation("%v", err)
		}
	})
}

// writeAgain writes the configuration, the evacuation and the registrations that the store
// lacks, and removes those of upstreams that have left.
func (r *soakRun) writeAgain() error {
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	if err := r.store.Put(standin.ConfigurationKey, standin.Configuration(r.version.Load(), r.routes, services)); err != nil {
		return err
	}
	if err := r.writeEvacuation(); err != nil {
		return err
	}
	for _, u := range r.upstreams {
		if u.left {
			r.store.Remove(u.standin.StoreKey())
			continue
		}
		if err := r.store.Put(u.standin.StoreKey(), u.standin.Registration()); err != nil {
			return err
		}
	}
	return nil
}
