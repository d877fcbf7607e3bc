// Package packet decodes and encodes the Geneve datagrams that entry hosts receive and
// send. Each datagram contains one IP packet.
package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/service"
)

// MaxDatagramSize is the maximum size in bytes of a datagram that a host accepts. It
// leaves room for a jumbo frame of 9,000 bytes and the encapsulation.
const MaxDatagramSize = 9216

// Parser parses datagrams without allocating. It is not safe for concurrent use.
type Parser struct {
	geneve layers.Geneve
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
	// header is the Geneve header of the current datagram with the option length set to zero.
	header [geneveHeaderSize]byte
	// truncated is set if gopacket reported the current datagram as too short.
	truncated bool
}

// Datagram holds what Parse has decoded from a datagram.
type Datagram struct {
	Packet flow.Packet
	// EtherType is the EtherType of the inner packet.
	EtherType layers.EthernetType
	// Inner is the IP packet as the caller sent it, a slice of the datagram.
	Inner []byte
}

// SetTruncated implements gopacket.DecodeFeedback.
func (p *Parser) SetTruncated() {
	p.truncated = true
}

var _ gopacket.DecodeFeedback = (*Parser)(nil)

// Parse parses a datagram into out. It returns the reason to drop the datagram, or zero
// if it is valid.
func (p *Parser) Parse(datagram []byte, out *Datagram) flow.Reason {
	p.truncated = false
	if len(datagram) > MaxDatagramSize {
		return flow.Oversized
	}
	relay, inner, reason := splitRelayOption(datagram, &p.header)
	if reason != 0 {
		return reason
	}
	out.Packet.Relay = relay
	if err := p.geneve.DecodeFromBytes(p.header[:], p); err != nil {
		return p.dropReason()
	}
	if p.geneve.Version != 0 || p.geneve.OAMPacket || p.geneve.CriticalOption != (relay.Kind != flow.NotRelayed) {
		return flow.Malformed
	}
	// Of the packets that a host receives, only relayed ones contain a service ID.
	if relay.Kind == flow.NotRelayed && p.geneve.VNI != 0 {
		return flow.Malformed
	}
	out.Packet.Relay.Service = service.ID(p.geneve.VNI)
	out.EtherType = p.geneve.Protocol
	out.Inner = inner
	return p.parseInner(out)
}

func (p *Parser) parseInner(out *Datagram) flow.Reason {
	switch out.EtherType {
	case layers.EthernetTypeIPv4:
		return p.parseIPv4(out)
	case layers.EthernetTypeIPv6:
		return p.parseIPv6(out)
	}
	return flow.UnsupportedProtocol
}

func (p *Parser) parseIPv4(out *Datagram) flow.Reason {
	if err := p.ip4.DecodeFromBytes(out.Inner, p); err != nil || p.truncated {
		return p.dropReason()
	}
	if p.ip4.Version != 4 {
		return flow.Malformed
	}
	if p.ip4.FragOffset != 0 || p.ip4.Flags&layers.IPv4MoreFragments != 0 {
		return flow.Fragment
	}
	source, _ := netip.AddrFromSlice(p.ip4.SrcIP)
	destination, _ := netip.AddrFromSlice(p.ip4.DstIP)
	return p.parseTransport(out, p.ip4.Protocol, source, destination, p.ip4.Payload)
}

func (p *Parser) parseIPv6(out *Datagram) flow.Reason {
	if err := p.ip6.DecodeFromBytes(out.Inner, p); err != nil || p.truncated {
		return p.dropReason()
	}
	if p.ip6.Version != 6 {
		return flow.Malformed
	}
	source, _ := netip.AddrFromSlice(p.ip6.SrcIP)
	destination, _ := netip.AddrFromSlice(p.ip6.DstIP)
	return p.parseTransport(out, p.ip6.NextHeader, source, destination, p.ip6.Payload)
}

// parseTransport parses the TCP or UDP header and stores the flow key and the TCP flags.
func (p *Parser) parseTransport(out *Datagram, protocol layers.IPProtocol, source, destination netip.Addr, payload []byte) flow.Reason {
	key := &out.Packet.Key
	out.Packet.First, out.Packet.Last = false, false
	switch protocol {
	case layers.IPProtocolTCP:
		if err := p.tcp.DecodeFromBytes(payload, p); err != nil || p.truncated {
			return p.dropReason()
		}
		key.Protocol = service.TCP
		key.Source = netip.AddrPortFrom(source, uint16(p.tcp.SrcPort))
		key.Destination = netip.AddrPortFrom(destination, uint16(p.tcp.DstPort))
		out.Packet.First = p.tcp.SYN && !p.tcp.ACK
		out.Packet.Last = p.tcp.FIN || p.tcp.RST
	case layers.IPProtocolUDP:
		if err := p.udp.DecodeFromBytes(payload, p); err != nil || p.truncated {
			return p.dropReason()
		}
		key.Protocol = service.UDP
		key.Source = netip.AddrPortFrom(source, uint16(p.udp.SrcPort))
		key.Destination = netip.AddrPortFrom(destination, uint16(p.udp.DstPort))
	case layers.IPProtocolIPv6Fragment:
		return flow.Fragment
	default:
		return flow.UnsupportedProtocol
	}
	return 0
}

// dropReason returns the reason to drop a datagram that gopacket could not decode.
func (p *Parser) dropReason() flow.Reason {
	if p.truncated {
		return flow.Truncated
	}
	return flow.Malformed
}
