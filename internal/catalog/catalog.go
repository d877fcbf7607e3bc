// Package catalog maintains a host's view of the operator's configuration, the
// registered upstreams and the entry hosts, which are the hosts that run the load
// balancer.
//
// The view is built from records of the platform's store. A listing contains all
// records and is read in pages; a change is one record that was written or removed.
// Every write to the store increases its revision, and each record carries the
// position of its last write. A host may read listings and changes from the store or
// from the catalog of another host.
package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// RecoveryGracePeriod is how long after a store outage an upstream stays in use
	// although its registration has expired. Such upstreams register again within
	// about two seconds of the store's recovery.
	RecoveryGracePeriod = 2500 * time.Millisecond
	// DefaultRetention is the default value of Options.Retention.
	DefaultRetention = 90 * time.Second
	// DefaultOutageThreshold is the default value of Options.OutageThreshold.
	DefaultOutageThreshold = 3 * time.Second
)

// RetentionOf returns the retention for flows that are open for at most the given time.
func RetentionOf(flowAge time.Duration) time.Duration { return flowAge + flowAge/2 }

// Options configures a Catalog.
type Options struct {
	// OutageThreshold is the time without contact after which the store counts as
	// unavailable. Registrations found missing right after an outage are treated as
	// lapsed instead of removed. It must exceed the longest time between two reads.
	// Zero means DefaultOutageThreshold.
	OutageThreshold time.Duration
	// Retention is how long a departed upstream or host and a former service of a route
	// stay in the catalog. Open flows still refer to them, so this must exceed the maximum
	// age of a flow. Zero means DefaultRetention.
	Retention time.Duration
}

// Catalog merges changes and listings into one consistent state. Records may arrive in
// any order; an older one never replaces a newer one. A Catalog is not safe for
// concurrent use.
type Catalog struct {
	options       Options
	configuration *Configuration
	// configurationPosition is where the store wrote the current configuration, or an
	// older one after a restore.
	configurationPosition Position
	// configurationOverride is set from a restore of the store until the store has the
	// current configuration or a newer one.
	configurationOverride bool
	// refusedPosition is the position of the last configuration that was refused.
	refusedPosition Position
	// recentConfigurations are the last adopted configurations, including the
	// current one. They serve as bases for deltas.
	recentConfigurations []*Configuration
	upstreams            map[string]*Entry
	// overrides is the number of upstreams with an override.
	overrides int
	hosts     map[string]hostEntry
	// upstreamOrder and hostOrder list the upstreams and hosts by their last changes.
	upstreamOrder, hostOrder changeOrder
	peerKeyState
	evacuationState
	historyState
	// epoch is the epoch of the last merged answer.
	epoch uint64
	// position is the position up to which the catalog is complete. Its revision is zero
	// until the first listing is complete.
	position Position
	// newest is the position of the last change of the view, and operator that of the last
	// change by the operator.
	newest, operator Position
	// compactedPosition is the position up to which the catalog may lack removals.
	compactedPosition Position
	// confirmed is set once a listing or a watch has shown that the catalog lacks nothing
	// before its position.
	confirmed bool
	// snapshot is the snapshot in the store. It is known only to hosts that read the
	// store.
	snapshot StoredSnapshot
	// snapshotPosition is the position of the last write or removal of a snapshot.
	snapshotPosition Position
	// listing is the listing that is being read; nil if there is none.
	listing *listing
	// lastContact is when the store last answered, directly or through other hosts.
	lastContact time.Time
	// recoveredAt is when the last store outage ended or the store was restored; zero if
	// there was neither.
	recoveredAt time.Time
	// restoredAt is when the store was last seen to be restored; zero if it never was.
	restoredAt time.Time
	// viewChanged is set if the view changed since the last call of TakeView.
	viewChanged bool
	// events are the events since the last call of TakeEvents.
	events []Event
}

// hostEntry is an entry host, or a tombstone of one that has left.
type hostEntry struct {
	Host
	removed bool
	// position is the position of the last registration or removal.
	position Position
	// changedAt is when the registration or removal was merged.
	changedAt time.Time
}

// New returns an empty catalog.
func New(options Options) *Catalog {
	if options.OutageThreshold == 0 {
		options.OutageThreshold = DefaultOutageThreshold
	}
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	return &Catalog{
		options: options, upstreams: make(map[string]*Entry), hosts: make(map[string]hostEntry),
		evacuationState: evacuationState{evacuations: make(map[string]*evacuationEntry)},
	}
}

// SetOutageThreshold replaces the time without contact after which the store
// counts as unavailable.
func (c *Catalog) SetOutageThreshold(d time.Duration) { c.options.OutageThreshold = d }

// SetRetention replaces the retention of departed upstreams, departed hosts and former
// services.
func (c *Catalog) SetRetention(d time.Duration) { c.options.Retention = d }

// Version returns the version of the current configuration, or zero if there is none.
func (c *Catalog) Version() uint64 {
	if c.configuration == nil {
		return 0
	}
	return c.configuration.Version
}

// Have returns the catalog's position and configuration version. From these, a source
// determines which changes the catalog lacks.
func (c *Catalog) Have() Have {
	have := Have{Position: c.position, Version: c.Version(), Overrides: c.overrides + c.evacuationOverrides(), HistoryFrom: c.historyFrom, Former: c.digestFormer()}
	if c.operator.After(c.position) {
		have.Ahead = c.operator
	}
	return have
}

// Position returns the position up to which the catalog is complete.
func (c *Catalog) Position() Position { return c.position }

// Complete reports whether a listing has been completed.
func (c *Catalog) Complete() bool { return c.position.Revision != 0 }

// RestoredAt returns when the store was last seen to be restored from a copy; zero if it
// never was.
func (c *Catalog) RestoredAt() time.Time { return c.restoredAt }

// LastContact returns when the store last answered, directly or through other hosts.
func (c *Catalog) LastContact() time.Time { return c.lastContact }

// Apply merges an update. It returns false if some change could not be merged, or if the
// update is of another epoch. In that case the position does not advance, and a listing
// is needed.
func (c *Catalog) Apply(now time.Time, update Update) bool {
	if update.Position.Epoch != c.epoch {
		return false
	}
	c.recordContact(now, update.Age)
	c.sourcePosition, c.completeTo = update.Position, c.position
	c.mergeFormer(now, update.History)
	previous, complete := c.position, true
	for i := range update.Changes {
		complete = c.mergeChange(now, &update.Changes[i]) && complete
	}
	if complete {
		c.mergeUpdateHistory(now, &update, previous)
		c.position = laterOf(c.position, update.Position)
		c.confirm()
	}
	c.expireEntries(now)
	return complete
}

// confirm records that the catalog lacks nothing before its position.
func (c *Catalog) confirm() {
	if !c.confirmed {
		c.confirmed, c.viewChanged = true, true
	}
}

// StoredSnapshot returns the snapshot in the store as far as it is known.
func (c *Catalog) StoredSnapshot() StoredSnapshot { return c.snapshot }

// SetStoredSnapshot records the snapshot that the store held at the position of its
// write, unless a later write or removal is known.
func (c *Catalog) SetStoredSnapshot(s StoredSnapshot) { c.setSnapshot(s, s.Written) }

// setSnapshot merges the write or removal of a snapshot at the position.
func (c *Catalog) setSnapshot(s StoredSnapshot, position Position) {
	if position.After(c.snapshotPosition) {
		c.snapshot, c.snapshotPosition = s, position
	}
}

// NoteContact records that the store answered at the time now minus age, and that the
// catalog lacks nothing that the answer told.
func (c *Catalog) NoteContact(now time.Time, age time.Duration) { c.recordContact(now, age) }

// recordContact records that the store answered at the time now minus age, and detects
// the end of an outage.
func (c *Catalog) recordContact(now time.Time, age time.Duration) {
	contact := now.Add(-age)
	if !c.lastContact.IsZero() && contact.Sub(c.lastContact) > c.options.OutageThreshold {
		c.recoveredAt = now
	}
	if contact.After(c.lastContact) {
		c.lastContact = contact
	}
}

// applyChange merges a change. It returns false for a delta whose base is not the
// current configuration.
func (c *Catalog) applyChange(now time.Time, change *Change) bool {
	switch {
	case change.Delta != nil:
		return c.adoptDelta(now, change)
	case change.Configuration != nil:
		c.adoptConfiguration(now, change.Configuration, change)
	case change.Upstream != nil:
		c.keepingOrder(change.Upstream.Name, func() { c.registerUpstream(now, change) })
	case change.Removed != "":
		if change.Lapsed {
			// The sending host has seen an outage end, even if this one has not.
			c.recoveredAt = now
		}
		c.keepingOrder(change.Removed, func() { c.unregisterUpstream(now, change) })
	case change.Host != nil:
		c.setHost(now, hostEntry{Host: *change.Host, position: change.Position})
	case change.HostRemoved != "":
		c.setHost(now, hostEntry{Host: Host{Name: change.HostRemoved}, removed: true, position: change.Position})
	case change.Snapshot != nil:
		c.setSnapshot(*change.Snapshot, change.Position)
	case change.PeerKey != nil:
		c.setPeerKey(change.PeerKey, change.Position)
	case change.Evacuation != nil:
		c.mergeEvacuation(now, change)
	}
	return true
}

// adoptConfiguration makes a configuration the current one unless the catalog has a
// newer one. An older version at a later position is refused with an event. The services
// of an older version are recorded as former ones, in case the catalog has missed it.
func (c *Catalog) adoptConfiguration(now time.Time, configuration *Configuration, change *Change) {
	position := change.Position
	if configuration.Version < c.Version() {
		c.recordDropped(now, configuration, c.configuration, c.configurationPosition, Position{})
	}
	if !change.Override && !position.After(c.configurationPosition) {
		return
	}
	if configuration.Version < c.Version() {
		if !position.After(c.refusedPosition) {
			return // a second watch or a listing has repeated it
		}
		c.refusedPosition = position
		c.recordEvent(Event{Kind: ConfigurationRefused, Position: position, Version: configuration.Version, PreviousVersion: c.Version()})
		return
	}
	known := c.configurationPosition
	c.configurationOverride = change.Override
	c.configurationPosition = laterOf(c.configurationPosition, position)
	if configuration.Version == c.Version() {
		return
	}
	c.recordDropped(now, c.configuration, configuration, position, known)
	c.addRecentConfiguration(configuration)
	c.recordEvent(Event{Kind: ConfigurationAdopted, Position: position, Version: configuration.Version, PreviousVersion: c.Version()})
	c.configuration = configuration
	c.viewChanged = true
}

// setHost merges the registration or removal of an entry host. At equal positions a
// removal replaces a registration, because finishListing may remove a host at the
// position of its registration.
func (c *Catalog) setHost(now time.Time, h hostEntry) {
	old, ok := c.hosts[h.Name]
	if ok && (old.position.After(h.position) || old.position == h.position && (old.removed || !h.removed)) {
		return
	}
	if h.removed && ok {
		h.DataCentre = old.DataCentre
	}
	h.changedAt, h.Registered = now, h.position
	c.hosts[h.Name] = h
	c.noteHost(h.Name)
	c.recordHostEvent(h)
	c.viewChanged = true
}

// expireEntries marks lapsed upstreams as departed once the grace period is over, and
// accepts the store's outdated records once their upstreams must have kept them. It
// deletes what is older than the retention: departed upstreams, removed hosts and former
// services.
func (c *Catalog) expireEntries(now time.Time) {
	c.expireFormer(now)
	retained := c.retainedSince(now)
	for name, e := range c.upstreams {
		switch {
		case e.Presence == Lapsed && now.Sub(c.recoveredAt) >= RecoveryGracePeriod:
			c.setPresence(now, e, Departed, laterOf(e.position, c.position))
			e.departureInferred = true
			c.noteUpstream(name)
		case e.override != nil:
			if now.Sub(e.override.since) >= outdatedRecordLimit {
				stored := e.override.stored
				c.clearOverride(e)
				c.setRegistration(now, e, &stored, e.position)
				e.settled = true
			}
		case e.Presence == Departed && e.PresenceSince.Before(retained):
			c.compactedPosition = laterOf(c.compactedPosition, e.position)
			delete(c.upstreams, name)
			c.viewChanged = true
		}
	}
	for name, h := range c.hosts {
		if h.removed && h.changedAt.Before(retained) {
			c.compactedPosition = laterOf(c.compactedPosition, h.position)
			delete(c.hosts, name)
		}
	}
	c.expireEvacuations(now)
}

// TakeView returns the current view and true if it changed since the last call. The
// view leaves out upstreams of which only a removal is known, and removed hosts.
func (c *Catalog) TakeView() (View, bool) {
	if !c.viewChanged {
		return View{}, false
	}
	c.viewChanged = false
	view := View{
		Configuration: c.configuration, Position: c.position, Upstreams: make([]Entry, 0, len(c.upstreams)), Partial: !c.confirmed,
		PeerKey: c.peerKey, FormerPeerKey: c.formerPeerKey, LostPeerKey: c.lostPeerKey,
		Evacuations: c.evacuationsInForce(),
		Former:      c.formerView(), HistoryCompleteAt: c.historyCompleteAt(),
	}
	for _, name := range slices.Sorted(maps.Keys(c.upstreams)) {
		if e := c.upstreams[name]; e.ID != 0 {
			view.Upstreams = append(view.Upstreams, *e)
		}
	}
	for _, h := range c.hosts {
		if !h.removed {
			view.Hosts = append(view.Hosts, h.Host)
		}
	}
	slices.SortFunc(view.Hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Bandwidth, a.Bandwidth), cmp.Compare(a.Joined, b.Joined), cmp.Compare(a.Name, b.Name))
	})
	return view, true
}
