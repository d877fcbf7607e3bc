package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/oatlatch/oatlatch/internal/flow"
)

// Packets between entry hosts contain the relay option. Its class is in the range for
// experimental use (RFC 8926, section 3.5) and its type has the critical bit set. Its
// data is, in network byte order:
//
//	byte 0        flow.RelayKind
//	byte 1        number of hops
//	bytes 2-3     port of the upstream, or zero
//	bytes 4-19    IPv6 or IPv4-mapped address of the upstream, or zero
const (
	relayOptionClass uint16 = 0xFF4F
	relayOptionType  uint8  = 0x81

	geneveHeaderSize = 8
	optionHeaderSize = 4
	relayDataSize    = 20
	relayOptionSize  = optionHeaderSize + relayDataSize

	// optionLengthMask selects the length of all options in the first byte of the Geneve
	// header. The length is in words of optionWordSize bytes.
	optionLengthMask = 0x3F
	optionWordSize   = 4
)

// splitRelayOption copies the datagram's Geneve header to header with the option length
// set to zero, and returns the relay option, if any, and the inner packet. The options
// are not decoded by gopacket, because it allocates memory for each option and stores
// offsets in eight bits, which the longest option lists overflow.
func splitRelayOption(datagram []byte, header *[geneveHeaderSize]byte) (flow.Relay, []byte, flow.Reason) {
	if len(datagram) < geneveHeaderSize {
		return flow.Relay{}, nil, flow.Truncated
	}
	copy(header[:], datagram)
	size := int(datagram[0]&optionLengthMask) * optionWordSize
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
	relay, reason := parseRelayOption(inner[:size])
	return relay, inner[size:], reason
}

func parseRelayOption(option []byte) (flow.Relay, flow.Reason) {
	class := binary.BigEndian.Uint16(option)
	if class != relayOptionClass || option[2] != relayOptionType || option[3] != relayDataSize/optionWordSize {
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

// writeRelayData writes the data of the relay option.
func writeRelayData(data []byte, relay *flow.Relay) {
	data[0] = byte(relay.Kind)
	data[1] = relay.Hops
	binary.BigEndian.PutUint16(data[2:4], relay.Upstream.Port())
	address := [16]byte{}
	if relay.Upstream.IsValid() {
		address = relay.Upstream.Addr().As16()
	}
	copy(data[4:20], address[:])
}
