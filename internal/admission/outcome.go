// Package admission schedules requests to the slots of upstreams, and defines the
// outcomes of requests and the reasons for them.
package admission

// Outcome tells whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that the request ran and the upstream answered it.
	Answered Outcome = "answered"
	// NotRun means that the request did not run and never will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)
