package catalog

import "time"

// HasNewChanges reports whether the update has a change that a host with the given state
// lacks, or tells of earlier configurations than the host knows. It may also repeat inferred
// departures at the host's position, overrides, and records of the operator beyond its own position. They don't count if the
// host may have received them before.
func (u *Update) HasNewChanges(have Have) bool {
	for i := range u.Changes {
		change := &u.Changes[i]
		isConfiguration := change.Configuration != nil || change.Delta != nil
		known := have.Position
		if change.Position.After(u.Position) {
			known = laterOf(known, have.Ahead)
		}
		if change.Position.After(known) || change.Override && isConfiguration {
			return true
		}
	}
	return u.History != nil && have.HistoryFrom.After(u.History.From)
}

// isOperator reports whether the change is one of the operator's records. A source may have
// these earlier than other records.
func (change *Change) isOperator() bool {
	return change.Configuration != nil || change.Delta != nil || change.Evacuation != nil
}

// ApplyOperator merges records of the operator that the store has written after the
// catalog's position. The catalog stays incomplete from its position on. Records of another
// epoch are ignored.
func (c *Catalog) ApplyOperator(now time.Time, changes []Change) {
	for i := range changes {
		if change := &changes[i]; change.isOperator() && change.Position.Epoch == c.epoch {
			c.mergeChange(now, change)
		}
	}
}

// Progress tells how much of the store's changes a host knows.
type Progress struct {
	Have
	// Newest is the position of the last change that the host's view shows, those by the
	// operator apart. Positions after it hold only records that were written again unchanged.
	Newest Position
	// Operator is the position of the last change by the operator that the view shows.
	Operator Position
}

// Progress returns how much of the store's changes the catalog holds.
func (c *Catalog) Progress() Progress {
	return Progress{Have: c.Have(), Newest: c.newest, Operator: c.operator}
}

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
		return other.Overrides > p.Overrides || lacksChange(p.Position, p.Newest, other.Newest) || lacksChange(p.Position, p.Operator, other.Operator)
	}
}

// lacksChange reports whether a host whose state is complete up to a position, and that also
// has the change at known, lacks the change at other.
func lacksChange(complete, known, other Position) bool {
	return other.After(complete) && other.After(known)
}

// Listing reports whether some pages of a listing have been merged, but not yet the last.
func (c *Catalog) Listing() bool { return c.listing != nil && c.listing.started }

// mergeChange merges a change and notes whether it changed the view. It returns false for a
// delta whose base is not the current configuration.
func (c *Catalog) mergeChange(now time.Time, change *Change) (merged bool) {
	newest := &c.newest
	if change.isOperator() {
		newest = &c.operator
	}
	c.noteNewest(newest, change.Position, func() { merged = c.applyChange(now, change) })
	return merged
}

// noteNewest calls merge, and advances newest to the position if that has changed the view.
func (c *Catalog) noteNewest(newest *Position, position Position, merge func()) {
	before := c.viewChanged
	c.viewChanged = false
	merge()
	if c.viewChanged {
		*newest = laterOf(*newest, position)
	}
	c.viewChanged = c.viewChanged || before
}
