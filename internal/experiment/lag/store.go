package lag

import (
	"context"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
)

const (
	// storeLatency is the time of a call to the store, one way.
	storeLatency = 2 * time.Millisecond
	// listingTime is the time of a listing by a host whose fault is Starting.
	listingTime = 3 * time.Second
)

// store is the simulated store of the platform.
type store struct {
	clock    clock
	revision uint64
	// records are the current records, and history all changes.
	records []catalog.Change
	history []catalog.Change
	// waiting are the processes that wait for a change.
	waiting []*process
}

// write adds a change at the next revision. It replaces the record at index replaced,
// unless that is negative, and returns the index of its record.
func (s *store) write(change catalog.Change, replaced int) int {
	s.revision++
	change.Position = catalog.Position{Revision: s.revision}
	s.history = append(s.history, change)
	if replaced < 0 {
		replaced = len(s.records)
		s.records = append(s.records, change)
	} else {
		s.records[replaced] = change
	}
	for _, p := range s.waiting {
		p.wake()
	}
	s.waiting = nil
	return replaced
}

// after returns the changes after a revision.
func (s *store) after(revision uint64) []catalog.Change {
	// The revisions of the history are 1, 2, 3 and so on.
	return slices.Clip(s.history[min(revision, uint64(len(s.history))):])
}

// storeSource is the store as one host sees it. It implements feed.Source.
type storeSource struct{ host *simulatedHost }

func (s *storeSource) List(ctx context.Context, _ string, _ bool) (catalog.Page, error) {
	h := s.host
	fault, err := s.request(ctx)
	if err != nil {
		return catalog.Page{}, err
	}
	if fault == Starting {
		if err := h.sim.clock.waitUntil(ctx, h.sim.now.Add(listingTime)); err != nil {
			return catalog.Page{}, err
		}
	}
	page := catalog.Page{Position: catalog.Position{Revision: h.sim.store.revision}, Changes: slices.Clone(h.sim.store.records), Current: true}
	return page, h.sim.travel(ctx, storeLatency, fault)
}

func (s *storeSource) Watch(ctx context.Context, have catalog.Have, wait time.Duration) (catalog.Update, error) {
	h := s.host
	fault, err := s.request(ctx)
	if err != nil {
		return catalog.Update{}, err
	}
	return s.watch(ctx, fault, have.Position, wait, h.sim.store.after)
}

// WatchOperator implements feed.OperatorSource.
func (s *storeSource) WatchOperator(ctx context.Context, after catalog.Position, wait time.Duration) (catalog.Update, error) {
	fault, err := s.request(ctx)
	if err != nil {
		return catalog.Update{}, err
	}
	return s.watch(ctx, fault, after, wait, func(revision uint64) []catalog.Change {
		var changes []catalog.Change
		for _, change := range s.host.sim.store.after(revision) {
			if change.Configuration != nil {
				changes = append(changes, change)
			}
		}
		return changes
	})
}

// watch waits until there are changes after the position.
func (s *storeSource) watch(ctx context.Context, fault Fault, after catalog.Position, wait time.Duration, changesAfter func(uint64) []catalog.Change) (catalog.Update, error) {
	h := s.host
	store, before := &h.sim.store, h.storeFault()
	until := h.sim.now.Add(wait)
	for h.sim.now.Before(until) && (fault == Old || len(changesAfter(after.Revision)) == 0) {
		store.waiting = append(store.waiting, h.sim.current)
		if err := h.sim.clock.waitUntil(ctx, until); err != nil {
			return catalog.Update{}, err
		}
		if lost := h.storeFault(); lost != before && (lost == Silent || lost == SilentOnce) {
			return catalog.Update{}, h.sim.lose(ctx) // the answer falls into the fault
		}
	}
	update := catalog.Update{Position: catalog.Position{Revision: store.revision}, Changes: changesAfter(after.Revision)}
	if fault == Old {
		update = catalog.Update{Position: after}
	}
	return update, h.sim.travel(ctx, storeLatency, fault)
}

// request carries a call to the store and returns the fault that it meets there.
func (s *storeSource) request(ctx context.Context) (Fault, error) {
	h := s.host
	h.sim.load.storeCall(h.sim.now)
	fault := h.storeFault()
	if fault == SilentOnce {
		fault = None
	}
	switch {
	case fault == Silent || h.fault(h.serves) == Cut || fault == Lossy && h.sim.random.Float64() < lossRate:
		return fault, h.sim.lose(ctx)
	case fault == Refusing:
		return fault, &feed.StatusError{Status: 503}
	default:
		return fault, h.sim.travel(ctx, storeLatency, fault)
	}
}
