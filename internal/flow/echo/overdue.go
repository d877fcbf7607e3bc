package echo

import "time"

// overdueCheckInterval is the time between two checks for overdue requests. Evidence is not
// evaluated more often.
const overdueCheckInterval = ejectionInterval

// checkOverdue counts the requests that have become late or overdue since the last check. It
// only looks at those and, on each route, at the one that is next.
func (e *Engine) checkOverdue(now time.Time) {
	e.overdueCheckedAt = now
	if e.options.Without.Has(OverdueRequests) {
		return
	}
	for _, r := range e.routes {
		e.checkLate(now, r)
		for rec := r.outstanding.first; rec != nil && r.isOverdue(now, rec); {
			next := rec.links.next
			e.countOverdue(now, r, rec)
			rec = next
		}
	}
}

// isOverdue reports whether the flow's request has been outstanding for too long.
func (r *route) isOverdue(now time.Time, rec *flowRecord) bool {
	limit := min(r.typical.overdueAfter(), rec.responseTimeout())
	return limit > 0 && now.Sub(rec.requestedAt) > limit
}

// countOverdue counts the outstanding request of the flow as a failed answer once it is
// overdue, unless the upstream is suspected of not answering at all or a former process may hold
// the flow.
func (e *Engine) countOverdue(now time.Time, r *route, rec *flowRecord) {
	if r == nil || rec.overdue || e.options.Without.Has(OverdueRequests) || rec.upstream.suspected() || now.Before(e.ignoreRetransmissionsUntil) {
		return
	}
	if r.isOverdue(now, rec) {
		rec.unlist()
		if e.holderOf(rec) != CurrentProcess {
			return
		}
		rec.overdue = true
		u := rec.upstream
		if u.answeredAt.Before(rec.requestedAt) {
			// Its earlier answers say nothing about an upstream that has become mute.
			u.counts.answers = u.counts.failed
		}
		u.counts.owe(now)
		e.evaluatePools(now)
		e.noteEvidence()
	}
}

// settleOverdue ends the wait for the answer to an overdue request.
func (r *flowRecord) settleOverdue(now time.Time) {
	if r.overdue {
		r.overdue = false
		r.upstream.counts.settle(now)
	}
}
