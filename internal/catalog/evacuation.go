package catalog

import (
	"maps"
	"slices"
	"time"
)

// Evacuation is an operator's request that upstreams of a data centre get no new flows.
type Evacuation struct {
	DataCentre string
	// Position is where the store wrote the request. It is of an earlier epoch if a restore
	// of the store has lost the request.
	Position Position
	// Since is when this host, or the one that told it, first knew of the request.
	Since time.Time
}

// EvacuationRecord is the request to evacuate a data centre, or its removal, in a Change.
type EvacuationRecord struct {
	DataCentre string
	// Withdrawn is set if the request was removed.
	Withdrawn bool
	// Age is the time since the sending host, or the one that told it, first knew of the
	// request or the removal.
	Age time.Duration
	// AfterRestore is set if the record is known to have been written after the last
	// restore of the store.
	AfterRestore bool
	// Origin is the earliest position, possibly of an earlier epoch, at which the record
	// can have been written; zero if it is that of the change. It orders what hosts know
	// from before a restore.
	Origin Position
	// KeptFor is how long hosts have kept an override.
	KeptFor time.Duration
}

// evacuationEntry is the request to evacuate a data centre, or a tombstone of one.
type evacuationEntry struct {
	dataCentre string
	// requested is set while the data centre is to be evacuated.
	requested bool
	// position is where the store last wrote or removed the request in the current epoch.
	// While the store lacks a request that is kept, its revision is zero, so that any
	// record of the epoch is newer.
	position Position
	// origin is the earliest position at which the store can have written what is in force.
	// It is of an earlier epoch if the write may be from before a restore: of a record that
	// was first seen in a listing, only the revision is known.
	origin Position
	// since is when what is in force was first known, changedAt when it was merged.
	since, changedAt time.Time
	// afterRestore is set if position is known to be that of a write after the last restore.
	afterRestore bool
	// beforeRestore is set from a restore until the first listing of the epoch is complete.
	beforeRestore bool
	// keptSince is set while the catalog keeps what it knows although the store, restored
	// from a copy, says the opposite. It is the time since which this or another host has
	// kept it.
	keptSince time.Time
	// settled is set once the catalog has accepted what the copy says. The overrides of
	// other hosts are then ignored until the next restore.
	settled bool
}

// overrides reports whether the store says the opposite of what is in force.
func (e *evacuationEntry) overrides() bool { return !e.keptSince.IsZero() }

// written returns where the store wrote what is in force, as far as it is known.
func (e *evacuationEntry) written() Position {
	if e.overrides() {
		return e.origin
	}
	return e.position
}

// evacuationState is what a catalog knows of evacuations.
type evacuationState struct {
	evacuations map[string]*evacuationEntry
	// sourcePosition is the position of the answer that is being merged, and completeTo the
	// one up to which the catalog was complete in this epoch before it; zero if it was not.
	// In a first listing it is the position of the listing.
	sourcePosition, completeTo Position
}

// evacuationOverrides returns the number of data centres of which the catalog knows more
// than the store.
func (c *Catalog) evacuationOverrides() int {
	n := 0
	for _, e := range c.evacuations {
		if e.overrides() {
			n++
		}
	}
	return n
}

// mergeEvacuation merges the request to evacuate a data centre, or its removal. The
// removal of an unknown request is stored too, because a host that reads this one may know
// the request.
func (c *Catalog) mergeEvacuation(now time.Time, change *Change) {
	r, position := change.Evacuation, change.Position
	e, known := c.evacuations[r.DataCentre]
	if !known {
		e = &evacuationEntry{dataCentre: r.DataCentre, position: Position{Epoch: position.Epoch}}
	}
	if change.Override {
		c.mergeEvacuationOverride(now, e, change)
		return
	}
	afterRestore := r.AfterRestore || c.writtenAfterRestore(change)
	fromBefore := e.beforeRestore || e.overrides()
	switch {
	case position == e.position && e.overrides() && (afterRestore || r.Origin.After(e.origin)):
		// Another host knows that the record is newer than what this one keeps.
	case !position.After(e.position):
		return
	case !r.Withdrawn && !position.After(c.position) && c.position.After(c.sourcePosition):
		// The catalog is complete up to its own position, so the request has been removed
		// since. A source that is behind has not seen the removal, and no later answer
		// would repeat it to this host.
		return
	case fromBefore && !afterRestore && e.requested == r.Withdrawn && !r.newerThan(e, position):
		if !r.Withdrawn {
			c.keepEvacuation(now, e, position, e.keptSince)
		}
		return
	}
	origin := r.Origin
	switch {
	case afterRestore && origin.Epoch < position.Epoch:
		origin = position
	case origin.Revision == 0:
		origin = Position{Revision: position.Revision}
	}
	if !afterRestore {
		origin = laterOf(origin, e.origin)
	}
	c.setEvacuation(now, e, !r.Withdrawn, position, r.Age)
	e.origin, e.afterRestore = origin, afterRestore
}

// writtenAfterRestore reports whether the record is known to have been written since the
// last restore: the copy has nothing after a position up to which the catalog was complete in
// this epoch. It cannot tell for a removal that another host tells, whose position may be that
// of a listing which lacked the request; that host sets AfterRestore if it knows.
func (c *Catalog) writtenAfterRestore(change *Change) bool {
	r := change.Evacuation
	inferred := r.Withdrawn && r.Origin.Revision != 0
	return !inferred && c.completeTo.Revision != 0 && change.Position.After(c.completeTo)
}

// newerThan reports whether the record, which the store has at the position and which may
// be from the copy, was written after what the entry knows from before the restore.
func (r *EvacuationRecord) newerThan(e *evacuationEntry, position Position) bool {
	if r.Origin.Revision != 0 {
		return r.Origin.After(e.origin)
	}
	return position.Revision > e.origin.Revision
}

// mergeEvacuationOverride merges what another host keeps although the store, at the
// position of the change, says the opposite.
func (c *Catalog) mergeEvacuationOverride(now time.Time, e *evacuationEntry, change *Change) {
	r, position := change.Evacuation, change.Position
	// A removal that is not known to have been written after the restore has the position of
	// a listing that lacked the request, as it does for the source: the origin decides.
	outdated := e.position.After(position) && (r.Withdrawn || e.requested || e.afterRestore)
	if r.KeptFor >= outdatedRecordLimit || e.settled || outdated {
		return
	}
	if r.Withdrawn && position.After(e.position) && !position.After(c.position) {
		// The catalog is complete beyond the stored request that the source overrides, and
		// does not know it: the store has removed it since.
		if r.Origin.After(e.origin) && (!e.requested || e.overrides()) {
			c.setEvacuation(now, e, false, c.position, r.Age)
			e.origin = r.Origin
		}
		return
	}
	if e.requested == r.Withdrawn {
		if !r.Origin.After(e.origin) {
			if r.Withdrawn {
				// The store has the request that this catalog keeps.
				c.setEvacuation(now, e, true, position, r.Age)
			}
			return
		}
		c.setEvacuation(now, e, !r.Withdrawn, position, r.Age)
	}
	e.origin = laterOf(e.origin, r.Origin)
	// The host that began first to keep it ends it.
	c.keepEvacuation(now, e, position, now.Add(-r.KeptFor))
}

// storedEvacuation returns what the store has instead of the override. It replaces the
// overrides of a snapshot, which may have ended long ago; hosts that still keep them tell it.
func storedEvacuation(override *Change) *Change {
	r := override.Evacuation
	return &Change{Position: override.Position, Evacuation: &EvacuationRecord{DataCentre: r.DataCentre, Withdrawn: !r.Withdrawn}}
}

// setEvacuation puts the request or its removal in force.
func (c *Catalog) setEvacuation(now time.Time, e *evacuationEntry, requested bool, position Position, age time.Duration) {
	changed := e.requested != requested
	if changed || e.since.IsZero() {
		e.since = now.Add(-age)
	}
	e.requested, e.position, e.changedAt = requested, position, now
	e.afterRestore, e.beforeRestore, e.keptSince, e.settled = false, false, time.Time{}, false
	c.evacuations[e.dataCentre] = e
	if changed {
		c.recordEvacuationChange(e)
	}
}

// recordEvacuationChange records that what is in force has changed.
func (c *Catalog) recordEvacuationChange(e *evacuationEntry) {
	kind := EvacuationWithdrawn
	if e.requested {
		kind = EvacuationRequested
	}
	c.recordEvent(Event{Kind: kind, Position: e.written(), DataCentre: e.dataCentre})
	c.viewChanged = true
}

// keepEvacuation records that the store says the opposite of what is in force, at the
// position, and that some host has kept this since the given time; zero stands for now.
func (c *Catalog) keepEvacuation(now time.Time, e *evacuationEntry, position Position, since time.Time) {
	if since.IsZero() {
		since = now
	}
	if !e.overrides() {
		c.recordEvent(Event{Kind: EvacuationKept, Position: position, DataCentre: e.dataCentre, Requested: e.requested})
	}
	if !e.overrides() || since.Before(e.keptSince) {
		e.keptSince = since
	}
	e.position, e.beforeRestore, e.changedAt = position, false, now
	e.afterRestore, e.settled = false, false
	c.evacuations[e.dataCentre] = e
}

// restoreEvacuations makes the first listing of a new epoch decide about what was known
// before.
func (c *Catalog) restoreEvacuations(first Position) {
	for _, e := range c.evacuations {
		e.position, e.keptSince = first, time.Time{}
		e.afterRestore, e.beforeRestore, e.settled = false, true, false
	}
}

// finishEvacuationListing treats requests that the complete listing lacks as removed. A
// request that was known before a restore is kept: the copy may be from before it.
func (c *Catalog) finishEvacuationListing(now time.Time, l *listing) {
	for _, e := range c.evacuations {
		if _, listed := l.evacuations[e.dataCentre]; listed || e.position.After(l.position) {
			continue
		}
		switch {
		case e.requested && e.beforeRestore:
			c.keepEvacuation(now, e, e.position, now)
		case e.requested && e.overrides():
		case e.requested:
			c.setEvacuation(now, e, false, l.position, 0)
			e.origin = l.position
		case e.overrides() || e.beforeRestore:
			c.setEvacuation(now, e, false, l.position, 0)
		}
	}
}

// expireEvacuations accepts what the store has said for outdatedRecordLimit, and deletes
// the tombstones of requests that were removed longer ago than the retention.
func (c *Catalog) expireEvacuations(now time.Time) {
	retained := c.retainedSince(now)
	for name, e := range c.evacuations {
		switch {
		case e.overrides():
			if now.Sub(e.keptSince) >= outdatedRecordLimit {
				e.requested, e.origin = !e.requested, Position{Revision: e.position.Revision}
				e.since, e.changedAt, e.keptSince, e.settled = now, now, time.Time{}, true
				c.recordEvacuationChange(e)
			}
		case !e.requested && e.changedAt.Before(retained):
			c.compactedPosition = laterOf(c.compactedPosition, e.position)
			delete(c.evacuations, name)
		}
	}
}

// evacuationChanges returns the records of evacuations that a host with the given state
// lacks. A host that knows more than the store gets them all, because a write that ends
// what it keeps may be before its position.
func (c *Catalog) evacuationChanges(now time.Time, have Have) []Change {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(c.evacuations)) {
		e := c.evacuations[name]
		if !e.position.After(have.Position) && !e.overrides() && have.Overrides == 0 {
			continue
		}
		r := &EvacuationRecord{DataCentre: name, Withdrawn: !e.requested, Age: now.Sub(e.since), AfterRestore: e.afterRestore, Origin: e.origin}
		if e.overrides() {
			r.KeptFor = now.Sub(e.keptSince)
		}
		changes = append(changes, Change{Position: e.position, Override: e.overrides(), Evacuation: r})
	}
	return changes
}

// evacuationsInForce returns the requests in force, sorted by data centre.
func (c *Catalog) evacuationsInForce() []Evacuation {
	var all []Evacuation
	for _, name := range slices.Sorted(maps.Keys(c.evacuations)) {
		if e := c.evacuations[name]; e.requested {
			all = append(all, Evacuation{DataCentre: name, Position: e.written(), Since: e.since})
		}
	}
	return all
}
