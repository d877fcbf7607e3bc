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

// maxPacketBytes is the largest UDP payload.
const maxPacketBytes = 65_535

// Flow names the inner packets of one flow.
type Flow struct {
	Protocol    service.Protocol
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// flowKey tells apart flows that came under different network identifiers.
type flowKey struct {
	flow Flow
	vni  uint32
}

// FlowCount counts the packets of one flow under one network identifier.
type FlowCount struct {
	Flow    Flow
	VNI     uint32
	Packets uint64
	// Opening counts those of the packets that open a TCP flow (SYN).
	Opening uint64
	// Ended is set by a packet that ends a TCP flow (FIN or RST).
	Ended bool
	First time.Time
	Last  time.Time
}

// Flows returns the flows seen so far, in no particular order.
func (u *Upstream) Flows() []FlowCount {
	u.mu.Lock()
	defer u.mu.Unlock()
	flows := make([]FlowCount, 0, len(u.flows))
	for _, count := range u.flows {
		flows = append(flows, *count)
	}
	return flows
}

// Packets returns the number of well-formed packets received.
func (u *Upstream) Packets() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received
}

// Misdelivered returns the number of packets that carried another service's identifier.
func (u *Upstream) Misdelivered() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.misplaced
}

// Malformed returns the number of datagrams that hold no Geneve packet with an inner flow.
func (u *Upstream) Malformed() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.malformed
}

// receive counts packets until the socket is closed.
func (u *Upstream) receive() error {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, err := u.packets.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		u.count(buffer[:n])
	}
}

func (u *Upstream) count(datagram []byte) {
	p, ok := decodePacket(datagram)
	u.mu.Lock()
	defer u.mu.Unlock()
	if !ok {
		u.malformed++
		return
	}
	u.received++
	if u.service != 0 && service.ID(p.vni) != u.service {
		u.misplaced++
	}
	key := flowKey{flow: p.flow, vni: p.vni}
	count := u.flows[key]
	if count == nil {
		count = &FlowCount{Flow: p.flow, VNI: p.vni, First: u.options.Now()}
		u.flows[key] = count
		u.open++
	}
	count.Packets++
	if p.opening {
		count.Opening++
	}
	if p.ending && !count.Ended {
		count.Ended = true
		u.open--
	}
	count.Last = u.options.Now()
	if u.options.OnPacket != nil {
		u.options.OnPacket(p.flow)
	}
}

// innerPacket is what the stand-in reads of a datagram.
type innerPacket struct {
	vni  uint32
	flow Flow
	// opening and ending are set on TCP packets that open or end the flow.
	opening, ending bool
}

// decodePacket reads a datagram; ok is false when it holds no encapsulated flow.
func decodePacket(datagram []byte) (p innerPacket, ok bool) {
	packet := gopacket.NewPacket(datagram, layers.LayerTypeGeneve, gopacket.DecodeOptions{NoCopy: true})
	geneve, found := packet.Layer(layers.LayerTypeGeneve).(*layers.Geneve)
	if !found {
		return innerPacket{}, false
	}
	source, destination, found := addresses(packet)
	if !found {
		return innerPacket{}, false
	}
	var from, to uint16
	switch transport := packet.TransportLayer().(type) {
	case *layers.TCP:
		p.flow.Protocol, from, to = service.TCP, uint16(transport.SrcPort), uint16(transport.DstPort)
		p.opening = transport.SYN && !transport.ACK
		p.ending = transport.FIN || transport.RST
	case *layers.UDP:
		p.flow.Protocol, from, to = service.UDP, uint16(transport.SrcPort), uint16(transport.DstPort)
	default:
		return innerPacket{}, false
	}
	p.flow.Source = netip.AddrPortFrom(source, from)
	p.flow.Destination = netip.AddrPortFrom(destination, to)
	p.vni = geneve.VNI
	return p, true
}

func addresses(packet gopacket.Packet) (source, destination netip.Addr, ok bool) {
	var from, to net.IP
	switch network := packet.NetworkLayer().(type) {
	case *layers.IPv4:
		from, to = network.SrcIP, network.DstIP
	case *layers.IPv6:
		from, to = network.SrcIP, network.DstIP
	default:
		return netip.Addr{}, netip.Addr{}, false
	}
	source, sourceOK := netip.AddrFromSlice(from)
	destination, destinationOK := netip.AddrFromSlice(to)
	return source.Unmap(), destination.Unmap(), sourceOK && destinationOK
}
