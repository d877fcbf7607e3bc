// Package admission decides which requests run, where and when, and types
// their outcomes.
package admission

// Outcome says whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// Answered requests ran, and their answer arrived whole.
	Answered Outcome = "answered"
	// NotRun requests did not run and never will.
	NotRun Outcome = "not-run"
	// Unknown requests may have run.
	Unknown Outcome = "unknown"
)
