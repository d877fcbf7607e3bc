package fabric

import "net/netip"

// PacketKind is the position of a packet in its TCP flow. It determines the TCP flags.
type PacketKind uint8

const (
	// SYN is the packet that opens the flow, with the SYN flag.
	SYN PacketKind = iota + 1
	// Data is a packet of the open flow, with the ACK flag.
	Data
	// FIN is the packet that closes the flow, with the FIN and ACK flags.
	FIN
)

// Packet is a TCP packet of a caller over IPv4.
type Packet struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Kind        PacketKind
	Payload     []byte
}
