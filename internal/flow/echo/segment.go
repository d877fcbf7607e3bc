package echo

import (
	"net/netip"
	"time"
)

// Token identifies a flow's upstream. Each end of a flow echoes the last token that
// it received, so every packet of a caller after the SYN carries the token.
type Token uint32

// Segment holds the header fields of one packet from a caller.
type Segment struct {
	Caller netip.AddrPort
	// VirtualAddress is the destination address, which is that of a route.
	VirtualAddress netip.AddrPort
	Token          Token
	// Seq is the sequence number of the first byte of data. Ack is the sequence number
	// of the next byte that the caller expects. In a SYN, it is the number of earlier
	// copies of that SYN.
	Seq, Ack uint32
	// Length is the length of the data in bytes.
	Length             int
	SYN, ACK, FIN, RST bool
	// Delayed is how long the packet waited in the host's socket because the process stood
	// still; zero if it did not, or if that is unknown.
	Delayed time.Duration
}
