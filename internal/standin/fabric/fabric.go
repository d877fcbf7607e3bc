// Package fabric simulates a network that load-balances per packet: each packet
// of a caller reaches a random entry host, whatever its flow. The demo and tests
// use it.
package fabric

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// errNoHosts is returned while the fabric has no host to send packets to.
var errNoHosts = errors.New("fabric: no hosts, call SetHosts first")

// Fabric encapsulates packets in Geneve and sends each one over UDP to a host
// chosen at random. It is safe for concurrent use.
type Fabric struct {
	conn *net.UDPConn

	mu     sync.Mutex
	rng    *rand.Rand
	hosts  []netip.AddrPort
	buffer gopacket.SerializeBuffer
}

// New returns a fabric that sends from a loopback socket and chooses hosts with a
// random number generator seeded with seed.
func New(seed uint64) (*Fabric, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("fabric: cannot open a loopback socket: %w", err)
	}
	return &Fabric{conn: conn, rng: rand.New(rand.NewPCG(seed, seed)), buffer: gopacket.NewSerializeBuffer()}, nil
}

// SetHosts replaces the hosts that packets are sent to.
func (f *Fabric) SetHosts(hosts []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append([]netip.AddrPort(nil), hosts...)
}

// Send sends one packet to a random host.
func (f *Fabric) Send(p Packet) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.hosts) == 0 {
		return errNoHosts
	}
	if err := f.encodePacket(p); err != nil {
		return err
	}
	to := f.hosts[f.rng.IntN(len(f.hosts))]
	if _, err := f.conn.WriteToUDPAddrPort(f.buffer.Bytes(), to); err != nil {
		return fmt.Errorf("fabric: cannot send to host %s: %w", to, err)
	}
	return nil
}

// Close closes the socket.
func (f *Fabric) Close() error { return f.conn.Close() }

// encodePacket writes the packet, with its Geneve, IPv4 and TCP headers, to f.buffer.
func (f *Fabric) encodePacket(p Packet) error {
	geneve := layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	ip := layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: p.Source.Addr().AsSlice(), DstIP: p.Destination.Addr().AsSlice(),
	}
	tcp := layers.TCP{
		SrcPort: layers.TCPPort(p.Source.Port()), DstPort: layers.TCPPort(p.Destination.Port()),
		SYN: p.Kind == SYN, ACK: p.Kind != SYN, FIN: p.Kind == FIN, Window: 65535,
	}
	if err := tcp.SetNetworkLayerForChecksum(&ip); err != nil {
		return fmt.Errorf("fabric: cannot compute the TCP checksum: %w", err)
	}
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(f.buffer, options, &geneve, &ip, &tcp, gopacket.Payload(p.Payload))
	if err != nil {
		return fmt.Errorf("fabric: cannot encode the packet, use IPv4 addresses: %w", err)
	}
	return nil
}
