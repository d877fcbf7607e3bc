package dispatch

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// grant is the right to run one request at an upstream.
type grant struct {
	upstream string
	// lender is the host whose slot it is, or empty for a slot of this host.
	lender host.ID
	loan   uint64
}

// release gives the slot back. busy is zero when the service time is not known;
// refused says that the upstream refused the request before running it.
func (d *Dispatcher) release(r *route, g grant, busy time.Duration, refused bool) {
	if g.lender == "" {
		r.lane.release(g.upstream, busy, refused)
		return
	}
	r.lane.learn(busy)
	d.returnLoan(g.lender, g.loan, refused)
}
