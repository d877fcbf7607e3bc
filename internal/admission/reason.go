package admission

import "time"

// Reason tells why a request has its outcome, or why an attempt was retried.
type Reason string

// Reasons for outcomes.
const (
	ReasonOK Reason = "ok"

	// Requests that cannot be handled.
	ReasonNoConfiguration Reason = "no-configuration" // the host has no configuration yet
	ReasonUnknownService  Reason = "unknown-service"
	ReasonBadDeadline     Reason = "bad-deadline"
	ReasonBodyTooLarge    Reason = "body-too-large"
	ReasonBodyUnreadable  Reason = "body-unreadable"

	// Requests that are not idempotent and need a ticket, which lets them run at
	// most once.
	ReasonTicketRequired    Reason = "ticket-required"    // the request has no ticket
	ReasonTicketForged      Reason = "ticket-forged"      // not issued by a host
	ReasonTicketForeign     Reason = "ticket-foreign"     // issued for another service
	ReasonTicketExpired     Reason = "ticket-expired"     // first used after it expired
	ReasonTicketReused      Reason = "ticket-reused"      // used before for a different request
	ReasonTicketRefused     Reason = "ticket-refused"     // its request was refused before
	ReasonTicketForgotten   Reason = "ticket-forgotten"   // no longer recorded whether its request ran
	ReasonTicketVoid        Reason = "ticket-void"        // no host can tell whether its request ran
	ReasonIssuerUnreachable Reason = "issuer-unreachable" // the host with the ticket's record does not answer
	ReasonInProgress        Reason = "in-progress"        // its request is still running

	// Answers that cannot be passed on to the caller.
	ReasonAnswerNotKept   Reason = "answer-not-kept"  // the request ran, but its answer was discarded
	ReasonAnswerTooLarge  Reason = "answer-too-large" // too large to keep
	ReasonAnswerTruncated Reason = "answer-truncated"
	ReasonAnswerUnframed  Reason = "answer-unframed" // a truncated body would go unnoticed
	ReasonAnswerCrossed   Reason = "answer-crossed"  // it carries the ID of another request

	// Requests for which there was no slot, or no time.
	ReasonOverloaded      Reason = "overloaded" // the expected wait is too long for the deadline
	ReasonQueueFull       Reason = "queue-full"
	ReasonNoUpstream      Reason = "no-upstream"       // no upstream takes requests from this host
	ReasonDeadlineInQueue Reason = "deadline-in-queue" // too little time left before a slot was free
	ReasonDeadline        Reason = "deadline"          // passed after a slot was granted
	ReasonCancelled       Reason = "cancelled"         // by the caller

	// Requests that failed at the upstream.
	ReasonUpstreamUnreachable Reason = "upstream-unreachable" // before any byte was sent
	ReasonUpstreamShed        Reason = "upstream-shed"        // refused by the upstream before running
	ReasonUpstreamReset       Reason = "upstream-reset"       // after bytes may have been sent

	ReasonDraining Reason = "draining" // this host is draining
	ReasonInternal Reason = "internal" // a fault of this host
)

// Reasons lists every reason, for metrics and documentation.
func Reasons() []Reason {
	return []Reason{
		ReasonOK, ReasonNoConfiguration, ReasonUnknownService, ReasonBadDeadline,
		ReasonBodyTooLarge, ReasonBodyUnreadable, ReasonTicketRequired, ReasonTicketForged,
		ReasonTicketForeign, ReasonTicketExpired, ReasonTicketReused, ReasonTicketRefused,
		ReasonTicketForgotten, ReasonTicketVoid, ReasonIssuerUnreachable, ReasonInProgress,
		ReasonAnswerNotKept, ReasonAnswerTooLarge, ReasonAnswerTruncated, ReasonAnswerUnframed,
		ReasonAnswerCrossed,
		ReasonOverloaded, ReasonQueueFull, ReasonNoUpstream, ReasonDeadlineInQueue,
		ReasonDeadline, ReasonCancelled, ReasonUpstreamUnreachable, ReasonUpstreamShed,
		ReasonUpstreamReset, ReasonDraining, ReasonInternal,
	}
}

// Values of Reason.RetryAfter.
const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
)

// RetryAfter returns how long a caller should wait before it repeats the request, or
// zero if repeating it does not help.
func (r Reason) RetryAfter() time.Duration {
	switch r {
	case ReasonOverloaded, ReasonQueueFull, ReasonDeadlineInQueue, ReasonUpstreamShed,
		ReasonUpstreamUnreachable, ReasonInProgress, ReasonDraining:
		return shortRetryAfter
	case ReasonNoConfiguration, ReasonNoUpstream, ReasonIssuerUnreachable:
		return longRetryAfter
	default:
		return 0
	}
}
