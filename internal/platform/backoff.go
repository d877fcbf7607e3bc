package platform

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay between attempts.
const (
	// BackoffBase bounds the first delay.
	BackoffBase = 100 * time.Millisecond
	// BackoffCap bounds every delay.
	BackoffCap = 30 * time.Second
)

// Backoff returns the delay before the attempt that follows the given number of
// failures. It is drawn from half to the whole of a bound that doubles up to the
// cap, so that hosts that failed together do not return together.
func Backoff(failures int, rng *rand.Rand) time.Duration {
	bound := BackoffCap
	if failures < 1 {
		failures = 1
	}
	if failures < 16 {
		bound = min(BackoffCap, BackoffBase<<(failures-1))
	}
	return bound/2 + time.Duration(rng.Int64N(int64(bound/2)+1))
}
