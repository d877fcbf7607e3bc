package echo

import "time"

const (
	// processingTimeWeight is the weight of a new sample in the moving average of
	// the processing time, which thus covers about 50 responses.
	processingTimeWeight = 0.02
	// baselineWeight is the weight of a new sample in the baseline processing time,
	// which thus covers about 2,000 responses. That is more than arrive during an
	// overload of a few seconds, so such an overload does not become the baseline.
	baselineWeight = 0.0005
	// slowObjectiveFraction is the fraction of the objective above which a response
	// is slow. The slowest tenth of responses take at least about 2.5 times the median,
	// so with a median of 0.4 of the objective a tenth of the responses miss it.
	slowObjectiveFraction = 0.4
	// slowBaselineFactor is the multiple of the baseline processing time up to which no
	// response is slow, because processing times vary by half even without queueing.
	slowBaselineFactor = 1.5
	// slowFractionWeight is the weight of a new response in the fraction of slow
	// responses, which thus covers about 20 responses.
	slowFractionWeight = 0.05
	// shedLowestThreshold is the fraction of slow responses above which new flows of
	// the lowest priority are refused. Most responses are slow when requests queue at
	// all upstreams, but not when only a few upstreams are slow.
	shedLowestThreshold = 0.5
	// shedOthersThreshold is the fraction of slow responses above which new flows of
	// other priorities are refused as well, because refusing the lowest has not been
	// enough. Flows of the highest priority are never refused because of overload.
	shedOthersThreshold = 0.85
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
	// shortestTime estimates the response time of such requests that did not queue at all.
	shortestTime shortestTime
	// baselineProcessingTime is the same average over a longer time. baselineSamples is
	// the number of responses in it.
	baselineProcessingTime time.Duration
	baselineSamples        int
	// lowestPriority is the lowest priority among recent new flows.
	lowestPriority lowestRecentPriority
	// slowFraction is the fraction of recent responses that were slow; slowUpdatedAt
	// is the time of the last response in it.
	slowFraction  float64
	slowUpdatedAt time.Time
	// overload is the current overload of the pool, if any.
	overload overloadPeriod
	// queue holds the new flows that wait for a slot.
	queue admissionQueue
	// spill determines the share of new flows that may leave the data centre.
	spill spillover
	// refusal decides which flows are refused while an overload lasts.
	refusal fairRefusal
}

// updateProcessingTime adds a response time to the moving averages of the processing
// time. The request must have found a slot free of this host's own requests.
func (p *pool) updateProcessingTime(responseTime time.Duration) {
	if p.processingTime == 0 {
		p.processingTime = responseTime
	}
	p.shortestTime.observe(responseTime)
	p.processingTime += time.Duration(processingTimeWeight * float64(responseTime-p.processingTime))
	p.baselineSamples++
	p.baselineProcessingTime += time.Duration(max(baselineWeight, 1/float64(p.baselineSamples)) * float64(responseTime-p.baselineProcessingTime))
}

// updateSlowFraction adds a response to the fraction of slow responses. Responses of
// routes without an objective are left out.
func (p *pool) updateSlowFraction(now time.Time, responseTime, objective time.Duration) {
	if objective <= 0 {
		return
	}
	slow := 0.0
	if responseTime > max(time.Duration(slowObjectiveFraction*float64(objective)), time.Duration(slowBaselineFactor*float64(p.baselineProcessingTime))) {
		slow = 1
	}
	p.slowFraction += slowFractionWeight * (slow - p.slowFraction)
	p.slowUpdatedAt = now
}

// overloaded reports whether a new flow of a sheddable route would be served late at
// the upstream because of overload, and records the route's priority. Of the
// priorities with recent new flows, the lowest gives way first.
func (p *pool) overloaded(now time.Time, r *route, u *upstream) bool {
	p.lowestPriority.observe(now, r.Priority)
	threshold := shedOthersThreshold
	if r.Priority == p.lowestPriority.priority {
		if p.wouldTakeLonger(now, u, r.Objective) {
			return true
		}
		threshold = shedLowestThreshold
	}
	return u.outstanding > 0 && p.congested(now, threshold)
}

// congested reports whether the fraction of slow responses exceeds the threshold.
// Unlike wouldTakeLonger, it reflects the requests of all hosts.
func (p *pool) congested(now time.Time, threshold float64) bool {
	return p.slowFraction > threshold && now.Sub(p.slowUpdatedAt) < congestionTTL
}

// wouldTakeLonger reports whether a new request would have to queue for a slot behind
// this host's own requests and so usually take longer than the limit.
func (p *pool) wouldTakeLonger(now time.Time, u *upstream, limit time.Duration) bool {
	queued, slots := u.queued(now)
	return queued > 0 && time.Duration(float64(p.processingTime)*(1+queued/slots)) > limit
}

// mustTakeLonger reports whether a new request would have to queue behind this host's own
// requests and take longer than the limit even if each takes the shortest time.
func (p *pool) mustTakeLonger(now time.Time, u *upstream, limit time.Duration) bool {
	queued, slots := u.queued(now)
	return queued > 0 && p.shortestTime.behind(queued, slots) > limit
}
