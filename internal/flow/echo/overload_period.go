package echo

import "time"

const (
	// backlogTime is how long an overload counts as a backlog that drains, for example of
	// the callers that return all at once after an outage. Flows then wait instead of
	// being refused. An overload that lasts longer is one of too much load.
	backlogTime = time.Second
	// overloadGap is the time without an overloaded flow after which an overload has
	// ended.
	overloadGap = 500 * time.Millisecond
)

// overloadPeriod tracks how long an overload has lasted.
type overloadPeriod struct {
	// since is when the overload began, last when a flow last met it.
	since, last time.Time
}

// observe records that a new flow meets an overload. It reports whether the overload
// has lasted longer than backlogTime.
func (o *overloadPeriod) observe(now time.Time) (lasting bool) {
	if now.Sub(o.last) > overloadGap {
		o.since = now
	}
	o.last = now
	return now.Sub(o.since) > backlogTime
}

// lasts reports whether there is an overload that has lasted longer than backlogTime.
func (o *overloadPeriod) lasts(now time.Time) bool {
	return now.Sub(o.last) <= overloadGap && now.Sub(o.since) > backlogTime
}
