package echo

import "time"

const (
	// remotePenalty is added to the utilisation of an upstream in another data
	// centre. With 1, new flows leave the data centre only once all slots of its
	// upstreams are in use. The penalty compensates for the requests of other hosts,
	// which this host cannot see and which are most of a remote upstream's load.
	remotePenalty = 1.0
)

// selectUpstream returns the upstream for a new flow of the route and its pool, or nil.
// The upstream to avoid, and ejected ones, may be chosen only if the service picked for the
// flow has no other healthy one.
func (e *Engine) selectUpstream(now time.Time, r *route, avoid *upstream) (*upstream, *pool) {
	p := e.pools[e.pickService(r)]
	takesFlow := func(u *upstream) bool { return isHealthy(u) && !e.silent(now, u) && e.takesFlow(now, r, u) }
	if avoid == nil {
		if u := e.chooseTrial(now, r, p); u != nil {
			return u, p
		}
	}
	if u := e.chooseFromPool(now, r, p, avoid, takesFlow); u != nil {
		return u, p
	}
	return e.chooseFallback(now, r, takesFlow)
}

// chooseFallback returns an upstream of the first of the route's services that has one
// which takes the flow, or else of the first that has a healthy one, although it is
// ejected, or else of the first that has one which accepts new flows. It returns nil if
// none has.
func (e *Engine) chooseFallback(now time.Time, r *route, takesFlow func(*upstream) bool) (*upstream, *pool) {
	available := isAvailable
	if !r.Repeatable {
		// A request that runs without an answer is lost.
		available = func(u *upstream) bool { return isAvailable(u) && !u.mute() }
	}
	for _, eligible := range []func(*upstream) bool{takesFlow, isHealthy, available} {
		for _, share := range r.Shares {
			p := e.pools[share.Service]
			if u := e.chooseFromPool(now, r, p, nil, eligible); u != nil {
				return u, p
			}
		}
	}
	return nil, nil
}

// isHealthy reports whether new flows may go to the upstream, and it is neither suspected nor
// mute.
func isHealthy(u *upstream) bool { return u.acceptsFlows() && !u.suspected() && !u.mute() }

// isAvailable reports whether new flows may go to the upstream, suspected or not.
func isAvailable(u *upstream) bool { return u.acceptsFlows() }

// pickService picks one of the route's services at random, by weight. It returns an empty
// name if the route has none.
func (e *Engine) pickService(r *route) string {
	if len(r.Shares) == 0 {
		return ""
	}
	total := uint64(0)
	for _, share := range r.Shares {
		total += uint64(share.Weight)
	}
	if len(r.Shares) == 1 || total == 0 {
		return r.Shares[0].Service
	}
	draw := e.random.Uint64N(total)
	for _, share := range r.Shares {
		if draw < uint64(share.Weight) {
			return share.Service
		}
		draw -= uint64(share.Weight)
	}
	return r.Shares[0].Service
}

// chooseFromPool returns the eligible upstream with the lowest cost under the
// policy, or nil. Only those in regions that the route allows are considered.
func (e *Engine) chooseFromPool(now time.Time, r *route, p *pool, avoid *upstream, eligible func(*upstream) bool) *upstream {
	if p == nil {
		return nil
	}
	candidates := e.candidates[:0]
	returned := false
	for _, u := range p.upstreams {
		switch {
		case u == avoid || !r.allows(u):
		case eligible(u) && e.withinWarmup(now, u):
			candidates = append(candidates, u)
			returned = returned || u.recent.ineligible
		default:
			u.recent.ineligible = true
		}
	}
	e.candidates = candidates
	if returned {
		startAtMean(now, candidates)
	}
	if e.options.Policy == TwoChoices && len(candidates) > 2 {
		first, second := e.random.IntN(len(candidates)), e.random.IntN(len(candidates)-1)
		if second >= first {
			second++
		}
		candidates = []*upstream{candidates[first], candidates[second]}
	}
	return e.lowestCost(now, candidates, e.spills(now, p))
}

// lowestCost returns the candidate with the lowest cost, or nil if there are none. Of
// several in the same data centre, or all in others, it returns the one with the fewest
// recent requests for its slots. Other ties are broken at random. If spills is set, upstreams
// in other data centres have no penalty and win ties.
func (e *Engine) lowestCost(now time.Time, candidates []*upstream, spills bool) *upstream {
	var sides [2]cheapest
	for _, u := range candidates {
		sides[u.side()].consider(e, now, u)
	}
	local, remote := &sides[0], &sides[1]
	switch {
	case local.best == nil:
		return remote.best
	case spills && remote.best != nil && remote.cost-remotePenalty <= local.cost:
		return remote.best
	case remote.best == nil || local.cost < remote.cost:
		return local.best
	case local.cost == remote.cost && e.random.IntN(local.count+remote.count) < local.count:
		return local.best
	default:
		return remote.best
	}
}

// cheapest is the best of the candidates considered so far.
type cheapest struct {
	best         *upstream
	cost, recent float64
	// count is the number of candidates with the cost, and ties the number of those with
	// the same number of recent requests too.
	count, ties int
}

// consider adds a candidate.
func (c *cheapest) consider(e *Engine, now time.Time, u *upstream) {
	cost := e.cost(now, u)
	if c.best != nil && cost > c.cost {
		return
	}
	recent := e.recentPerSlot(now, u)
	if c.best == nil || cost < c.cost {
		*c = cheapest{best: u, cost: cost, recent: recent, count: 1, ties: 1}
		return
	}
	c.count++
	switch {
	case recent < c.recent:
		c.best, c.recent, c.ties = u, recent, 1
	case recent == c.recent:
		c.ties++
		if e.random.IntN(c.ties) == 0 {
			c.best = u
		}
	}
}
