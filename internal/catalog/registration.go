package catalog

import "time"

// registerUpstream merges an upstream's registration. Repeated registrations with
// unchanged contents do not change the view.
func (c *Catalog) registerUpstream(now time.Time, change *Change) {
	u, position := change.Upstream, change.Position
	e, ok := c.upstreams[u.Name]
	switch {
	case !ok && c.overridesRemoved(change):
		c.unregisterUpstream(now, &Change{
			Position: position, Override: true, Removed: u.Name, LastRecord: u.RecordID, LastRegistration: lastRegistration(&Entry{Upstream: *u}),
		})
		return
	case !ok:
		e = &Entry{}
		c.upstreams[u.Name] = e
	case change.Override && e.position == position:
		// Another host knows more than the record that both have read.
		if e.override == nil && !e.settled && u.compare(e.RecordID) > 0 {
			c.setOverride(now, e, e.Upstream)
			c.setRegistration(now, e, u, position)
		}
		return
	case !position.After(e.position):
		return
	case c.isOutdated(e, u):
		c.keepOutdated(now, e, u, position)
		return
	}
	c.clearOverride(e)
	c.setRegistration(now, e, u, position)
	if change.Override {
		c.setOverride(now, e, change.storedOr(u))
	}
}

// setRegistration makes the record that of the entry.
func (c *Catalog) setRegistration(now time.Time, e *Entry, u *Upstream, position Position) {
	if e.Presence != Registered || !sameRegistration(&e.Upstream, u) {
		c.viewChanged = true
		c.recordUpstreamEvent(registrationEventKind(e, u), u, position)
	}
	if e.Presence != Registered {
		e.Presence, e.PresenceSince = Registered, now
	}
	switch {
	case u.Warmup > 0 && now.Add(u.Warmup).After(e.WarmUntil):
		e.WarmUntil = now.Add(u.Warmup)
	case u.Warmup == 0 && now.Before(e.WarmUntil) && u.Started.Equal(e.Started) && u.compare(e.RecordID) > 0:
		// A later record of the same process says that it is warm.
		e.WarmUntil = now
		c.viewChanged = true
	}
	e.Upstream, e.position = *u, position
	e.departureInferred, e.beforeRestore, e.settled = false, false, false
}

// registrationEventKind returns the kind of event that a new or changed registration
// of the upstream causes.
func registrationEventKind(e *Entry, u *Upstream) EventKind {
	switch {
	case e.Presence != Registered && !u.Draining:
		return UpstreamAdded
	case u.Draining && (!e.Draining || e.Presence != Registered):
		return UpstreamDraining
	case !e.Started.Equal(u.Started):
		return UpstreamRestarted
	default:
		return UpstreamChanged
	}
}

// sameRegistration reports whether two registrations are equal in everything that
// affects the choice of an upstream. Warmup is not compared, because setRegistration
// converts it to WarmUntil.
func sameRegistration(a, b *Upstream) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.Draining == b.Draining && a.Started.Equal(b.Started)
}

// unregisterUpstream merges the removal of a registration. The removal of an unknown
// upstream is stored too, because a host that reads this one may know the upstream.
func (c *Catalog) unregisterUpstream(now time.Time, change *Change) {
	name, position := change.Removed, change.Position
	e, ok := c.upstreams[name]
	switch {
	case !ok:
		e = newDeparted(now, change)
		c.upstreams[name] = e
		if c.overridesRemoved(change) {
			e.position = c.position
		} else if change.Override {
			c.setOverride(now, e, change.storedOr(&e.Upstream))
		}
	case e.position.After(position):
	case change.Override:
		c.overrideRemoved(now, e, change)
	default:
		// A departure inferred by another host may carry the position of the last
		// registration, so equal positions count as well.
		c.markUnregistered(now, e, position)
	}
	if e.Presence == Departed {
		c.identifyDeparted(e, change)
	}
}

// markUnregistered records that an upstream has no registration as of the position.
// The upstream becomes lapsed during the grace period after an outage, and departed
// otherwise.
func (c *Catalog) markUnregistered(now time.Time, e *Entry, position Position) {
	c.clearOverride(e)
	e.position, e.beforeRestore = position, false
	if e.Presence == Departed {
		return
	}
	presence := Departed
	if !c.recoveredAt.IsZero() && now.Sub(c.recoveredAt) < RecoveryGracePeriod {
		presence = Lapsed
	}
	if presence != e.Presence {
		c.setPresence(now, e, presence, position)
	}
}

// setPresence marks an upstream as lapsed or departed as of the position.
func (c *Catalog) setPresence(now time.Time, e *Entry, presence Presence, position Position) {
	kind := UpstreamDeparted
	if presence == Lapsed {
		kind = UpstreamLapsed
	}
	c.recordUpstreamEvent(kind, &e.Upstream, position)
	e.Presence, e.PresenceSince = presence, now
	e.position, e.departureInferred = position, false
	c.viewChanged = true
}
