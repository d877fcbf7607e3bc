package echo

import "time"

// recentPriorityTTL is how long a priority counts as recent after its last new flow.
// It is long enough for a route that gets a new flow every ten seconds.
const recentPriorityTTL = 30 * time.Second

// lowestRecentPriority tracks the lowest priority among recent new flows. Greater
// numbers are lower priorities.
type lowestRecentPriority struct {
	priority int
	// lastFlow is when the last new flow of this priority arrived.
	lastFlow time.Time
}

// observe records the priority of a new flow. A higher priority replaces the recorded
// one only if that has had no new flow for recentPriorityTTL.
func (l *lowestRecentPriority) observe(now time.Time, priority int) {
	if priority >= l.priority || now.Sub(l.lastFlow) > recentPriorityTTL {
		l.priority, l.lastFlow = priority, now
	}
}
