package admission

import "time"

// Reason says why a request has its outcome, or why an attempt was retried.
type Reason string

// Reasons for outcomes.
const (
	ReasonOK                Reason = "ok"
	ReasonNoConfiguration   Reason = "no-configuration"
	ReasonUnknownService    Reason = "unknown-service"
	ReasonBadDeadline       Reason = "bad-deadline"
	ReasonBodyTooLarge      Reason = "body-too-large"
	ReasonBodyUnreadable    Reason = "body-unreadable"
	ReasonTicketRequired    Reason = "ticket-required"
	ReasonTicketForged      Reason = "ticket-forged"
	ReasonTicketForeign     Reason = "ticket-foreign"
	ReasonTicketExpired     Reason = "ticket-expired"
	ReasonTicketReused      Reason = "ticket-reused"
	ReasonTicketRefused     Reason = "ticket-refused"
	ReasonTicketForgotten   Reason = "ticket-forgotten"
	ReasonTicketVoid        Reason = "ticket-void"
	ReasonIssuerUnreachable Reason = "issuer-unreachable"
	ReasonInProgress        Reason = "in-progress"
	ReasonAnswerNotKept     Reason = "answer-not-kept"
	ReasonAnswerTooLarge    Reason = "answer-too-large"
	ReasonAnswerTruncated   Reason = "answer-truncated"
	ReasonAnswerUnframed    Reason = "answer-unframed"
	ReasonAnswerCrossed     Reason = "answer-crossed"
	ReasonOverloaded        Reason = "overloaded"
	ReasonQueueFull         Reason = "queue-full"
	ReasonNoUpstream        Reason = "no-upstream"
	ReasonDeadlineInQueue   Reason = "deadline-in-queue"
	ReasonDeadline          Reason = "deadline"
	ReasonCancelled         Reason = "cancelled"
	ReasonUpstreamDown      Reason = "upstream-unreachable"
	ReasonUpstreamShed      Reason = "upstream-shed"
	ReasonUpstreamReset     Reason = "upstream-reset"
	ReasonDraining          Reason = "draining"
	ReasonInternal          Reason = "internal"
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
		ReasonDeadline, ReasonCancelled, ReasonUpstreamDown, ReasonUpstreamShed,
		ReasonUpstreamReset, ReasonDraining, ReasonInternal,
	}
}

// Times after which a caller may come back.
const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

// RetryAfter returns when a caller may come back; zero when coming back does not help.
func (r Reason) RetryAfter() time.Duration {
	switch r {
	case ReasonOverloaded, ReasonQueueFull, ReasonDeadlineInQueue, ReasonUpstreamShed,
		ReasonUpstreamDown, ReasonInProgress, ReasonDraining:
		return retrySoon
	case ReasonNoConfiguration, ReasonNoUpstream, ReasonIssuerUnreachable:
		return retryLater
	default:
		return 0
	}
}
