package echo

import "time"

const (
	// remoteCost is what an upstream in another data centre has to be better by, as
	// a fraction of its slots in use: flows leave once all slots here are in use. A
	// host does not see the requests of other hosts, and remote upstreams have most
	// of those.
	remoteCost = 1.0
)

// choose returns the upstream for a new flow of the route, or the reason why
// there is none. It avoids the given one if it can.
func (e *Engine) choose(now time.Time, r *route, avoid *upstream) (*upstream, Reason) {
	p := e.pools[e.pickService(r)]
	u := e.leastUsed(now, p, avoid, trusted)
	if u == nil {
		u, p = e.lastResort(now, r)
	}
	if u == nil {
		return nil, NoUpstream
	}
	if r.sheddable && p.refuses(now, r, u) {
		return u, Overloaded
	}
	return u, 0
}

// lastResort returns an upstream of any of the route's services. Suspected
// upstreams are better than none.
func (e *Engine) lastResort(now time.Time, r *route) (*upstream, *pool) {
	for _, share := range r.Shares {
		p := e.pools[share.Service]
		if u := e.leastUsed(now, p, nil, anyUpstream); u != nil {
			return u, p
		}
	}
	return nil, nil
}

func trusted(u *upstream) bool     { return u.takesFlows() && !u.suspected() }
func anyUpstream(u *upstream) bool { return u.takesFlows() }

// pickService draws one of the route's services by weight.
func (e *Engine) pickService(r *route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := uint32(0)
	for _, share := range r.Shares {
		total += share.Weight
	}
	draw := e.random.Uint32N(total)
	for _, share := range r.Shares {
		if draw < share.Weight {
			return share.Service
		}
		draw -= share.Weight
	}
	return r.Shares[0].Service
}

// leastUsed returns the eligible upstream that costs least by the policy.
func (e *Engine) leastUsed(now time.Time, p *pool, avoid *upstream, eligible func(*upstream) bool) *upstream {
	if p == nil {
		return nil
	}
	candidates := e.candidates[:0]
	for _, u := range p.upstreams {
		if u != avoid && eligible(u) {
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
	return e.cheapest(now, candidates)
}

// cheapest returns the candidate that costs least, one of several by chance.
func (e *Engine) cheapest(now time.Time, candidates []*upstream) *upstream {
	var best *upstream
	var least float64
	ties := 0
	for _, u := range candidates {
		cost := e.cost(now, u)
		switch {
		case best == nil || cost < least:
			best, least, ties = u, cost, 1
		case cost == least:
			ties++
			if e.random.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}
