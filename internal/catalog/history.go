package catalog

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// maxFormerServices is the maximum number of former services that a catalog keeps. It
// lets each of 1,400 routes move twice within the retention period. The earliest ones
// are dropped first.
const maxFormerServices = 4096

// FormerService is a service that an earlier configuration had for a route and that a
// later one no longer has. Flows that were opened before are still open at its upstreams.
type FormerService struct {
	Address netip.AddrPort
	Service string
	// Dropped is the position of the first configuration without the service.
	Dropped Position
	// Age is how long that configuration has been known.
	Age time.Duration
}

// History is what a source knows of earlier configurations.
type History struct {
	// From is the position from which on the source knows all configurations in force and
	// all removals of upstreams. Age is the time since the store was at that position.
	From Position
	Age  time.Duration
	// Former holds the former services.
	Former []FormerService
}

// historyState is what a catalog knows of earlier configurations.
type historyState struct {
	// historyFrom is the position from which on the catalog knows all configurations in
	// force. The store had reached it at historySince. A host that has just read a listing
	// knows the configuration at the listing's position, but historyFrom is the position
	// after it: hosts that ran before know more, also if they are at the same position.
	historyFrom  Position
	historySince time.Time
	former       map[formerKey]formerEntry
	// formerServices are the former services for the view; nil if they have changed.
	formerServices *FormerServices
	// formerDigest identifies the former services; nil if they have changed.
	formerDigest *FormerDigest
}

type formerKey struct {
	address netip.AddrPort
	service string
}

type formerEntry struct {
	// dropped is the position of the first configuration without the service, droppedAt
	// the time when it became known.
	dropped   Position
	droppedAt time.Time
}

// retainedSince returns the time before which nothing needs to be known any more, because
// the flows of that time have ended.
func (c *Catalog) retainedSince(now time.Time) time.Time { return now.Add(-c.options.Retention) }

// historyCompleteAt returns when the catalog will know all configurations whose flows may
// still be open; zero before it knows any.
func (c *Catalog) historyCompleteAt() time.Time {
	if c.historySince.IsZero() {
		return time.Time{}
	}
	return c.historySince.Add(c.options.Retention)
}

// recordDropped records the services that the configuration before has and the one after
// lacks, as of the position. It skips those of which a removal after the position known is
// recorded: another host has seen that removal itself.
func (c *Catalog) recordDropped(now time.Time, before, after *Configuration, position, known Position) {
	for _, key := range droppedServices(before, after) {
		if e, ok := c.former[key]; !ok || !e.dropped.After(known) {
			c.addFormer(key, formerEntry{dropped: position, droppedAt: now})
		}
	}
	c.limitFormer()
}

// droppedServices returns the services that the configuration before has for a route and
// the one after lacks.
func droppedServices(before, after *Configuration) []formerKey {
	if before == nil {
		return nil
	}
	routes := make(map[netip.AddrPort]*Route, len(after.Routes))
	for i := range after.Routes {
		routes[after.Routes[i].Address] = &after.Routes[i]
	}
	var dropped []formerKey
	for i := range before.Routes {
		address := before.Routes[i].Address
		for _, share := range before.Routes[i].Shares {
			if r := routes[address]; r == nil || !r.HasService(share.Service) {
				dropped = append(dropped, formerKey{address: address, service: share.Service})
			}
		}
	}
	return dropped
}

// addFormer merges a former service. Of two entries the later one counts.
func (c *Catalog) addFormer(key formerKey, e formerEntry) {
	old, ok := c.former[key]
	switch {
	case ok && old.dropped.After(e.dropped):
		return
	case ok && old.dropped == e.dropped && !e.droppedAt.Before(old.droppedAt):
		return
	case !ok:
		c.formerServices, c.viewChanged = nil, true
	}
	if c.former == nil {
		c.former = make(map[formerKey]formerEntry)
	}
	c.former[key], c.formerDigest = e, nil
}

// limitFormer drops the earliest former services beyond maxFormerServices. The history is
// then incomplete for as long as flows may be open at them.
func (c *Catalog) limitFormer() {
	excess := len(c.former) - maxFormerServices
	if excess <= 0 {
		return
	}
	for _, key := range c.sortedFormer()[:excess] {
		if droppedAt := c.former[key].droppedAt; droppedAt.After(c.historySince) {
			c.historySince = droppedAt
		}
		delete(c.former, key)
	}
	c.formerServices, c.formerDigest, c.viewChanged = nil, nil, true
}

// expireFormer drops the former services whose flows have ended.
func (c *Catalog) expireFormer(now time.Time) {
	limit := c.retainedSince(now)
	for key, e := range c.former {
		if e.droppedAt.Before(limit) {
			delete(c.former, key)
			c.formerServices, c.formerDigest, c.viewChanged = nil, nil, true
		}
	}
}

// sortedFormer returns the keys of the former services, the earliest first.
func (c *Catalog) sortedFormer() []formerKey {
	keys := make([]formerKey, 0, len(c.former))
	for key := range c.former {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b formerKey) int {
		return cmp.Or(c.former[a].dropped.Compare(c.former[b].dropped), a.address.Compare(b.address), cmp.Compare(a.service, b.service))
	})
	return keys
}

// mergeFormer merges the former services of a source. It must be called before the
// configuration of the same answer is merged, because the source knows better in which
// configuration a service was dropped.
func (c *Catalog) mergeFormer(now time.Time, h *History) {
	if h == nil {
		return
	}
	for _, f := range h.Former {
		e := formerEntry{dropped: f.Dropped, droppedAt: now.Add(-max(0, f.Age))}
		if f.Address.IsValid() && f.Service != "" && !e.droppedAt.Before(c.retainedSince(now)) {
			c.addFormer(formerKey{address: f.Address, service: f.Service}, e)
		}
	}
	c.limitFormer()
}

// mergeUpdateHistory records what the update tells of earlier configurations. previous is
// the position before the update. An update of the store holds all changes after it.
func (c *Catalog) mergeUpdateHistory(now time.Time, update *Update, previous Position) {
	from, age := previous.Next(), time.Duration(0)
	if update.History != nil {
		from, age = update.History.From, update.History.Age
	}
	if previous.Revision == 0 {
		from = update.Position.Next() // the catalog has read no listing
	}
	c.extendHistory(now, from, age, previous, update.Position)
}

// mergeListingHistory records what a complete listing tells of earlier configurations. Its
// configuration was in force since it was written.
func (c *Catalog) mergeListingHistory(now time.Time, l *listing) {
	from, age := laterOf(l.position, l.configured).Next(), time.Duration(0)
	if l.history != nil {
		from, age = l.history.From, l.history.Age
	}
	if !c.historySince.IsZero() || l.restored {
		from = earlierOf(from, laterOf(l.configured, c.position.Next()))
	}
	c.extendHistory(now, from, age, c.position, l.position)
}

// extendHistory records that a source knows all configurations between the positions from
// and to. The catalog itself knows those between historyFrom and the position previous.
func (c *Catalog) extendHistory(now time.Time, from Position, age time.Duration, previous, to Position) {
	since := now.Add(-max(0, age))
	switch {
	case previous.Revision == 0 || from.After(previous.Next()):
		// Configurations between previous and from are unknown.
		if !c.historySince.IsZero() {
			c.recordEvent(Event{Kind: HistoryMissed, Position: from, Former: len(c.former)})
		}
		c.historyFrom, c.historySince, c.viewChanged = from, since, true
		return
	case c.historyFrom.After(to.Next()):
		return // those between to and historyFrom are unknown
	case c.historyFrom.After(from):
		if from != previous.Next() {
			c.recordEvent(Event{Kind: HistoryLearned, Position: from, PreviousPosition: c.historyFrom, Former: len(c.former)})
		}
		c.historyFrom = from
	}
	if since.Before(c.historySince) {
		c.historySince, c.viewChanged = since, true
	}
}

// offersHistory reports whether the catalog knows configurations that a host with the
// given state does not, and all that followed.
func (c *Catalog) offersHistory(have Have) bool { return c.Have().KnowsEarlier(have) }

// KnowsEarlier reports whether a host with the state h knows configurations from before
// those that one with the state other knows, and all that followed. With an older
// configuration than the other host's it does not know that one of its own is a former one.
func (h Have) KnowsEarlier(other Have) bool {
	return h.HistoryFrom.Revision != 0 && other.HistoryFrom.After(h.HistoryFrom) &&
		!other.HistoryFrom.After(h.Position.Next()) && h.Version >= other.Version
}

// historyFor returns the former services that a host with the given state lacks; nil if it
// lacks none and knows all configurations since the catalog's history began.
func (c *Catalog) historyFor(now time.Time, have Have) *History {
	h := &History{From: laterOf(c.historyFrom, have.Position.Next())}
	// The positions of changes that the store has lost tell nothing of what a host knows.
	all := have.Version < c.Version() && c.configurationOverride
	all = all || c.Have().KnowsOtherFormer(have)
	if have.Position.Revision == 0 || c.offersHistory(have) {
		all = true
		h.From, h.Age = c.historyFrom, min(now.Sub(c.historySince), c.options.Retention)
	}
	for key, e := range c.former {
		if all || e.dropped.After(have.Position) {
			h.Former = append(h.Former, FormerService{Address: key.address, Service: key.service, Dropped: e.dropped, Age: now.Sub(e.droppedAt)})
		}
	}
	if len(h.Former) == 0 && h.From == have.Position.Next() {
		return nil
	}
	slices.SortFunc(h.Former, func(a, b FormerService) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Service, b.Service))
	})
	return h
}

// formerView returns the former services for the view.
func (c *Catalog) formerView() *FormerServices {
	if c.formerServices == nil {
		c.formerServices = &FormerServices{services: make(map[netip.AddrPort][]string)}
		for _, key := range c.sortedFormer() {
			c.formerServices.add(key.address, key.service)
		}
	}
	return c.formerServices
}
