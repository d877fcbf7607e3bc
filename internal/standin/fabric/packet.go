package fabric

import "net/netip"

// Kind says which part of a TCP flow a packet is.
type Kind uint8

// Kinds of packets.
const (
	// First carries SYN.
	First Kind = iota + 1
	// Middle carries ACK and payload.
	Middle
	// Last carries FIN.
	Last
)

// Packet is one TCP packet of a caller.
type Packet struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Kind        Kind
	Payload     []byte
}
