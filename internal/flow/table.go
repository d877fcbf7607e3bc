package flow

import (
	"net/netip"
	"slices"

	"github.com/oatlatch/oatlatch/internal/lookup"
)

// upstream is an upstream that a host has heard of.
type upstream struct {
	name    string
	address netip.AddrPort
}

// slotTable is the state of a service's slots. It is immutable once published;
// changes publish a copy.
type slotTable struct {
	// upstreams only grow, so that records stay valid.
	upstreams []upstream
	// defaults are the upstreams of plain slots and of unrecorded old flows.
	defaults *[lookup.Slots]upstreamRef
	// targets take the new flows of active slots; they follow the configuration
	// and leave out upstreams that take no new flows.
	targets *[lookup.Slots]upstreamRef
	// slots is nil as long as every slot is plain in term zero.
	slots *[lookup.Slots]slot
	// idle is the time without packets after which a flow is over.
	idle seconds
	// steered is set when the service prefers balance: its slots stay tracked, so
	// that their owners can choose the upstream of every new flow.
	steered bool
	// ready is set once every member has told its state of the service.
	ready bool
}

// slot returns the state of slot i.
func (t *slotTable) slot(i int) slot {
	if t.slots == nil {
		return initialSlot
	}
	return t.slots[i]
}

// find returns the upstream with the address.
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

// clone returns a copy that the caller may change before it publishes it.
func (t *slotTable) clone() *slotTable {
	c := &slotTable{upstreams: slices.Clip(t.upstreams), idle: t.idle, steered: t.steered, ready: t.ready, targets: t.targets}
	c.defaults = new([lookup.Slots]upstreamRef)
	*c.defaults = *t.defaults
	if t.slots != nil {
		c.slots = new([lookup.Slots]slot)
		*c.slots = *t.slots
	}
	return c
}

// edit returns the state of slot i for changing.
func (t *slotTable) edit(i int) *slot {
	if t.slots == nil {
		t.slots = new([lookup.Slots]slot)
		for j := range t.slots {
			t.slots[j] = initialSlot
		}
	}
	return &t.slots[i]
}

// intern returns the upstream with the address, adding it when it is new.
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
