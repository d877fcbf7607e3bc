package upstream

import "time"

// Run is the record of a request that the stand-in ran.
type Run struct {
	// RequestID is the caller's X-Request-Id header, or the host's
	// Oatlatch-Request-Id if there is none.
	RequestID string
	Method    string
	Path      string
	Started   time.Time
	// Finished is zero while the request runs.
	Finished time.Time
	// Cancelled is set if the request was cancelled or its deadline passed during
	// the run.
	Cancelled bool
	// PastDeadline is set if the request arrived with a remaining time of 0 in its
	// deadline header.
	PastDeadline bool
}
