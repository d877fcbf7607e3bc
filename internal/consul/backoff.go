package consul

import (
	"math/rand/v2"
	"time"
)

// Limits of the delay between attempts.
const (
	// BackoffBase is the maximum delay after the first failure.
	BackoffBase = 100 * time.Millisecond
	// BackoffCap is the maximum of all delays.
	BackoffCap = 30 * time.Second
)

// Backoff returns the random delay before the attempt that follows the given number
// of failures. The maximum delay starts at BackoffBase and doubles with each further
// failure, up to BackoffCap. The delay is drawn uniformly between half of the maximum
// and the maximum, so that hosts that failed at the same time do not retry together.
func Backoff(failures int, rng *rand.Rand) time.Duration {
	maxDelay := BackoffCap
	if failures < 1 {
		failures = 1
	}
	// The maximum delay is BackoffCap from the tenth failure on. The condition keeps the
	// shift from overflowing.
	if failures < 16 {
		maxDelay = min(BackoffCap, BackoffBase<<(failures-1))
	}
	return maxDelay/2 + time.Duration(rng.Int64N(int64(maxDelay/2)+1))
}
