package echo

import (
	"maps"
	"slices"
	"time"
)

// MaxRegions is the maximum number of regions. A regionSet has a bit for each.
const MaxRegions = 64

// regionSet is a set of regions, with a bit for each.
type regionSet uint64

// restriction is the regions to whose upstreams new flows of a route may go.
type restriction struct {
	// restricted is set if only the allowed regions may be used.
	restricted bool
	allowed    regionSet
	// changed is when the restriction last changed, or zero if there never was one.
	changed time.Time
}

// allows reports whether new flows of the route may go to the upstream as far as its
// region is concerned. An upstream of unknown region is in no set.
func (r *restriction) allows(u *upstream) bool {
	return !r.restricted || r.allowed&u.region != 0
}

// accepts reports whether new flows of the route may go to the upstream.
func (r *restriction) accepts(u *upstream) bool {
	return u.acceptsFlows() && r.allows(u)
}

// SetRegions replaces the regions of the data centres. Regions beyond MaxRegions, in
// alphabetical order, are unknown.
func (e *Engine) SetRegions(now time.Time, regions map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bits := make(map[string]regionSet)
	for _, name := range slices.Sorted(maps.Values(regions)) {
		if _, known := bits[name]; !known && len(bits) < MaxRegions {
			bits[name] = 1 << len(bits)
		}
	}
	e.regions = bits
	e.dataCentreRegions = make(map[string]regionSet, len(regions))
	for dataCentre, name := range regions {
		e.dataCentreRegions[dataCentre] = bits[name]
	}
	for _, u := range e.upstreams {
		u.region = e.dataCentreRegions[u.DataCentre]
	}
	e.restrictRoutes(now, true)
}

// restrictRoutes determines the restrictions of all routes. renumbered is set if the bits
// of regions may have changed.
func (e *Engine) restrictRoutes(now time.Time, renumbered bool) {
	for _, r := range e.routes {
		before := r.restriction
		r.restricted, r.allowed = len(r.AllowedRegions) > 0, 0
		for _, name := range r.AllowedRegions {
			r.allowed |= e.regions[name]
		}
		if r.restricted != before.restricted || r.restricted && (renumbered || r.allowed != before.allowed) {
			r.changed = now
		}
	}
}

// refusalReason returns why no upstream can take a new flow of the route: WarmingUp if one
// could but for the budget of its warm-up, or else Evacuated if one in an allowed region
// could but for an evacuation, or else Region if one in another region could.
func (e *Engine) refusalReason(now time.Time, r *route) Reason {
	reason := NoUpstream
	for _, share := range r.Shares {
		p := e.pools[share.Service]
		if p == nil {
			continue
		}
		for _, u := range p.upstreams {
			switch {
			case !u.active():
			case !r.allows(u):
				if reason == NoUpstream {
					reason = Region
				}
			case u.evacuated:
				reason = Evacuated
			case !e.withinWarmup(now, u):
				return WarmingUp
			}
		}
	}
	return reason
}
