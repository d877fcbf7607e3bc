package forward

import (
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/flow"
)

// Status is the forwarder's state, for operators.
type Status struct {
	Address netip.AddrPort
	flow.Status
	// Drops counts dropped packets by reason.
	Drops map[string]uint64
}

// Status returns the forwarder's state.
func (f *Forwarder) Status() Status {
	s := Status{Address: f.Addr(), Status: f.engine.Status(), Drops: make(map[string]uint64)}
	for _, r := range flow.Reasons() {
		if n := f.metrics.drops[r].Load(); n > 0 {
			s.Drops[r.String()] = n
		}
	}
	return s
}
