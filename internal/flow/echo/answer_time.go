package echo

import "time"

const (
	// longestUsual is the mean answer time, as hosts see it, up to which times of usual length
	// are right. That holds for services with 100 ms of work with queues and the way to callers.
	longestUsual = 150 * time.Millisecond
	// maxTimeScale bounds the times of services that take more than a second.
	maxTimeScale = 8
	// usualEvidenceLifetime is EvidenceLifetime for services with the usual answer times.
	usualEvidenceLifetime = 20 * time.Millisecond
)

// timeScale returns the factor by which times that depend on the service's answer times
// exceed the usual ones. It is 1 until the answer times are known, and for quick services:
// shorter ejections send more requests to an upstream that goes on failing. The baseline is
// used because it does not follow an overload of a few seconds.
func (p *pool) timeScale() float64 {
	if p == nil || p.baselineSamples < minTypicalAnswers {
		return 1
	}
	return max(1, min(maxTimeScale, float64(p.baselineProcessingTime)/float64(longestUsual)))
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
