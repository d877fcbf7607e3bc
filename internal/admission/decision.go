package admission

import "time"

// Request asks the scheduler for a slot.
type Request struct {
	// ID is unique among the requests that the scheduler holds.
	ID uint64
	// Deadline is when the answer stops being of use.
	Deadline time.Time
	// Exclude names upstreams that have already refused the request.
	Exclude []string
}

// Kind is what the scheduler decided.
type Kind uint8

// Kinds of decision.
const (
	// Granted requests hold a slot at Upstream until it is released.
	Granted Kind = iota + 1
	// Queued requests wait until at most GiveUp.
	Queued
	// Refused requests have their final outcome.
	Refused
)

// Decision is the scheduler's answer for one request.
type Decision struct {
	ID       uint64
	Kind     Kind
	Upstream string
	Reason   Reason
	// GiveUp is when a queued request can no longer meet its deadline.
	GiveUp time.Time
}
