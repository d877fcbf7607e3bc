package echo

import "time"

// responseAverage is a moving average of response times.
type responseAverage struct {
	// weight is that of a new response.
	weight float64
	// mean is in seconds.
	mean    float64
	samples int
	// at is the time of the last response.
	at time.Time
}

// observe adds a response time in seconds. While there are few, all have the same weight.
func (a *responseAverage) observe(now time.Time, seconds float64) {
	a.samples++
	a.mean += max(a.weight, 1/float64(a.samples)) * (seconds - a.mean)
	a.at = now
}

// known reports whether the average is recent and covers enough responses.
func (a *responseAverage) known(now time.Time) bool {
	return a.samples >= minSpillSamples && now.Sub(a.at) <= spillTTL
}
