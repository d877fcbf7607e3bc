package echo

import "time"

const (
	// spillInterval is the time between two changes of the share of flows that may leave.
	spillInterval = 250 * time.Millisecond
	// spillStep is the largest increase of the share in one interval, and spillFall the factor
	// by which decreases are larger. An overload of all data centres so ends spill-over quickly.
	spillStep = 0.2
	spillFall = 2
	// spillProbe is the largest share while the response times in other data centres are unknown.
	// Without it, overload with four hosts in a data centre had a worth of 0.987 instead of 0.992.
	spillProbe = 0.2
	// spillStart and spillStop are the excess response times of local upstreams, as fractions of
	// the response time they are compared to, above which the share grows and below which it
	// falls. In between it stays as it is.
	spillStart = 0.35
	spillStop  = 0.2
	// spillCentre is added to the distance from the threshold, so that the share also moves
	// close to it.
	spillCentre = 0.3
	// spillOutlier is the multiple of the usual response time at which response times are cut off.
	// Without it, 3 to 7% of the flows leave by chance at a steady load where a tenth of the
	// requests takes fifty times as long as the others, with it at most 0.5%.
	spillOutlier = 4
	// spillSampleWeight is the weight of a new sample in the compared response times, which thus
	// cover about 64 responses.
	spillSampleWeight = 1.0 / 32
	// minSpillSamples is the number of responses from which on a response time is known.
	minSpillSamples = 8
	// spillTTL is how long after the last response it is known, and how long the share is kept
	// while local response times are not known.
	spillTTL = 2 * time.Second
)

// spillover determines which share of a pool's new flows may leave the data centre although
// this host's own requests leave local slots free. Response times show the requests of all
// hosts, of which a host sees a fraction. Hosts decide flow by flow at random, so that those of
// a data centre do not leave together.
type spillover struct {
	// share is the fraction of new flows for which remotePenalty is waived.
	share float64
	// local and remote are the recent response times of upstreams in the host's own data
	// centre and in others, usual that of all while none leaves.
	local, remote, usual responseAverage
	// adjustedAt is when the share was last adjusted.
	adjustedAt time.Time
}

// observe adds the response time of an upstream and adjusts the share if it is due.
func (s *spillover) observe(now time.Time, local bool, responseTime time.Duration) {
	side := &s.local
	if !local {
		side = &s.remote
	}
	if now.Sub(side.at) > spillTTL {
		*side = responseAverage{weight: spillSampleWeight}
	}
	seconds := responseTime.Seconds()
	if s.usual.samples >= minSpillSamples {
		seconds = min(seconds, spillOutlier*s.usual.mean)
	}
	side.observe(now, seconds)
	if s.share == 0 || !local {
		// While flows leave, local response times are those of an overload.
		s.usual.weight = baselineWeight
		s.usual.observe(now, seconds)
	}
	if now.Sub(s.adjustedAt) >= spillInterval && s.local.known(now) {
		s.adjust(now)
	}
}

// adjust adapts the share to the excess of local response times over those in other data
// centres, which include the longer path, or over the usual ones if these are longer.
func (s *spillover) adjust(now time.Time) {
	s.adjustedAt = now
	reference, limit := s.usual.mean, max(s.share, spillProbe)
	if s.remote.known(now) {
		reference, limit = max(reference, s.remote.mean), 1
	}
	switch excess := s.local.mean/reference - 1; {
	case excess > spillStart:
		s.share = min(limit, s.share+spillStep*min(1, excess-spillStart+spillCentre))
	case excess < spillStop:
		s.share = max(0, s.share-spillFall*spillStep*min(1, spillStop-excess+spillCentre))
	}
}

// spills reports whether a new flow may leave the data centre as if upstreams in others were
// as near as local ones.
func (e *Engine) spills(now time.Time, p *pool) bool {
	s := &p.spill
	if s.share == 0 || e.options.Policy != LeastUsed || e.options.Without.Has(SpillOver) || e.options.Without.Has(RemotePenalty) {
		return false
	}
	if now.Sub(s.adjustedAt) > spillTTL {
		s.share = 0
		return false
	}
	return e.random.Float64() < s.share
}

// observeSpill adds a response of the upstream to the response times of its service.
func (e *Engine) observeSpill(now time.Time, u *upstream, responseTime time.Duration) {
	if p := e.poolOf(u); p != nil && !u.evacuated {
		p.spill.observe(now, u.local, responseTime)
	}
}
