package catalog

import (
	"maps"
	"slices"
	"time"
)

// ChangesSince returns the changes that another host with the given state lacks. It
// returns false if the catalog may no longer hold all removals after that state's
// position, if that position is in another epoch, or if the catalog has had no contact
// with the store yet.
func (c *Catalog) ChangesSince(now time.Time, have Have) (Update, bool) {
	if have.Position.Epoch != c.position.Epoch || c.compactedPosition.After(have.Position) || c.lastContact.IsZero() {
		return Update{}, false
	}
	return Update{Changes: c.changesAfter(now, have), Position: c.position, Age: now.Sub(c.lastContact), History: c.historyFor(now, have)}, true
}

// Snapshot returns the whole catalog as one page of a listing.
func (c *Catalog) Snapshot(now time.Time) Page {
	return Page{Changes: c.changesAfter(now, Have{}), Position: c.position, Age: now.Sub(c.lastContact), History: c.historyFor(now, Have{})}
}

// changesAfter returns the records that a host with the given state lacks. They include
// all overrides, of which the store's positions tell nothing.
func (c *Catalog) changesAfter(now time.Time, have Have) []Change {
	position, wholeHistory := have.Position, c.offersHistory(have)
	var changes []Change
	if c.peerKey != nil && c.peerKeyPosition.After(position) {
		changes = append(changes, Change{Position: c.peerKeyPosition, PeerKey: c.peerKey})
	}
	if have.Version < c.Version() {
		changes = append(changes, c.configurationChange(have.Version))
	}
	changes = append(changes, c.evacuationChanges(now, have)...)
	for _, name := range c.hostOrder.namesFrom(position) {
		if h, ok := c.hosts[name]; ok && h.position.After(position) {
			changes = append(changes, hostChange(h))
		}
	}
	for _, name := range c.upstreamsFor(position, wholeHistory) {
		// A host that knows less of the past lacks the removals of that time as well. An
		// inferred departure has no store position of its own. It may carry the
		// position that the other host has reached without it.
		e := c.upstreams[name]
		if e == nil {
			continue // it has been deleted
		}
		if e.position.After(position) || e.departureInferred && e.position == position || e.override != nil || wholeHistory && e.Presence != Registered {
			changes = append(changes, upstreamChange(now, e))
		}
	}
	return changes
}

// upstreamsFor returns the names, in order, of the upstreams of which a host at the position
// may lack something. Overrides and the departures of the whole history are not ordered by
// position, but are needed only for a short time after a restore or the start of a host.
func (c *Catalog) upstreamsFor(position Position, wholeHistory bool) []string {
	if wholeHistory || c.overrides > 0 {
		return slices.Sorted(maps.Keys(c.upstreams))
	}
	return c.upstreamOrder.namesFrom(position)
}

// hostChange returns the entry as a change for another host.
func hostChange(h hostEntry) Change {
	if h.removed {
		return Change{Position: h.position, HostRemoved: h.Name}
	}
	host := h.Host
	host.Registered = Position{} // the same as the position of the change
	return Change{Position: h.position, Host: &host}
}

// upstreamChange returns the entry as a change for another host. Its Warmup is the time
// that remains, because the receiver counts it from the receipt of the change.
func upstreamChange(now time.Time, e *Entry) Change {
	var stored *Upstream
	if e.override != nil {
		record := e.override.stored
		stored = &record
	}
	if e.Presence != Registered {
		return Change{
			Position: e.position, Override: e.override != nil, Stored: stored, Removed: e.Name, LastRecord: e.RecordID,
			LastRegistration: lastRegistration(e), RemovedAge: now.Sub(e.PresenceSince), Lapsed: e.Presence == Lapsed,
		}
	}
	u := e.Upstream
	u.Warmup = max(0, e.WarmUntil.Sub(now).Truncate(time.Millisecond))
	return Change{Position: e.position, Override: e.override != nil, Stored: stored, Upstream: &u}
}
