package catalog

import (
	"errors"
	"time"
)

// ErrOutdated means that an answer is from before the last restore of the store that the
// catalog knows of, or that the store was restored during a listing.
var ErrOutdated = errors.New("the store was restored from a copy: read a new listing")

// listing is the state of a listing that is being read one page at a time.
type listing struct {
	// position is the position of the first page, and started is set once it is read.
	position Position
	started  bool
	// restored is set if the listing is the first one after a restore of the store. Its
	// pages are then kept in pending, and merged together after the last one, so that
	// other hosts always read a catalog of one epoch.
	restored bool
	pending  []Page
	// upstreams and hosts are the names in the pages merged so far, and peerKey is set
	// if one of them holds the peer key.
	upstreams map[string]struct{}
	hosts     map[string]struct{}
	peerKey   bool
	// evacuations are the data centres with a request in the store.
	evacuations map[string]struct{}
	// configured is the position from which on the configuration in the pages was in force,
	// and history what the source knows of earlier ones.
	configured Position
	history    *History
}

// BeginListing starts a new listing and discards an unfinished one.
func (c *Catalog) BeginListing() {
	c.listing = &listing{upstreams: make(map[string]struct{}), hosts: make(map[string]struct{}), evacuations: make(map[string]struct{})}
}

// AddPage merges a page of the listing that BeginListing started. After the last page,
// upstreams and hosts that the listing lacks are treated as removed. Such upstreams
// become lapsed if a store outage has just ended, and departed otherwise. AddPage returns
// ErrOutdated, and merges nothing, if the page cannot be part of the listing.
func (c *Catalog) AddPage(now time.Time, page Page) error {
	l := c.listing
	if page.Position.Epoch < c.epoch || l.started && page.Position.Epoch != l.position.Epoch {
		return ErrOutdated
	}
	if !l.started {
		l.started, l.position = true, page.Position
		l.restored = c.showsRestore(&page)
	}
	if l.restored {
		l.pending = append(l.pending, page)
		if page.Next != "" {
			return nil
		}
		c.restore(now, l.position)
		for i := range l.pending {
			c.mergePage(now, &l.pending[i])
		}
		return nil
	}
	if page.Position.Epoch != c.epoch {
		// The store was restored before the first listing was complete.
		c.restoreEvacuations(Position{Epoch: page.Position.Epoch})
	}
	c.epoch = page.Position.Epoch
	c.mergePage(now, &page)
	return nil
}

// mergePage merges a page of the current listing.
func (c *Catalog) mergePage(now time.Time, page *Page) {
	l := c.listing
	c.recordContact(now, page.Age)
	c.sourcePosition, c.completeTo = l.position, l.position
	if c.position.Epoch == l.position.Epoch && c.Complete() {
		c.completeTo = earlierOf(c.position, l.position)
	}
	if page.History != nil {
		l.history = page.History
		c.mergeFormer(now, page.History)
	}
	for i := range page.Changes {
		change := &page.Changes[i]
		if page.Unconfirmed && change.Override && change.Evacuation != nil {
			change = storedEvacuation(change)
		}
		switch {
		case change.Upstream != nil:
			l.upstreams[change.Upstream.Name] = struct{}{}
		case change.Override && change.Removed != "":
			// The store still has the record that the sending host overrides.
			l.upstreams[change.Removed] = struct{}{}
		}
		if change.Host != nil {
			l.hosts[change.Host.Name] = struct{}{}
		}
		if change.PeerKey != nil {
			l.peerKey = true
		}
		if r := change.Evacuation; r != nil && change.Override == r.Withdrawn {
			l.evacuations[r.DataCentre] = struct{}{}
		}
		if change.Configuration != nil {
			l.configured = change.Position
			if change.Override {
				l.configured = page.Position // the store has another one, of unknown age
			}
		}
		c.mergeChange(now, change)
	}
	if page.Next == "" {
		c.noteNewest(&c.newest, l.position, func() { c.finishListing(now, l) })
		if !page.Unconfirmed {
			c.confirm()
		}
	}
	c.expireEntries(now)
}

// finishListing removes upstreams and hosts that the complete listing does not contain.
// Those with a position later than that of the first page are kept, because they may
// have been written after the page that would hold them was read.
func (c *Catalog) finishListing(now time.Time, l *listing) {
	c.listing = nil
	for name, e := range c.upstreams {
		if _, ok := l.upstreams[name]; !ok && !e.position.After(l.position) {
			c.markUnregistered(now, e, l.position)
			c.noteUpstream(name)
		}
	}
	for name, h := range c.hosts {
		if _, ok := l.hosts[name]; !ok && !h.removed && !h.position.After(l.position) {
			c.setHost(now, hostEntry{Host: h.Host, removed: true, position: l.position})
		}
	}
	c.finishEvacuationListing(now, l)
	if !l.peerKey {
		c.losePeerKey(l.position)
	}
	c.mergeListingHistory(now, l)
	c.position = laterOf(c.position, l.position)
	// Removals before the listing are unknown, so a host at an older position needs a
	// listing as well.
	c.compactedPosition = laterOf(c.compactedPosition, l.position)
}
