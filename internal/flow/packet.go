package flow

import (
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Packet is what a decision needs to know of one packet.
type Packet struct {
	Key Key
	// First is set on a TCP segment that opens a connection (SYN without ACK).
	First bool
	// Last is set on a TCP segment that ends one (FIN or RST).
	Last bool
	// Relay is set when another entry host passed the packet on.
	Relay Relay
}

// RelayKind says what a relayed packet asks of its receiver.
type RelayKind uint8

// Kinds of relayed packets.
const (
	// NotRelayed packets come from the fabric or go to an upstream.
	NotRelayed RelayKind = iota
	// RelayDecide asks the owner of the packet's slot to decide.
	RelayDecide
	// RelayRecord asks the backup to record the flow's upstream, then to forward the packet there.
	RelayRecord
)

// MaxHops is how often a packet may pass between entry hosts.
const MaxHops = 4

// Relay describes a packet passed between entry hosts.
type Relay struct {
	Kind RelayKind
	// Hops counts the hosts that passed the packet on.
	Hops    uint8
	Service service.ID
	// Upstream is the packet address of the decided upstream in a RelayRecord packet.
	Upstream netip.AddrPort
}
