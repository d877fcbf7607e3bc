package echo

import "time"

const (
	// workWeight is the weight of one more answer in the estimate of a service's
	// work time: about 50 answers count.
	workWeight = 0.02
	// usualWeight is the same for the usual work time: about 2,000 answers count,
	// more than an overload of some seconds brings.
	usualWeight = 0.0005
	// slowPart is the part of its objective from which an answer is slow. The
	// slowest tenth takes about 2.5 times the median, so that with a median of 0.4
	// of the objective a tenth of the answers is late.
	slowPart = 0.4
	// slowWork is the multiple of the usual work time up to which no answer is
	// slow: work times vary by a half without any queue.
	slowWork = 1.5
	// crowdedWeight is the weight of one more answer in the part of slow answers:
	// about 20 answers count.
	crowdedWeight = 0.05
	// crowdedPart is the part of slow answers from which the lowest priority gives
	// way. Most answers are slow when requests queue everywhere, not when a few
	// upstreams are slow.
	crowdedPart = 0.5
	// fullPart is the part of slow answers from which routes of other than the
	// lowest priority give way too: refusing the lowest has not been enough.
	fullPart = 0.85
	// crowdedFor is how long a pool that answers nothing stays crowded.
	crowdedFor = 500 * time.Millisecond
)

// pool is the upstreams of one service.
type pool struct {
	upstreams []*upstream
	// work is how long a request takes at an upstream where this host's own ones
	// leave a slot free. Other hosts' requests are in it. It is zero before any
	// answer, so that nothing is refused on a guess.
	work time.Duration
	// usual is the same over a longer time, learned the number of answers in it.
	usual   time.Duration
	learned int
	// lowest is the lowest priority of the latest new flows.
	lowest lowestLately
	// slow is the part of the latest answers that were slow, slowAt the time of
	// the last one.
	slow   float64
	slowAt time.Time
}

// learn adds the time of an answer to the estimates of the work time. Only
// answers to requests that found a slot free of this host's own ones count.
func (p *pool) learn(took time.Duration) {
	if p.work == 0 {
		p.work = took
	}
	p.work += time.Duration(workWeight * float64(took-p.work))
	p.learned++
	p.usual += time.Duration(max(usualWeight, 1/float64(p.learned)) * float64(took-p.usual))
}

// note adds an answer to the part of slow ones. Routes without an objective have
// no slow answers.
func (p *pool) note(now time.Time, took, objective time.Duration) {
	if objective <= 0 {
		return
	}
	slow := 0.0
	if took > max(time.Duration(slowPart*float64(objective)), time.Duration(slowWork*float64(p.usual))) {
		slow = 1
	}
	p.slow += crowdedWeight * (slow - p.slow)
	p.slowAt = now
}

// refuses reports whether a new flow of a route that gives way would be answered
// late at the upstream, and notes the route's priority: the lowest that has
// traffic gives way first.
func (p *pool) refuses(now time.Time, r *route, u *upstream) bool {
	p.lowest.note(now, r.Priority)
	part := fullPart
	if r.Priority == p.lowest.priority {
		if p.late(now, u, r.Objective) {
			return true
		}
		part = crowdedPart
	}
	return u.waiting > 0 && p.crowded(now, part)
}

// crowded reports whether more than the part of the requests waits for a slot.
// Unlike late, it shows the requests of all hosts.
func (p *pool) crowded(now time.Time, part float64) bool {
	return p.slow > part && now.Sub(p.slowAt) < crowdedFor
}

// late reports whether a new request would have to wait for a slot of the
// upstream, and would therefore take longer than the objective.
func (p *pool) late(now time.Time, u *upstream, objective time.Duration) bool {
	slots := u.slots(now)
	queued := float64(u.waiting+1) - slots
	if queued <= 0 {
		return false
	}
	return time.Duration(float64(p.work)*(1+queued/slots)) > objective
}
