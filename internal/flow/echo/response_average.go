package echo

import "time"

// responseAverage is a moving average of response times.
type responseAverage struct {
	// mean is in seconds.
	mean    float64
	samples int
	// at is the time of the last response.
	at time.Time
}

// observe adds a response time with the weight, or with equal weights while there are few.
func (a *responseAverage) observe(now time.Time, responseTime time.Duration, weight float64) {
	a.samples++
	a.mean += max(weight, 1/float64(a.samples)) * (responseTime.Seconds() - a.mean)
	a.at = now
}

// known reports whether the average is recent and covers enough responses.
func (a *responseAverage) known(now time.Time) bool {
	return a.samples >= minSpillSamples && now.Sub(a.at) <= spillTTL
}
