package dispatch

import (
	"net/http"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// statusOf returns the HTTP status that a caller gets for the reason when there
// is no upstream answer to pass on.
func statusOf(r admission.Reason) int {
	switch r {
	case admission.ReasonUnknownService:
		return http.StatusNotFound
	case admission.ReasonBadDeadline, admission.ReasonBodyUnreadable:
		return http.StatusBadRequest
	case admission.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case admission.ReasonTicketRequired:
		return http.StatusPreconditionRequired
	case admission.ReasonTicketForged, admission.ReasonTicketForeign:
		return http.StatusForbidden
	case admission.ReasonTicketExpired, admission.ReasonTicketRefused, admission.ReasonTicketForgotten, admission.ReasonTicketVoid, admission.ReasonAnswerNotKept:
		return http.StatusGone
	case admission.ReasonTicketReused, admission.ReasonInProgress:
		return http.StatusConflict
	case admission.ReasonAnswerTooLarge, admission.ReasonAnswerTruncated, admission.ReasonAnswerUnframed, admission.ReasonAnswerCrossed, admission.ReasonUpstreamReset, admission.ReasonUpstreamUnreachable:
		return http.StatusBadGateway
	case admission.ReasonDeadline, admission.ReasonDeadlineInQueue:
		return http.StatusGatewayTimeout
	case admission.ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
