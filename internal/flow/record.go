package flow

import "github.com/oatlatch/oatlatch/internal/service"

// upstreamRef is an index into a service's append-only list of upstreams.
type upstreamRef uint16

// noUpstream means no upstream.
const noUpstream upstreamRef = 1<<16 - 1

// seconds is a number of whole seconds: a time since the Unix epoch or a duration.
type seconds uint32

// since returns the time from then to now, or 0 if then is later: packet workers read the
// clock on their own, so that a record may be newer than the caller's now.
func (now seconds) since(then seconds) seconds {
	if then > now {
		return 0
	}
	return now - then
}

// record is what a host knows about one flow. Any record of a flow names its
// actual upstream, whichever host holds it.
type record struct {
	service service.ID
	// lastSeen is when this host last saw a packet of the flow.
	lastSeen seconds
	// ownerSeen is when the slot's owner last saw a packet of the flow or received its
	// record.
	ownerSeen seconds
	upstream  upstreamRef
	// occupied is set in all records of a shard; it tells them from empty buckets.
	occupied bool
	// tcp is set on TCP flows.
	tcp bool
	// first is set if this host saw the packet that opened the flow.
	first bool
	// closing is set by a packet that ends the flow.
	closing bool
	// confirmed is set once the flow had a second packet or another host knows it.
	confirmed bool
	// backup is set if this host keeps the record as the slot's backup.
	backup bool
	// thirdCopyState counts the sweeps that the record has survived, up to
	// thirdCopySweeps. Once a third host was sent a copy, it is thirdCopySent with that
	// host's hostRef in the other bits.
	thirdCopyState uint8
}
