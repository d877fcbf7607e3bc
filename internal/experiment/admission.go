package experiment

import (
	"net/netip"
	"time"
)

// admissionInterval is the time between two looks of a host for waiting flows.
const admissionInterval = 20 * time.Millisecond

// waitingSYN identifies a SYN that waits for a slot.
type waitingSYN struct {
	caller netip.AddrPort
	seq    uint32
}

// admitWaiting executes the host's decisions on waiting flows, and looks for further ones
// as long as flows wait.
func (sim *simulation) admitWaiting(h *hostNode) {
	for {
		syn, d, ok := h.engine.NextAdmitted(sim.now)
		if !ok {
			break
		}
		key := waitingSYN{syn.Caller, syn.Seq}
		if execute := h.waiting[key]; execute != nil && !h.down {
			delete(h.waiting, key)
			execute(&d)
		}
	}
	if h.engine.WaitingFlows() == 0 || h.admitting {
		return
	}
	h.admitting = true
	engine := h.engine
	sim.after(admissionInterval, func() {
		h.admitting = false
		if h.engine == engine {
			sim.admitWaiting(h)
		}
	})
}
