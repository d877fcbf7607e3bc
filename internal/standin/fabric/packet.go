package fabric

import "net/netip"

// Kind is the position of a packet in its TCP flow. It determines the TCP flags.
type Kind uint8

const (
	// First is the packet that opens the flow, with the SYN flag.
	First Kind = iota + 1
	// Middle is a packet of the open flow, with the ACK flag.
	Middle
	// Last is the packet that closes the flow, with the FIN and ACK flags.
	Last
)

// Packet is a TCP packet of a caller over IPv4.
type Packet struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Kind        Kind
	Payload     []byte
}
