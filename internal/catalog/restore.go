package catalog

import "time"

// outdatedRecordLimit is how long the store may show an outdated record of an upstream
// before it counts as current. The store removes the record of a silent upstream after
// three missed heartbeats, so one that is still there belongs to a live upstream.
const outdatedRecordLimit = 15 * time.Second

// showsRestore reports whether the first page of a listing shows that the store was
// restored from a copy since the catalog was last complete. A store that does not count
// its restores shows them by a revision that went back.
func (c *Catalog) showsRestore(page *Page) bool {
	if !c.Complete() {
		// The store was restored during the first listing.
		return page.Position.Epoch > c.epoch && (c.configuration != nil || len(c.upstreams)+len(c.hosts) > 0)
	}
	return page.Position.Epoch > c.position.Epoch || page.Current && c.position.After(page.Position)
}

// restore starts a new epoch at the position. What the catalog knows from before stays in
// force, but the records of the new epoch replace it whatever their revisions, unless
// they are known to be older.
func (c *Catalog) restore(now time.Time, position Position) {
	c.recordEvent(Event{Kind: StoreRestored, Position: position, PreviousPosition: c.position})
	c.epoch, c.formerDigest = position.Epoch, nil
	c.restoredAt, c.recoveredAt = now, now
	first := Position{Epoch: position.Epoch}
	for name, e := range c.upstreams {
		c.clearOverride(e)
		e.position, e.departureInferred, e.beforeRestore, e.settled = first, false, true, false
		c.noteUpstream(name)
	}
	for name, h := range c.hosts {
		h.position = first
		c.hosts[name] = h
		c.noteHost(name)
	}
	c.restoreEvacuations(first)
	c.position, c.compactedPosition, c.newest, c.operator = first, first, first, first
	c.configurationPosition, c.refusedPosition, c.configurationOverride = first, first, c.configuration != nil
	c.snapshot, c.snapshotPosition = StoredSnapshot{}, first
	c.peerKeyPosition, c.peerKeyBeforeRestore = first, c.peerKey != nil
	c.viewChanged = true
}

// isOutdated reports whether the record is older than what the entry says of the
// upstream: it contradicts the entry, and the upstream has written nothing since.
func (c *Catalog) isOutdated(e *Entry, u *Upstream) bool {
	switch {
	case e.override != nil:
		return u.compare(e.RecordID) <= 0 || u.compare(e.override.stored.RecordID) <= 0
	case !e.beforeRestore:
		return false
	case e.Presence == Departed:
		// If only the removal is known, any record may be from before it.
		return e.RecordID == RecordID{} || u.compare(e.RecordID) <= 0
	case e.Draining && !u.Draining:
		return u.compare(e.RecordID) <= 0
	default:
		return u.compare(e.RecordID) < 0
	}
}

// keepOutdated records that the store has an outdated record of the upstream at the
// position.
func (c *Catalog) keepOutdated(now time.Time, e *Entry, u *Upstream, position Position) {
	if e.Presence == Lapsed {
		// The store has a record after all.
		known := e.Upstream
		known.Warmup = 0 // counted when the record was received
		c.setRegistration(now, e, &known, position)
	}
	e.position, e.beforeRestore, e.settled = position, false, false
	if e.override != nil {
		e.override.stored = *u
		return
	}
	if e.Presence == Registered && e.Started.Equal(u.Started) && e.Draining == u.Draining {
		return // nothing in the record would mislead a host
	}
	c.setOverride(now, e, *u)
	c.recordUpstreamEvent(RecordOutdated, u, position)
}

// overrideRemoved merges the override of another host for the record at the position: the
// upstream has left.
func (c *Catalog) overrideRemoved(now time.Time, e *Entry, change *Change) {
	position := change.Position
	if e.settled && e.position == position {
		return
	}
	if e.override == nil {
		c.setOverride(now, e, change.storedOr(&e.Upstream))
	} else if change.Stored != nil {
		e.override.stored = *change.Stored
	}
	if e.Presence != Departed {
		c.setPresence(now, e, Departed, position)
	}
	e.position, e.beforeRestore, e.settled = position, false, false
}

// overridesRemoved reports whether the change, of an upstream that the catalog does not know,
// overrides a record that the store no longer has: a catalog that is complete beyond the
// record's position would know the record. The source has not read its removal yet.
func (c *Catalog) overridesRemoved(change *Change) bool {
	return change.Override && !change.Position.After(c.position)
}

// storedOr returns the store's record, or the fallback if the source does not know it.
func (change *Change) storedOr(fallback *Upstream) Upstream {
	if change.Stored != nil {
		return *change.Stored
	}
	return *fallback
}

// setOverride records that the store has an outdated record of the upstream.
func (c *Catalog) setOverride(now time.Time, e *Entry, stored Upstream) {
	e.override = &override{stored: stored, since: now}
	c.overrides++
}

// clearOverride records that the store has no outdated record of the upstream.
func (c *Catalog) clearOverride(e *Entry) {
	if e.override != nil {
		e.override = nil
		c.overrides--
	}
}
