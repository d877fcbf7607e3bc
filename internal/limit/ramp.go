package limit

import (
	"math"
	"time"
)

// RampFloor is the share of new work that a cold upstream takes at once.
const RampFloor = 0.1

// Ramp returns the share of new work, from RampFloor to 1, for an upstream that
// has been up for a time and reaches its full share after the duration.
func Ramp(up, duration time.Duration) float64 {
	if duration <= 0 || up >= duration {
		return 1
	}
	return max(RampFloor, float64(up)/float64(duration))
}

// RampSlots returns how many of the slots a ramping upstream takes: at least one.
func RampSlots(slots int, ramp float64) int {
	return min(slots, max(1, int(math.Ceil(float64(slots)*ramp))))
}
