package feed

import (
	"context"
	"fmt"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// read makes one call to the source and merges the answer into the catalog. For a peer,
// it returns ErrLoop if the peer reads this host, and ErrStale if the peer had no recent
// contact with the store; the answer is merged even so.
func (f *Feed) read(ctx context.Context, source Source, listing, fromPeer bool) error {
	var age time.Duration
	var via string
	var err error
	if listing {
		age, via, err = f.list(ctx, source, fromPeer)
	} else {
		age, via, err = f.watch(ctx, source)
	}
	if err == nil && fromPeer && via == f.options.Self {
		return ErrLoop
	}
	if err == nil && fromPeer && age > f.currentTiming().OutageThreshold() {
		return fmt.Errorf("%w: last contact %s ago", ErrStale, age.Round(time.Millisecond))
	}
	return err
}

// setVia sets the name of the host that is read. Hosts that read this one receive the
// name with each answer and use it to detect loops.
func (f *Feed) setVia(target *catalog.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.via = ""
	if target != nil {
		f.via = target.Name
	}
}

// restartListing makes the next call read the first page of a new listing, which must
// not be stale.
func (f *Feed) restartListing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restartListingLocked()
}

// restartListingLocked is restartListing with f.mu held.
func (f *Feed) restartListingLocked() {
	f.listed, f.nextPage, f.allowStale = false, "", false
}

// list reads one page of a listing. A peer sends its whole catalog as a single page. The
// results are the time since the store last answered and the name of the host that the
// source itself reads, empty if that is the store.
func (f *Feed) list(ctx context.Context, source Source, fromPeer bool) (age time.Duration, via string, err error) {
	ctx, cancel := f.options.Clock.WithTimeout(ctx, pageTimeout)
	defer cancel()
	after := f.nextPage
	if fromPeer {
		after = ""
	}
	if after == "" && f.currentRequired.Load() {
		f.allowStale = false
	}
	before := f.have().Position
	page, err := source.List(ctx, after, f.allowStale)
	if err != nil {
		return 0, "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if after == "" {
		f.catalog.BeginListing()
		// A partner may have told of later changes during the call. Only a page that lacks
		// what was known before it shows a restore of the store.
		page.Current = page.Current && (before.After(page.Position) || before == f.catalog.Position())
	}
	if err := f.catalog.AddPage(f.options.Clock.Now(), page); err != nil {
		f.restartListingLocked()
		return 0, "", err
	}
	f.nextPage, f.listed = page.Next, page.Next == ""
	f.options.Logger.Info().Int("records", len(page.Changes)).Bool("last", f.listed).Bool("may_be_stale", f.allowStale).
		Uint64("epoch", page.Position.Epoch).Uint64("position", page.Position.Revision).Uint64("version", f.catalog.Version()).Msg("page_listed")
	return page.Age, page.Via, nil
}

// watch reads the changes after the catalog's position. Its results are those of list.
func (f *Feed) watch(ctx context.Context, source Source) (age time.Duration, via string, err error) {
	ctx, cancel := f.options.Clock.WithTimeout(ctx, f.currentTiming().callTimeout())
	defer cancel()
	hold := f.currentTiming().Wait
	if f.confirming {
		hold = confirmWait
	}
	have := f.have()
	update, err := source.Watch(ctx, have, hold)
	if err != nil {
		return 0, "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.catalog.Apply(f.options.Clock.Now(), update) && !f.supersededLocked(have) {
		return 0, "", ErrCompacted
	}
	f.compactions, f.lastChanges = 0, len(update.Changes)
	if update.Isolated {
		return 0, "", ErrIsolated
	}
	return update.Age, update.Via, nil
}

// supersededLocked reports whether a partner has told of another configuration or of a
// restore of the store since the catalog had the given state. An answer to a call with that
// state may then not fit the catalog; the next one does. f.mu must be held.
func (f *Feed) supersededLocked(have catalog.Have) bool {
	now := f.catalog.Have()
	return now.Version != have.Version || now.Position.Epoch != have.Position.Epoch
}
