// Package fabric is a stand-in of the network that hands each packet of a
// caller to any entry host. It serves the demo and tests.
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

// errNoHost is returned while the fabric has no host to hand packets to.
var errNoHost = errors.New("the fabric has no host, call SetHosts first")

// Fabric sends packets to hosts chosen at random for each packet.
type Fabric struct {
	conn   *net.UDPConn
	mu     sync.Mutex
	random *rand.Rand
	hosts  []netip.AddrPort
	buffer gopacket.SerializeBuffer
}

// New returns a fabric on a loopback socket, with its choices drawn from the seed.
func New(seed uint64) (*Fabric, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("fabric: cannot open a loopback socket: %w", err)
	}
	return &Fabric{conn: conn, random: rand.New(rand.NewPCG(seed, seed)), buffer: gopacket.NewSerializeBuffer()}, nil
}

// SetHosts replaces the hosts that packets are handed to.
func (f *Fabric) SetHosts(hosts []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append([]netip.AddrPort(nil), hosts...)
}

// Send hands one packet to a random host.
func (f *Fabric) Send(p Packet) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.hosts) == 0 {
		return errNoHost
	}
	if err := f.encode(p); err != nil {
		return err
	}
	to := f.hosts[f.random.IntN(len(f.hosts))]
	if _, err := f.conn.WriteToUDPAddrPort(f.buffer.Bytes(), to); err != nil {
		return fmt.Errorf("fabric: cannot send to host %s: %w", to, err)
	}
	return nil
}

// Close releases the socket.
func (f *Fabric) Close() error { return f.conn.Close() }

func (f *Fabric) encode(p Packet) error {
	geneve := layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	ip := layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: p.Source.Addr().AsSlice(), DstIP: p.Destination.Addr().AsSlice(),
	}
	tcp := layers.TCP{
		SrcPort: layers.TCPPort(p.Source.Port()), DstPort: layers.TCPPort(p.Destination.Port()),
		SYN: p.Kind == First, ACK: p.Kind != First, FIN: p.Kind == Last, Window: 65535,
	}
	if err := tcp.SetNetworkLayerForChecksum(&ip); err != nil {
		return fmt.Errorf("fabric: %w", err)
	}
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(f.buffer, options, &geneve, &ip, &tcp, gopacket.Payload(p.Payload))
	if err != nil {
		return fmt.Errorf("fabric: cannot encode a packet, use IPv4 addresses: %w", err)
	}
	return nil
}
