package callers

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a request ran.
type Outcome string

const (
	// Answered means that the request ran and that the response is complete.
	Answered Outcome = "answered"
	// NotRun means that the request did not run and never will, so that it is safe to
	// retry.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run. Check whether it took effect before
	// retrying.
	Unknown Outcome = "unknown"
)

// Response is the response of the service, or of a host on its behalf.
type Response struct {
	// Status is the HTTP status code. It is zero if no response was received.
	Status  int
	Header  http.Header
	Body    []byte
	Outcome Outcome
	// Reason is the reason for the outcome. It comes from the host or is one of the
	// Reason constants.
	Reason string
	// RetryAfter is the delay before a retry that the host asked for. It is zero if
	// the host did not ask for one.
	RetryAfter time.Duration
	// Attempts is the number of times that the request was sent. It doesn't include
	// the requests that only acquired tickets.
	Attempts int
}

// OutcomeError is returned for a request whose outcome is not Answered. The fields
// Outcome, Reason and RetryAfter are those of the Response.
type OutcomeError struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	// Cause is the error of the last attempt, such as a transport error, or nil.
	Cause error
}

// Error describes the outcome and says whether the request may be retried.
func (e *OutcomeError) Error() string {
	advice := "check whether it took effect before retrying"
	if e.Outcome == NotRun {
		advice = "safe to retry"
	}
	if e.RetryAfter > 0 {
		advice += " after " + e.RetryAfter.String()
	}
	if e.Cause != nil {
		return fmt.Sprintf("callers: request %s (%s): %s: %v", e.Outcome, e.Reason, advice, e.Cause)
	}
	return fmt.Sprintf("callers: request %s (%s): %s", e.Outcome, e.Reason, advice)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Cause }

// outcomeError returns an *OutcomeError, or nil if the outcome is Answered.
func (r Response) outcomeError() error {
	if r.Outcome == Answered {
		return nil
	}
	return &OutcomeError{Outcome: r.Outcome, Reason: r.Reason, RetryAfter: r.RetryAfter}
}

// parseRetryAfter returns the delay of the Retry-After header, or zero if the header
// is missing or not a number of seconds.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
