package echo

import "time"

const (
	// shorterWeight and longerWeight are the weights of a new response that is shorter or
	// longer than the estimate. Their ratio puts the estimate near the fourth percentile.
	shorterWeight = 0.25
	longerWeight  = 0.01
)

// shortestTime estimates the time of the fastest responses of a pool: of those that did not
// queue behind other requests. It is zero until the first response. An average of all
// responses contains their time in queues, so it cannot prove that a request will be late.
type shortestTime time.Duration

// observe adds a response time.
func (t *shortestTime) observe(responseTime time.Duration) {
	difference := responseTime - time.Duration(*t)
	switch {
	case *t == 0:
		*t = shortestTime(responseTime)
	case difference < 0:
		*t += shortestTime(shorterWeight * float64(difference))
	default:
		*t += shortestTime(longerWeight * float64(difference))
	}
}

// behind returns the time of a response to a request that queues behind others at an upstream
// with the given number of slots, each of which takes the shortest time as well.
func (t shortestTime) behind(queued, slots float64) time.Duration {
	return time.Duration(float64(t) * (1 + queued/slots))
}
