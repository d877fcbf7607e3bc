package flow

import (
	"net/netip"
	"slices"

	"github.com/oatlatch/oatlatch/internal/slottable"
)

// upstream is an upstream known to this host, configured or not.
type upstream struct {
	name    string
	address netip.AddrPort
}

// slotTable is the state of a service's slots. It is immutable once published;
// editTable publishes modified copies.
type slotTable struct {
	// upstreams is append-only, so that an upstreamRef in a record stays valid.
	upstreams []upstream
	// defaults are the upstreams of new flows in untracked slots and of flows that
	// were open before their slot was tracked.
	defaults *[slottable.Slots]upstreamRef
	// targets are the upstreams of new flows in active slots: the configured targets
	// without the upstreams that take no new flows.
	targets *[slottable.Slots]upstreamRef
	// slots is nil while all slots are in their initial state.
	slots *[slottable.Slots]slot
	// idleTimeout is the time without packets after which a flow has ended.
	idleTimeout seconds
	// perFlowBalancing is set if the service prefers balance. Its slots stay tracked,
	// so that their owners can select the least loaded upstream for every new flow.
	perFlowBalancing bool
	// ready is set once every member has sent its state of the service.
	ready bool
}

// slot returns the state of slot i.
func (t *slotTable) slot(i int) slot {
	if t.slots == nil {
		return initialSlot
	}
	return t.slots[i]
}

// find returns the upstream at the address.
func (t *slotTable) find(address netip.AddrPort) upstreamRef {
	for i := range t.upstreams {
		if t.upstreams[i].address == address {
			return upstreamRef(i)
		}
	}
	return noUpstream
}

// address returns the packet address of the upstream.
func (t *slotTable) address(ref upstreamRef) netip.AddrPort {
	if int(ref) >= len(t.upstreams) {
		return netip.AddrPort{}
	}
	return t.upstreams[ref].address
}

// clone returns a copy to modify before it is published. It shares targets, which
// are only replaced as a whole.
func (t *slotTable) clone() *slotTable {
	c := &slotTable{upstreams: slices.Clip(t.upstreams), idleTimeout: t.idleTimeout, perFlowBalancing: t.perFlowBalancing, ready: t.ready, targets: t.targets}
	c.defaults = new([slottable.Slots]upstreamRef)
	*c.defaults = *t.defaults
	if t.slots != nil {
		c.slots = new([slottable.Slots]slot)
		*c.slots = *t.slots
	}
	return c
}

// editSlot returns slot i for modification.
func (t *slotTable) editSlot(i int) *slot {
	if t.slots == nil {
		t.slots = new([slottable.Slots]slot)
		for j := range t.slots {
			t.slots[j] = initialSlot
		}
	}
	return &t.slots[i]
}

// intern returns the upstream at the address and adds it if it is new.
func (t *slotTable) intern(name string, address netip.AddrPort) upstreamRef {
	if ref := t.find(address); ref != noUpstream {
		if name != "" && t.upstreams[ref].name != name {
			t.upstreams = slices.Clone(t.upstreams)
			t.upstreams[ref].name = name
		}
		return ref
	}
	if len(t.upstreams) >= int(noUpstream) {
		return noUpstream
	}
	t.upstreams = append(slices.Clip(t.upstreams), upstream{name, address})
	return upstreamRef(len(t.upstreams) - 1)
}
