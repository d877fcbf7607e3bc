package forward

import (
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/flow"
)

// Status is the forwarder's state as shown to operators.
type Status struct {
	// Address is the bound packet address.
	Address netip.AddrPort
	flow.Status
	// Drops holds the number of dropped packets by reason.
	Drops map[string]uint64
}

// Status returns the current state.
func (f *Forwarder) Status() Status {
	s := Status{Address: f.Addr(), Status: f.engine.Status(), Drops: make(map[string]uint64)}
	for _, r := range flow.Reasons() {
		if n := f.metrics.dropCounts[r].Load(); n > 0 {
			s.Drops[r.String()] = n
		}
	}
	return s
}
