package echo

import (
	"math"
	"time"
)

const (
	// recentMemory is the time after which a request counts 1/e in the recent requests of an
	// upstream. It covers several requests of a flow that pauses for seconds.
	recentMemory = 15 * time.Second
	// maxRecentExponent is the exponent of the weight of a new request at which all counts
	// are scaled down.
	maxRecentExponent = 50
	// maxSpeedFactor is the largest count of one request. It bounds what a single response
	// of a long transfer does.
	maxSpeedFactor = 8
	// minRatioRequests is the mean number of recent requests of an upstream from which on
	// busiestRatio is given. With fewer, chance alone makes large ratios.
	minRatioRequests = 10
)

// recentRequests is the decayed number of this host's requests at an upstream. Its unit
// changes with Engine.recentOrigin, so it can only be compared with others.
type recentRequests struct {
	count float64
	// ineligible is set if the last choice from the upstream's pool could not take it.
	ineligible bool
}

// countRecent counts a request of this host at the upstream, or a flow that will send one.
// A request that starts later has a larger weight, so that the decay of all counts needs
// no update.
func (e *Engine) countRecent(now time.Time, u *upstream) {
	if now.Sub(e.recentOrigin) > maxRecentExponent*recentMemory {
		scale := 1 / e.recentWeight(now)
		for _, other := range e.upstreams {
			other.recent.count *= scale
		}
		e.recentOrigin = now
	}
	u.recent.count += e.recentWeight(now)
}

// countSpeed corrects the count of a request that has ended to its time relative to the
// mean of the pool, so that a slow upstream gets fewer flows and a quick one more. Answers
// that look failed are left out, because an upstream that fails at once would look quick.
func (e *Engine) countSpeed(now time.Time, u *upstream, responseTime time.Duration) {
	p := e.poolOf(u)
	if p == nil || p.processingTime == 0 || e.options.Without.Has(SpeedWeight) {
		return
	}
	factor := min(maxSpeedFactor, float64(responseTime)/float64(p.processingTime))
	u.recent.count = max(0, u.recent.count+(factor-1)*e.recentWeight(now))
}

// recentWeight returns the weight of a request that starts now.
func (e *Engine) recentWeight(now time.Time) float64 {
	return math.Exp(now.Sub(e.recentOrigin).Seconds() / recentMemory.Seconds())
}

// recentPerSlot returns what LeastUsed compares among upstreams with the same cost.
//
// Most flows stay open and pause between requests. The outstanding requests of a moment
// tell little about the number of flows that an upstream has, and without this count the
// numbers of flows would differ by chance for as long as the flows live.
func (e *Engine) recentPerSlot(now time.Time, u *upstream) float64 {
	if e.options.Policy == Random || e.options.Policy == AllKnowing || e.options.Without.Has(RecentRequests) {
		return 0
	}
	return u.recent.count / u.effectiveSlots(now)
}

// startAtMean gives the candidates that the last choice could not take the mean count of
// the others on their side, in the host's data centre or in others. A new upstream, or one
// that has returned, would otherwise get all new flows until its count had caught up.
func startAtMean(now time.Time, candidates []*upstream) {
	var counts, slots [2]float64
	for _, u := range candidates {
		if !u.recent.ineligible {
			counts[u.side()] += u.recent.count
			slots[u.side()] += u.effectiveSlots(now)
		}
	}
	for _, u := range candidates {
		if u.recent.ineligible && slots[u.side()] > 0 {
			u.recent.count = max(u.recent.count, counts[u.side()]/slots[u.side()]*u.effectiveSlots(now))
		}
		u.recent.ineligible = false
	}
}

// side returns 0 for an upstream in the host's own data centre, and 1 for another.
func (u *upstream) side() int {
	if u.local {
		return 0
	}
	return 1
}

// busiestRatio returns the number of recent requests per slot at the busiest upstream of
// the pool that takes new flows in the host's data centre, divided by the mean of these
// upstreams, or 0 if they have too few requests.
func (e *Engine) busiestRatio(now time.Time, p *pool) float64 {
	var total, slots, busiest float64
	upstreams := 0
	for _, u := range p.upstreams {
		if u.local && isHealthy(u) {
			upstreams++
			total += u.recent.count
			slots += u.effectiveSlots(now)
			busiest = max(busiest, u.recent.count/u.effectiveSlots(now))
		}
	}
	if upstreams == 0 || total/e.recentWeight(now) < minRatioRequests*float64(upstreams) {
		return 0
	}
	return busiest * slots / total
}
