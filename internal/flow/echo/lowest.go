package echo

import "time"

// latelyFor is how long a priority counts after a new flow. It covers a route
// with a flow in ten seconds.
const latelyFor = 30 * time.Second

// lowestLately is the lowest priority that new flows had; greater numbers are lower.
type lowestLately struct {
	priority int
	// at is when the last such flow came.
	at time.Time
}

// note takes the priority of a new flow unless it is higher than the present one,
// or if that is too old.
func (l *lowestLately) note(now time.Time, priority int) {
	if priority >= l.priority || now.Sub(l.at) > latelyFor {
		l.priority, l.at = priority, now
	}
}
