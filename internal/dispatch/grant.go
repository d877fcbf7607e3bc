package dispatch

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// grant is a slot held by one request: the right to run it at an upstream.
type grant struct {
	upstream string
	// lender is the host that lent the slot, or empty for a slot of this host. loanID
	// identifies the loan at the lender.
	lender host.ID
	loanID uint64
}

// release frees the slot, or returns it to its lender. serviceTime is zero if it is not
// known; refused reports that the upstream refused the request before running it or could
// not be reached.
func (d *Dispatcher) release(r *route, g grant, serviceTime time.Duration, refused bool) {
	if g.lender == "" {
		r.allocator.release(g.upstream, serviceTime, refused)
		return
	}
	r.allocator.recordServiceTime(serviceTime)
	d.returnLoan(g.lender, g.loanID, refused)
}
