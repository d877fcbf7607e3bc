package feed

import "time"

// Timing holds the intervals and time limits of a feed.
type Timing struct {
	// Pause is the time between the answer to a watch of the store and the next
	// watch. All changes during the pause are read with one call.
	Pause time.Duration
	// Wait is how long a source holds a watch open if there is no change.
	Wait time.Duration
	// Slack is the time allowed beyond Wait for the answer to a watch to arrive.
	Slack time.Duration
	// MaxBackoff is the maximum delay after a failed call.
	MaxBackoff time.Duration
}

// Fractions of the time limit within which a change must take effect. If one call is
// lost, a change waits at worst for a pause, the lost call (wait and slack) and a backoff
// before the call that delivers it.
const (
	pauseFraction   = 0.30
	waitFraction    = 0.30
	slackFraction   = 0.20
	backoffFraction = 0.15
)

// NewTiming returns a timing with which changes take effect within the limit even if one
// call is lost.
func NewTiming(limit time.Duration) Timing {
	scale := func(fraction float64) time.Duration { return time.Duration(fraction * float64(limit)) }
	return Timing{Pause: scale(pauseFraction), Wait: scale(waitFraction), Slack: scale(slackFraction), MaxBackoff: scale(backoffFraction)}
}

// callTimeout is the time limit of a watch.
func (t Timing) callTimeout() time.Duration { return t.Wait + t.Slack }

// OutageThreshold is the time without contact after which the store counts as
// unavailable. It is the longest time between two answers if no call fails.
func (t Timing) OutageThreshold() time.Duration { return t.Pause + t.Wait + t.Slack }
