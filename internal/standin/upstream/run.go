package upstream

import "time"

// Run is one request that the stand-in ran.
type Run struct {
	// RequestID is the caller's X-Request-Id, or else the host's request ID.
	RequestID string
	Method    string
	Path      string
	Started   time.Time
	// Finished is zero while the request runs.
	Finished time.Time
	// Cancelled says that the request was cancelled or passed its deadline.
	Cancelled bool
	// PastDeadline says that the request arrived without any time left.
	PastDeadline bool
}
