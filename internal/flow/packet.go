package flow

import (
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Packet is the input of Decide.
type Packet struct {
	Key Key
	// First is set if the packet opens a TCP connection (SYN without ACK).
	First bool
	// Last is set if the packet ends a TCP connection (FIN or RST).
	Last bool
	// Relay is set if another entry host relayed the packet.
	Relay Relay
}

// RelayKind is what a relayed packet asks its receiver to do.
type RelayKind uint8

// The kinds of relayed packets.
const (
	// NotRelayed is the kind of packets from the fabric and to upstreams.
	NotRelayed RelayKind = iota
	// RelayDecide asks the receiver, the slot's owner as far as the sender knows it,
	// to decide.
	RelayDecide
	// RelayRecord asks the slot's backup to record the flow's upstream and then
	// forward the packet there.
	RelayRecord
)

// MaxHops is the maximum number of times that a packet is relayed.
const MaxHops = 4

// Relay is the header of a packet relayed between entry hosts.
type Relay struct {
	Kind RelayKind
	// Hops is the number of times that the packet was relayed.
	Hops    uint8
	Service service.ID
	// Upstream is the packet address of the assigned upstream in a RelayRecord packet.
	Upstream netip.AddrPort
}
