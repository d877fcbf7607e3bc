package peer

import "time"

// requestHeader precedes the arguments of a call.
type requestHeader struct {
	Method string
	Seq    uint64
	// Timeout is the time remaining until the deadline of the call.
	Timeout time.Duration
	// Cancel means that the client cancels the earlier call Seq; no body follows.
	Cancel bool
}

// responseHeader precedes the reply of a call.
type responseHeader struct {
	Seq uint64
	// Error is set if the call failed; an emptyBody follows then.
	Error string
	// Kind is set if the server refused the call or could not encode its reply. It is
	// empty if the method itself failed.
	Kind Kind
}

// emptyBody is sent instead of the reply of a failed call.
type emptyBody struct{}
