package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/evidence"
)

const (
	// shortestUsual and longestUsual bound the mean answer times, as hosts see them, at
	// which times of usual length are right. They hold services with 20 to 100 ms of work,
	// whose mean falls by a quarter while a quarter of the upstreams fails at once, and
	// rises with queues and with the way to callers.
	shortestUsual = 15 * time.Millisecond
	longestUsual  = 150 * time.Millisecond
	// minTimeScale keeps ejections as long as it takes until reports of other hosts are
	// renewed, and evidence from being collected more than 200 times a second, which takes a
	// fiftieth of a core with 3,300 upstreams. maxTimeScale bounds the times of services that
	// take more than a second.
	minTimeScale = 0.25
	maxTimeScale = 8
	// minNewFailed is the number of failed answers since a short ejection that are needed for
	// the next one. Less is left of a single one after 0.7 s.
	minNewFailed = 0.7
	// usualEvidenceLifetime is EvidenceLifetime for services with the usual answer times.
	usualEvidenceLifetime = 20 * time.Millisecond
)

// timeScale returns the factor by which times that depend on the service's answer times
// differ from the usual ones. It is 1 until the answer times are known. The baseline is
// used because it does not follow an overload of a few seconds.
func (p *pool) timeScale() float64 {
	if p == nil || p.baselineSamples < minTypicalAnswers {
		return 1
	}
	switch t := p.baselineProcessingTime; {
	case t < shortestUsual:
		return max(minTimeScale, float64(t)/float64(shortestUsual))
	case t > longestUsual:
		return min(maxTimeScale, float64(t)/float64(longestUsual))
	default:
		return 1
	}
}

// scaleTime returns the duration times the factor.
func scaleTime(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// EvidenceLifetime returns how long the last result of Evidence may be used again. It
// depends on the quickest service.
func (e *Engine) EvidenceLifetime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	scale, known := float64(maxTimeScale), false
	for _, p := range e.pools {
		if len(p.upstreams) > 0 {
			scale, known = min(scale, p.timeScale()), true
		}
	}
	if !known {
		return usualEvidenceLifetime
	}
	return scaleTime(usualEvidenceLifetime, scale)
}

// failedSinceEjection reports whether answers of the upstream have failed since its last
// ejection, if that was a short one. The evidence that led to it outlives a short ejection,
// and would eject the upstream again although it answers as usual.
func (u *upstream) failedSinceEjection(now time.Time, failed float32) bool {
	j := &u.ejection
	if j.until.IsZero() || j.length >= initialEjection {
		return true
	}
	return failed-j.failed*evidence.Decay(now.Sub(j.until)+j.length) >= minNewFailed
}
