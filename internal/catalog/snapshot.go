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
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		if h := c.hosts[name]; h.position.After(position) {
			changes = append(changes, hostChange(h))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.upstreams)) {
		// A host that knows less of the past lacks the removals of that time as well. An
		// inferred departure has no store position of its own. It may carry the
		// position that the other host has reached without it.
		e := c.upstreams[name]
		if e.position.After(position) || e.departureInferred && e.position == position || e.override != nil || wholeHistory && e.Presence != Registered {
			changes = append(changes, upstreamChange(now, e))
		}
	}
	return changes
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
