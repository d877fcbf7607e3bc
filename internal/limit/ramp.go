package limit

import (
	"math"
	"time"
)

// MinRamp is the share of new work that an upstream takes immediately after its start.
const MinRamp = 0.1

// Ramp returns the share of new work, from MinRamp to 1, of an upstream with the
// given uptime. The share grows linearly and reaches 1 after the duration.
func Ramp(uptime, duration time.Duration) float64 {
	if duration <= 0 || uptime >= duration {
		return 1
	}
	return max(MinRamp, float64(uptime)/float64(duration))
}

// RampSlots returns how many of its slots an upstream may use at the given ramp, from 0
// to 1: at least one, if it has any.
func RampSlots(slots int, ramp float64) int {
	return min(slots, max(1, int(math.Ceil(float64(slots)*ramp))))
}
