package dispatch

import (
	"net/http"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// httpStatus returns the HTTP status for the reason, for a response that does not come from
// an upstream.
func httpStatus(r admission.Reason) int {
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
