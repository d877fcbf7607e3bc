package callers

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// Answered requests ran; the answer is whole.
	Answered Outcome = "answered"
	// NotRun requests did not run and never will: they may be sent anew.
	NotRun Outcome = "not-run"
	// Unknown requests may have run: check before sending them anew.
	Unknown Outcome = "unknown"
)

// Answer is what the service or a host answered.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome Outcome
	// Reason is the host's reason for the outcome.
	Reason string
	// RetryAfter is when to come back; zero when the host did not say.
	RetryAfter time.Duration
	// Sends counts the times that the request was sent.
	Sends int
}

// OutcomeError is the error of a request that was not answered.
type OutcomeError struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	// Cause is the last transport error, if there was one.
	Cause error
}

// Error names the outcome and what to do.
func (e *OutcomeError) Error() string {
	advice := "check whether it took effect before sending it anew"
	if e.Outcome == NotRun {
		advice = "it may be sent anew"
	}
	if e.RetryAfter > 0 {
		advice += " after " + e.RetryAfter.String()
	}
	if e.Cause != nil {
		return fmt.Sprintf("callers: request %s (%s): %s: %v", e.Outcome, e.Reason, advice, e.Cause)
	}
	return fmt.Sprintf("callers: request %s (%s): %s", e.Outcome, e.Reason, advice)
}

// Unwrap returns the transport error.
func (e *OutcomeError) Unwrap() error { return e.Cause }

func (a Answer) err() error {
	if a.Outcome == Answered {
		return nil
	}
	return &OutcomeError{Outcome: a.Outcome, Reason: a.Reason, RetryAfter: a.RetryAfter}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
