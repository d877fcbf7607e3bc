package catalog

import "cmp"

// Position is a point in the store's sequence of changes. A store that comes back from
// an older copy of itself begins a new epoch: it has lost its last changes, and assigns
// their revisions to others. Revisions of different epochs are therefore not comparable.
type Position struct {
	// Epoch is the number of times that the store has come back from a copy, as the
	// store counts it; zero if the store does not tell.
	Epoch uint64
	// Revision is the store's revision.
	Revision uint64
}

// Compare returns a negative number if p is before q, zero if they are equal, and a
// positive number if p is after q. All positions of an epoch are after those of earlier
// epochs.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Next returns the position that follows p in its epoch.
func (p Position) Next() Position { return Position{Epoch: p.Epoch, Revision: p.Revision + 1} }

// earlierOf returns the earlier one of two positions.
func earlierOf(p, q Position) Position {
	if p.After(q) {
		return q
	}
	return p
}

// laterOf returns the later one of two positions.
func laterOf(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}
