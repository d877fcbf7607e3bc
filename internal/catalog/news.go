package catalog

import "time"

// HasNewChanges reports whether the update has a change that a host with the given state
// lacks. The update may also repeat inferred departures at the host's position, and
// overrides of upstreams. They don't count, because the host may have received them before.
func (u *Update) HasNewChanges(have Have) bool {
	for i := range u.Changes {
		change := &u.Changes[i]
		isConfiguration := change.Configuration != nil || change.Delta != nil
		if change.Position.After(have.Position) || change.Override && isConfiguration {
			return true
		}
	}
	return false
}

// Progress tells how much of the store's changes a host knows.
type Progress struct {
	Have
	// Newest is the position of the last change that the host's view shows. Positions after
	// it hold only records that were written again unchanged.
	Newest Position
}

// Progress returns how much of the store's changes the catalog holds.
func (c *Catalog) Progress() Progress { return Progress{Have: c.Have(), Newest: c.newest} }

// Lacks reports whether a host with this progress lacks something that one with the other
// progress knows. A host that has not seen the last restore of the store knows nothing for
// one that has, except a later configuration.
func (p Progress) Lacks(other Progress) bool {
	switch {
	case other.Version > p.Version || other.Position.Epoch > p.Position.Epoch:
		return true
	case other.Position.Epoch < p.Position.Epoch:
		return false
	default:
		return other.Overrides > p.Overrides || other.Newest.After(p.Position) && other.Newest.After(p.Newest)
	}
}

// Listing reports whether some pages of a listing have been merged, but not yet the last.
func (c *Catalog) Listing() bool { return c.listing != nil && c.listing.started }

// mergeChange merges a change and notes whether it changed the view. It returns false for a
// delta whose base is not the current configuration.
func (c *Catalog) mergeChange(now time.Time, change *Change) (merged bool) {
	c.noteNewest(change.Position, func() { merged = c.applyChange(now, change) })
	return merged
}

// noteNewest calls merge, and notes the position if that has changed the view.
func (c *Catalog) noteNewest(position Position, merge func()) {
	before := c.viewChanged
	c.viewChanged = false
	merge()
	if c.viewChanged {
		c.newest = laterOf(c.newest, position)
	}
	c.viewChanged = c.viewChanged || before
}
