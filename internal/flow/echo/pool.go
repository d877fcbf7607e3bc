package echo

import "time"

const (
	// processingTimeWeight is the weight of a new sample in the moving average of
	// the processing time, which thus covers about 50 responses.
	processingTimeWeight = 0.02
	// baselineWeight is the weight of a new sample in the baseline, which thus
	// covers about 2,000 responses: more than arrive during an overload of a few
	// seconds, so that such an overload does not become the baseline.
	baselineWeight = 0.0005
	// slowObjectiveFraction is the fraction of the objective above which a response
	// is slow. The slowest tenth of responses takes about 2.5 times the median, so
	// with a median of 0.4 of the objective a tenth of the responses misses it.
	slowObjectiveFraction = 0.4
	// slowBaselineFactor is the multiple of the baseline up to which no response is
	// slow: processing times vary by a half even without queueing.
	slowBaselineFactor = 1.5
	// slowFractionWeight is the weight of a new response in the fraction of slow
	// responses, which thus covers about 20 responses.
	slowFractionWeight = 0.05
	// shedLowestFraction is the fraction of slow responses above which routes of the
	// lowest priority are shed. Most responses are slow when requests queue at all
	// upstreams, but not when only a few upstreams are slow.
	shedLowestFraction = 0.5
	// shedOthersFraction is the fraction of slow responses above which routes of
	// other priorities are shed as well, because shedding the lowest has not been
	// enough. Routes of the highest priority are never shed.
	shedOthersFraction = 0.85
	// congestionTTL is how long after its last response a pool still counts as
	// congested.
	congestionTTL = 500 * time.Millisecond
)

// pool holds the upstreams of one service and the estimates of their load.
type pool struct {
	upstreams []*upstream
	// processingTime is the moving average of the response time of requests that
	// found a slot free of this host's own requests. It includes the time spent
	// waiting behind requests of other hosts. It is zero until the first response,
	// so that no flow is refused without a measurement.
	processingTime time.Duration
	// baseline is the same average over a longer time; baselineSamples is the number
	// of responses in it.
	baseline        time.Duration
	baselineSamples int
	// lowestPriority is the lowest priority among recent new flows.
	lowestPriority lowestRecentPriority
	// slowFraction is the fraction of recent responses that were slow; slowUpdatedAt
	// is the time of the last response in it.
	slowFraction  float64
	slowUpdatedAt time.Time
}

// updateProcessingTime adds a response time to the processing time and the
// baseline. The request must have found a slot free of this host's own requests.
func (p *pool) updateProcessingTime(responseTime time.Duration) {
	if p.processingTime == 0 {
		p.processingTime = responseTime
	}
	p.processingTime += time.Duration(processingTimeWeight * float64(responseTime-p.processingTime))
	p.baselineSamples++
	p.baseline += time.Duration(max(baselineWeight, 1/float64(p.baselineSamples)) * float64(responseTime-p.baseline))
}

// updateSlowFraction adds a response to the fraction of slow ones. Responses of
// routes without an objective are left out.
func (p *pool) updateSlowFraction(now time.Time, responseTime, objective time.Duration) {
	if objective <= 0 {
		return
	}
	slow := 0.0
	if responseTime > max(time.Duration(slowObjectiveFraction*float64(objective)), time.Duration(slowBaselineFactor*float64(p.baseline))) {
		slow = 1
	}
	p.slowFraction += slowFractionWeight * (slow - p.slowFraction)
	p.slowUpdatedAt = now
}

// shouldShed reports whether a new flow of a sheddable route is to be refused at
// the upstream because of overload, and records the route's priority. Among the
// priorities with recent flows, the lowest is shed first.
func (p *pool) shouldShed(now time.Time, r *route, u *upstream) bool {
	p.lowestPriority.observe(now, r.Priority)
	threshold := shedOthersFraction
	if r.Priority == p.lowestPriority.priority {
		if p.wouldMissObjective(now, u, r.Objective) {
			return true
		}
		threshold = shedLowestFraction
	}
	return u.outstanding > 0 && p.congested(now, threshold)
}

// congested reports whether the fraction of slow responses exceeds the threshold.
// Unlike wouldMissObjective, it reflects the requests of all hosts.
func (p *pool) congested(now time.Time, threshold float64) bool {
	return p.slowFraction > threshold && now.Sub(p.slowUpdatedAt) < congestionTTL
}

// wouldMissObjective reports whether a new request would have to queue for a slot
// behind this host's own requests and so take longer than the objective.
func (p *pool) wouldMissObjective(now time.Time, u *upstream, objective time.Duration) bool {
	slots := u.effectiveSlots(now)
	queued := float64(u.outstanding+1) - slots
	if queued <= 0 {
		return false
	}
	return time.Duration(float64(p.processingTime)*(1+queued/slots)) > objective
}
