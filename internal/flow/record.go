package flow

import "github.com/oatlatch/oatlatch/internal/service"

// upstreamRef is the index of an upstream in its service's append-only list.
type upstreamRef uint16

// noUpstream stands for the absence of an upstream.
const noUpstream upstreamRef = 1<<16 - 1

// seconds is a point in time in whole seconds since the Unix epoch.
type seconds uint32

// record is what a host keeps of one flow. A record names the flow's true
// upstream whichever host holds it.
type record struct {
	service service.ID
	// seen is when this host last saw a packet of the flow.
	seen seconds
	// ownerSeen is when the slot's owner last saw or was told of the flow.
	ownerSeen seconds
	upstream  upstreamRef
	// used is set on every record in a shard.
	used bool
	// tcp is set on TCP flows.
	tcp bool
	// first is set when this host saw the packet that opened the flow.
	first bool
	// closing is set after a packet that ends the flow.
	closing bool
	// confirmed is set once a second packet was seen or another host knows the flow.
	confirmed bool
	// backup is set on a record that this host keeps for the slot's owner.
	backup bool
	// lived counts the sweeps since the flow was recorded, up to spreadSweeps.
	lived uint8
}
