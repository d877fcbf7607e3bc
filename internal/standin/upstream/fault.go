package upstream

import "time"

// Faults are misbehaviours that a test switches on. The zero value is none.
type Faults struct {
	// ResetRequestAt resets a new connection once that many bytes were read from it.
	ResetRequestAt int
	// ResetAnswerAt resets a new connection once that many bytes were written to it.
	ResetAnswerAt int
	// CloseAnswerAt closes a new connection normally after that many bytes were written to it.
	CloseAnswerAt int
	// Late delays each answer after the work is done.
	Late time.Duration
	// Shed refuses every request before it runs.
	Shed bool
	// Unframed leaves the end of answers unmarked but for the end of the connection.
	Unframed bool
	// Crossed answers each request with the answer to another one.
	Crossed bool
	// FalseLoad replaces the load report when it is not negative and HasFalseLoad is set.
	FalseLoad    float64
	HasFalseLoad bool
	// Unhealthy makes the health check fail.
	Unhealthy bool
}
