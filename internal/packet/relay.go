package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/flow"
)

// The relay option of packets between entry hosts. Its class is in the range
// for experimental use (RFC 8926, section 3.5) and its type has the critical bit set.
const (
	relayClass uint16 = 0xFF4F
	relayType  uint8  = 0x81

	geneveHeaderSize = 8
	optionHeaderSize = 4
	relayDataSize    = 20
	relayOptionSize  = optionHeaderSize + relayDataSize

	optionLengthMask = 0x3F
	wordSize         = 4
)

// splitRelay copies the datagram's header without options to header, reads the
// relay option and returns the inner packet. gopacket decodes the header; it is
// not given options because it allocates for each and keeps offsets in eight
// bits, which the longest option lists overflow.
func splitRelay(datagram []byte, header *[geneveHeaderSize]byte) (flow.Relay, []byte, flow.Reason) {
	if len(datagram) < geneveHeaderSize {
		return flow.Relay{}, nil, flow.Truncated
	}
	copy(header[:], datagram)
	size := int(datagram[0]&optionLengthMask) * wordSize
	header[0] &^= optionLengthMask
	inner := datagram[geneveHeaderSize:]
	if size == 0 {
		return flow.Relay{}, inner, 0
	}
	if size != relayOptionSize {
		return flow.Relay{}, nil, flow.Malformed
	}
	if len(inner) < size {
		return flow.Relay{}, nil, flow.Truncated
	}
	relay, reason := parseRelay(inner[:size])
	return relay, inner[size:], reason
}

func parseRelay(option []byte) (flow.Relay, flow.Reason) {
	class := binary.BigEndian.Uint16(option)
	if class != relayClass || option[2] != relayType || option[3] != relayDataSize/wordSize {
		return flow.Relay{}, flow.Malformed
	}
	data := option[optionHeaderSize:]
	relay := flow.Relay{Kind: flow.RelayKind(data[0]), Hops: data[1]}
	switch relay.Kind {
	case flow.RelayDecide:
	case flow.RelayRecord:
		address := netip.AddrFrom16([16]byte(data[4:20])).Unmap()
		relay.Upstream = netip.AddrPortFrom(address, binary.BigEndian.Uint16(data[2:4]))
	default:
		return flow.Relay{}, flow.Malformed
	}
	return relay, 0
}

// putRelay writes the option's data.
func putRelay(data []byte, relay *flow.Relay) {
	data[0] = byte(relay.Kind)
	data[1] = relay.Hops
	binary.BigEndian.PutUint16(data[2:4], relay.Upstream.Port())
	address := [16]byte{}
	if relay.Upstream.IsValid() {
		address = relay.Upstream.Addr().As16()
	}
	copy(data[4:20], address[:])
}
