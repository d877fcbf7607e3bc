package peer

import "time"

// requestHeader precedes the arguments of a call.
type requestHeader struct {
	Method string
	Seq    uint64
	// Timeout is what remains of the caller's deadline.
	Timeout time.Duration
	// Cancel means that the caller gave up on Seq; no body follows.
	Cancel bool
}

// responseHeader precedes the reply of a call.
type responseHeader struct {
	Seq uint64
	// Error is set when the call failed; an empty body follows then.
	Error string
	// Kind is set when the server refused the call before its method ran.
	Kind Kind
}

// emptyBody stands for the reply of a failed call.
type emptyBody struct{}
