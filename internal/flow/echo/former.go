package echo

import "time"

// allows reports whether the current configuration or an earlier one has the upstream's
// service for the route. Open flows thus stay valid when a route moves to another service,
// and no token gives access to a service that the route never had.
func (e *Engine) allows(r *route, u *upstream) bool {
	return r.HasService(u.Service) || e.former.Has(r.Address, u.Service)
}

// dropOrHold returns the verdict on a packet of a flow that no known configuration
// explains: it is held while earlier configurations may be unknown, and dropped otherwise.
func (e *Engine) dropOrHold(now time.Time) Verdict {
	if now.Before(e.historyCompleteAt) {
		return Hold
	}
	return Drop
}
