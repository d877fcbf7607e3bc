package upstream

import "time"

// Faults selects the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// The limits in bytes apply to each connection that is accepted while they are set.
	// Zero means no limit.

	// ResetAfterRequestBytes resets the connection after it has read that many bytes.
	ResetAfterRequestBytes int
	// ResetAfterResponseBytes resets the connection after it has written that many bytes.
	ResetAfterResponseBytes int
	// CloseAfterResponseBytes closes the connection normally, not by a reset, after it
	// has written that many bytes.
	CloseAfterResponseBytes int

	// ResponseDelay delays each response after the request has run.
	ResponseDelay time.Duration
	// Shed sheds every request.
	Shed bool
	// CloseDelimited sends responses with neither Content-Length nor chunked
	// encoding, so that only the close of the connection marks their end.
	CloseDelimited bool
	// MismatchedResponses sends each request the response to another one, under the
	// ID of the other one.
	MismatchedResponses bool
	// ReportedLoad replaces the load in load reports if OverrideLoad is set.
	ReportedLoad float64
	OverrideLoad bool
	// Unhealthy makes health checks fail.
	Unhealthy bool
}
