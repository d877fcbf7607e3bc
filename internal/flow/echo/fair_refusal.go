package echo

import (
	"net/netip"
	"time"
)

const (
	// maxRefusalCallers is the number of callers whose recent admissions a pool counts.
	// Further ones are taken for callers without any.
	maxRefusalCallers = 1024
	// admissionHalfLife is the time in which a count of recent admissions is halved. It is
	// the time in which an overload turns out to last.
	admissionHalfLife = time.Second
	// decayTime is the time after which counts are negligible.
	decayTime = 8 * admissionHalfLife
	// refusedCallerCount is the count of a caller that was refused and has no admission. It is
	// not zero, so that it decays.
	refusedCallerCount = 0.25
	// minCallerCount is the count below which a caller is forgotten.
	minCallerCount = 0.1
	// shareFactor is the multiple of the mean count from which on a caller is above its fair
	// share. Counts differ by chance.
	shareFactor = 2
	// swapTime is the longest time between two flows of which one is refused in place of the
	// other. A slot is left free for so long at most, if nobody comes for it.
	swapTime = 100 * time.Millisecond
)

// fairRefusal decides which flows of a pool are refused while an overload lasts. It swaps
// decisions: it refuses a flow that could be admitted if its caller is above its fair share
// of recent admissions and another was refused lately, and then admits the next flow of such
// another that would be refused. It never admits more flows than it was asked to.
type fairRefusal struct {
	// admitted counts the recent admissions of callers.
	admitted map[netip.Addr]float64
	total    float64
	halvedAt time.Time
	// otherRefusedAt is when a flow of a caller that is not above its share was last refused.
	otherRefusedAt time.Time
	// owed is set if a flow was refused at owedAt in place of one that is still to come.
	owed   bool
	owedAt time.Time
}

// decide returns what to do with a flow of the caller that would be admitted or refused.
func (r *fairRefusal) decide(now time.Time, caller netip.Addr, a admission) admission {
	r.decay(now)
	above := r.aboveShare(caller)
	switch {
	case a == admit && above && !(r.owed && now.Sub(r.owedAt) < swapTime) && now.Sub(r.otherRefusedAt) < swapTime:
		r.owed, r.owedAt, a = true, now, refuse
	case a == refuse && !above && r.owed && now.Sub(r.owedAt) < swapTime:
		r.owed, a = false, admit
	case a == refuse && !above:
		r.otherRefusedAt = now
	}
	r.count(caller, a)
	return a
}

// aboveShare reports whether the caller is above its fair share.
func (r *fairRefusal) aboveShare(caller netip.Addr) bool {
	n := r.admitted[caller]
	return n >= shareFactor && n > shareFactor*r.total/float64(len(r.admitted))
}

// count counts the decision on a flow of the caller.
func (r *fairRefusal) count(caller netip.Addr, a admission) {
	n, known := r.admitted[caller]
	switch {
	case !known && len(r.admitted) >= maxRefusalCallers:
		return
	case a == admit:
		r.admitted[caller]++
	case !known:
		r.admitted[caller] = refusedCallerCount
	}
	r.total += r.admitted[caller] - n
}

// decay halves the counts for each half-life that has passed.
func (r *fairRefusal) decay(now time.Time) {
	if r.admitted == nil || now.Sub(r.halvedAt) > decayTime {
		r.admitted, r.total, r.halvedAt = make(map[netip.Addr]float64), 0, now
	}
	for now.Sub(r.halvedAt) > admissionHalfLife {
		r.halvedAt, r.total = r.halvedAt.Add(admissionHalfLife), 0
		for caller, n := range r.admitted {
			if n /= 2; n < minCallerCount {
				delete(r.admitted, caller)
				continue
			}
			r.admitted[caller] = n
			r.total += n
		}
	}
}

// forget drops the counts if no overload has lasted for decayTime. It reports whether there
// are none.
func (r *fairRefusal) forget(now time.Time) bool {
	if now.Sub(r.halvedAt) > decayTime {
		*r = fairRefusal{}
	}
	return r.admitted == nil
}
