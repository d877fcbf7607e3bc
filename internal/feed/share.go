package feed

import "github.com/oatlatch/oatlatch/internal/catalog"

// All returns the whole catalog for another host, or false while it is incomplete.
func (f *Feed) All() (catalog.Page, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalog.Position() == 0 {
		return catalog.Page{}, false
	}
	page := f.catalog.Snapshot(f.options.Now())
	page.Via = f.via
	return page, true
}

// Since returns what changed for another host that has the given state, and a
// channel that is closed at the next change. It reports false when the host
// needs a listing.
func (f *Feed) Since(have catalog.Have) (catalog.Update, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalog.Position() == 0 {
		return catalog.Update{}, f.changed, false
	}
	update, ok := f.catalog.ChangesSince(f.options.Now(), have)
	update.Via = f.via
	return update, f.changed, ok
}
