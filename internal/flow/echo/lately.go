package echo

import "time"

// latelyFor is how long a priority counts after a new flow. It covers a route
// with a flow in ten seconds.
const latelyFor = 30 * time.Second

// lately is a priority that new flows had.
type lately struct {
	priority int
	// at is when the last such flow came.
	at time.Time
}

// note takes the priority of a new flow if it is beyond the present one, or if
// that is too old.
func (l *lately) note(now time.Time, priority int, beyond bool) {
	if l.at.IsZero() || beyond || now.Sub(l.at) > latelyFor {
		l.priority, l.at = priority, now
	}
}
