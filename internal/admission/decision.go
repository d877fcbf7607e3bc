package admission

import "time"

// Request is a request for a slot.
type Request struct {
	// ID is unique among the requests in the scheduler's queue.
	ID uint64
	// Deadline is the time after which an answer is of no use.
	Deadline time.Time
	// Exclude lists the names of upstreams that have already refused the request.
	Exclude []string
}

// Kind is the kind of a Decision.
type Kind uint8

// Kinds of decision.
const (
	// Granted means that the request holds a slot of Upstream until Release or
	// ReleaseRefused.
	Granted Kind = iota + 1
	// Queued means that the request waits for a slot, until QueueDeadline at most.
	Queued
	// Refused means that the request gets no slot, for the given Reason.
	Refused
)

// Decision is the scheduler's decision on a request.
type Decision struct {
	// ID identifies the request.
	ID   uint64
	Kind Kind
	// Upstream names the upstream of a granted request.
	Upstream string
	// Reason says why a request was refused.
	Reason Reason
	// QueueDeadline is when a queued request can no longer meet its deadline. The
	// caller must cancel it then.
	QueueDeadline time.Time
}
