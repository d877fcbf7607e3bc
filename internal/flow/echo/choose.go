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
	takesFlow := func(u *upstream) bool { return isHealthy(u) && e.takesFlow(now, r, u) }
	if u := e.chooseFromPool(now, p, avoid, takesFlow); u != nil {
		return u, p
	}
	return e.chooseFallback(now, r, takesFlow)
}

// chooseFallback returns an upstream of the first of the route's services that has one
// which takes the flow, or else of the first that has a healthy one, although it is
// ejected, or else of the first that has one which accepts new flows. It returns nil if
// none has.
func (e *Engine) chooseFallback(now time.Time, r *route, takesFlow func(*upstream) bool) (*upstream, *pool) {
	for _, eligible := range []func(*upstream) bool{takesFlow, isHealthy, isAvailable} {
		for _, share := range r.Shares {
			p := e.pools[share.Service]
			if u := e.chooseFromPool(now, p, nil, eligible); u != nil {
				return u, p
			}
		}
	}
	return nil, nil
}

// isHealthy reports whether new flows may go to the upstream and it is not suspected.
func isHealthy(u *upstream) bool { return u.acceptsFlows() && !u.suspected() }

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
// policy, or nil.
func (e *Engine) chooseFromPool(now time.Time, p *pool, avoid *upstream, eligible func(*upstream) bool) *upstream {
	if p == nil {
		return nil
	}
	candidates := e.candidates[:0]
	for _, u := range p.upstreams {
		if u != avoid && eligible(u) && e.withinWarmup(now, u) {
			candidates = append(candidates, u)
		}
	}
	e.candidates = candidates
	if e.options.Policy == TwoChoices && len(candidates) > 2 {
		first, second := e.random.IntN(len(candidates)), e.random.IntN(len(candidates)-1)
		if second >= first {
			second++
		}
		candidates = []*upstream{candidates[first], candidates[second]}
	}
	return e.lowestCost(now, candidates)
}

// lowestCost returns the candidate with the lowest cost, or nil if there are none.
// Ties are broken at random.
func (e *Engine) lowestCost(now time.Time, candidates []*upstream) *upstream {
	var best *upstream
	var lowest float64
	ties := 0
	for _, u := range candidates {
		cost := e.cost(now, u)
		switch {
		case best == nil || cost < lowest:
			best, lowest, ties = u, cost, 1
		case cost == lowest:
			ties++
			if e.random.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}
