package feed

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Snapshot returns the whole catalog for another host. It returns false while the catalog
// is incomplete.
func (f *Feed) Snapshot() (catalog.Page, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.catalog.Complete() {
		return catalog.Page{}, false
	}
	page := f.catalog.Snapshot(f.options.Clock.Now())
	page.Via = f.via
	return page, true
}

// Complete reports whether the catalog is complete.
func (f *Feed) Complete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Complete()
}

// ChangesSince returns the changes that another host with the given state lacks, and a
// channel that is closed at the next change of the view. It returns false if the host
// needs a listing, or while the catalog is incomplete. The update then holds no more than
// the catalog's position.
func (f *Feed) ChangesSince(have catalog.Have) (catalog.Update, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.catalog.Complete() {
		return catalog.Update{}, f.changed, false
	}
	update, ok := f.catalog.ChangesSince(f.options.Clock.Now(), have)
	update.Position, update.Via, update.Isolated = f.catalog.Position(), f.via, f.isolatedLocked(f.options.Clock.Now())
	return update, f.changed, ok
}

// SnapshotState returns the state of the catalog and the snapshot in the store, as far
// as it is known.
func (f *Feed) SnapshotState() (own catalog.Have, stored catalog.StoredSnapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Have(), f.catalog.StoredSnapshot()
}

// SetRetention replaces the time for which the catalog keeps what only flows opened earlier
// refer to.
func (f *Feed) SetRetention(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog.SetRetention(d)
}

// SetStoredSnapshot records the snapshot that the store holds.
func (f *Feed) SetStoredSnapshot(s catalog.StoredSnapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog.SetStoredSnapshot(s)
}
