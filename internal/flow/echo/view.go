package echo

import (
	"math"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// SetView replaces the upstreams with those of the view and, if its version differs,
// applies the view's configuration.
func (e *Engine) SetView(now time.Time, view catalog.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.viewSetAt, e.partial, e.hosts = now, view.Partial, len(view.Hosts)
	e.former, e.historyCompleteAt = view.Former, view.HistoryCompleteAt
	if c := view.Configuration; c != nil && c.Version != e.version {
		e.applyConfiguration(c)
		e.restrictRoutes(now, false)
	}
	began, ended := e.setEvacuations(now, view.Evacuations)
	e.setUpstreams(now, view.Upstreams)
	e.reportEvacuations(now, began, ended)
}

// applyConfiguration replaces the routes and timeouts.
func (e *Engine) applyConfiguration(c *catalog.Configuration) {
	e.version = c.Version
	e.healthPaths, e.warmups = c.HealthPaths, c.Warmups
	e.idleTimeout = defaultIdleTimeout
	if c.IdleTimeout > 0 {
		e.idleTimeout = c.IdleTimeout
	}
	routes := make(map[netip.AddrPort]*route, len(c.Routes))
	for _, configured := range c.Routes {
		r := &route{Route: configured, typical: &typicalAnswer{}, outstanding: &requestList{}}
		if old := e.routes[configured.Address]; old != nil {
			r.typical, r.outstanding, r.restriction = old.typical, old.outstanding, old.restriction
		}
		routes[configured.Address] = r
	}
	markSheddable(routes)
	e.routes = routes
}

// markSheddable marks the routes whose new flows may be refused under overload: all
// that have an objective, except those of the highest priority. Smaller numbers are
// higher priorities.
func markSheddable(routes map[netip.AddrPort]*route) {
	if len(routes) == 0 {
		return
	}
	highest := math.MaxInt
	for _, r := range routes {
		highest = min(highest, r.Priority)
	}
	for _, r := range routes {
		r.sheddable = r.Objective > 0 && r.Priority > highest
	}
}

// setUpstreams replaces the upstreams and keeps the state of those that remain.
func (e *Engine) setUpstreams(now time.Time, entries []catalog.Entry) {
	upstreams := make(map[catalog.UpstreamID]*upstream, len(entries))
	e.upstreamsByToken = make(map[Token]*upstream, len(entries))
	for _, p := range e.pools {
		p.upstreams = p.upstreams[:0]
	}
	for _, entry := range entries {
		u := e.upstreams[entry.ID]
		if u == nil {
			u = &upstream{token: tokenOf(entry.ID), recent: recentRequests{ineligible: true}}
		}
		if u.Presence != 0 && !u.Started.Equal(entry.Started) {
			e.forgetProcess(now, u)
		}
		u.noteProcess(now, &entry)
		u.Entry = entry
		if e.options.Without.Has(WarmupWeight) {
			u.WarmUntil = time.Time{}
		}
		if e.dataCentres[entry.DataCentre] == nil {
			e.dataCentres[entry.DataCentre] = &dataCentreHealth{}
		}
		u.local = entry.DataCentre == e.options.DataCentre
		u.region = e.dataCentreRegions[entry.DataCentre]
		_, u.evacuated = e.evacuations[entry.DataCentre]
		if u.acceptsFlows() {
			u.stoppedTaking = time.Time{}
		} else if u.stoppedTaking.IsZero() {
			u.stoppedTaking = now
		}
		upstreams[entry.ID] = u
		if _, taken := e.upstreamsByToken[u.token]; taken {
			// Another upstream has the same token. Entries are sorted by name, so all
			// hosts exclude the same upstream from new flows.
			continue
		}
		e.upstreamsByToken[u.token] = u
		p := e.pools[entry.Service]
		if p == nil {
			p = &pool{}
			e.pools[entry.Service] = p
		}
		p.upstreams = append(p.upstreams, u)
	}
	e.upstreams = upstreams
	e.suspectedCount, e.muteCount = 0, 0
	for _, u := range upstreams {
		if u.suspected() {
			e.suspectedCount++
		}
		if u.mute() {
			e.muteCount++
		}
	}
}
