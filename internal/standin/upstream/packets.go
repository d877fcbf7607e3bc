package upstream

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/oatlatch/oatlatch/internal/service"
)

// maxPacketBytes is the size of the receive buffer; no UDP payload is larger.
const maxPacketBytes = 65_535

// Flow identifies a flow by the protocol and addresses of its inner packets.
type Flow struct {
	Protocol    service.Protocol
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// flowKey identifies a flow within one VNI. Packets of a flow that arrive with
// different VNIs are counted separately.
type flowKey struct {
	flow Flow
	vni  uint32
}

// FlowStats counts the packets of a flow that arrived with one VNI.
type FlowStats struct {
	Flow    Flow
	VNI     uint32
	Packets uint64
	// SYNs counts the packets that open a TCP flow: those with SYN, without ACK.
	SYNs uint64
	// Ended is set once a packet has ended the TCP flow with FIN or RST.
	Ended bool
	// First and Last are the times of the first and last packet.
	First time.Time
	Last  time.Time
}

// Flows returns the flows seen so far, in no particular order.
func (u *Upstream) Flows() []FlowStats {
	u.mu.Lock()
	defer u.mu.Unlock()
	flows := make([]FlowStats, 0, len(u.flows))
	for _, stats := range u.flows {
		flows = append(flows, *stats)
	}
	return flows
}

// Packets returns the number of well-formed packets received.
func (u *Upstream) Packets() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received
}

// Misdelivered returns the number of packets received with the VNI of another service.
func (u *Upstream) Misdelivered() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.misdelivered
}

// Malformed returns the number of datagrams received that are not TCP or UDP packets
// over IP encapsulated in Geneve.
func (u *Upstream) Malformed() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.malformed
}

// receivePackets receives and records packets until the socket is closed.
func (u *Upstream) receivePackets() error {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, err := u.packetConn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		u.recordPacket(buffer[:n])
	}
}

// recordPacket decodes a datagram and counts its packet under its flow.
func (u *Upstream) recordPacket(datagram []byte) {
	p, ok := decodePacket(datagram)
	u.mu.Lock()
	defer u.mu.Unlock()
	if !ok {
		u.malformed++
		return
	}
	u.received++
	if u.serviceID != 0 && service.ID(p.vni) != u.serviceID {
		u.misdelivered++
	}
	key := flowKey{flow: p.flow, vni: p.vni}
	stats := u.flows[key]
	if stats == nil {
		stats = &FlowStats{Flow: p.flow, VNI: p.vni, First: u.options.Now()}
		u.flows[key] = stats
		u.openFlows++
	}
	stats.Packets++
	if p.opensFlow {
		stats.SYNs++
	}
	if p.endsFlow && !stats.Ended {
		stats.Ended = true
		u.openFlows--
	}
	stats.Last = u.options.Now()
	if u.options.OnPacket != nil {
		u.options.OnPacket(p.flow)
	}
}

// innerPacket holds the decoded fields of an encapsulated packet.
type innerPacket struct {
	vni  uint32
	flow Flow
	// opensFlow is set for a TCP SYN without ACK, endsFlow for a TCP FIN or RST.
	opensFlow, endsFlow bool
}

// decodePacket decodes a datagram; ok is false if it is malformed.
func decodePacket(datagram []byte) (p innerPacket, ok bool) {
	packet := gopacket.NewPacket(datagram, layers.LayerTypeGeneve, gopacket.DecodeOptions{NoCopy: true})
	geneve, found := packet.Layer(layers.LayerTypeGeneve).(*layers.Geneve)
	if !found {
		return innerPacket{}, false
	}
	source, destination, found := innerAddresses(packet)
	if !found {
		return innerPacket{}, false
	}
	var sourcePort, destinationPort uint16
	switch transport := packet.TransportLayer().(type) {
	case *layers.TCP:
		p.flow.Protocol, sourcePort, destinationPort = service.TCP, uint16(transport.SrcPort), uint16(transport.DstPort)
		p.opensFlow = transport.SYN && !transport.ACK
		p.endsFlow = transport.FIN || transport.RST
	case *layers.UDP:
		p.flow.Protocol, sourcePort, destinationPort = service.UDP, uint16(transport.SrcPort), uint16(transport.DstPort)
	default:
		return innerPacket{}, false
	}
	p.flow.Source = netip.AddrPortFrom(source, sourcePort)
	p.flow.Destination = netip.AddrPortFrom(destination, destinationPort)
	p.vni = geneve.VNI
	return p, true
}

// innerAddresses returns the IP addresses of the inner packet.
func innerAddresses(packet gopacket.Packet) (source, destination netip.Addr, ok bool) {
	var sourceIP, destinationIP net.IP
	switch network := packet.NetworkLayer().(type) {
	case *layers.IPv4:
		sourceIP, destinationIP = network.SrcIP, network.DstIP
	case *layers.IPv6:
		sourceIP, destinationIP = network.SrcIP, network.DstIP
	default:
		return netip.Addr{}, netip.Addr{}, false
	}
	source, sourceOK := netip.AddrFromSlice(sourceIP)
	destination, destinationOK := netip.AddrFromSlice(destinationIP)
	return source.Unmap(), destination.Unmap(), sourceOK && destinationOK
}
