package packet_test

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/oatlatch/oatlatch/internal/flow"
	"github.com/oatlatch/oatlatch/internal/packet"
	"github.com/oatlatch/oatlatch/internal/service"
)

// innerPacket returns an IP packet of the flow. A TCP segment has SYN set if syn is true,
// and ACK otherwise.
func innerPacket(t testing.TB, key flow.Key, syn bool) []byte {
	t.Helper()
	source, destination := key.Source.Addr(), key.Destination.Addr()
	var network gopacket.SerializableLayer
	var checksumLayer gopacket.NetworkLayer
	protocol := layers.IPProtocol(key.Protocol)
	if source.Is4() {
		ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: protocol, SrcIP: source.AsSlice(), DstIP: destination.AsSlice()}
		network, checksumLayer = ip, ip
	} else {
		ip := &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: protocol, SrcIP: source.AsSlice(), DstIP: destination.AsSlice()}
		network, checksumLayer = ip, ip
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	layerList := []gopacket.SerializableLayer{network, nil, gopacket.Payload("roster")}
	if key.Protocol == service.TCP {
		tcp := &layers.TCP{SrcPort: layers.TCPPort(key.Source.Port()), DstPort: layers.TCPPort(key.Destination.Port()), SYN: syn, ACK: !syn}
		_ = tcp.SetNetworkLayerForChecksum(checksumLayer)
		layerList[1] = tcp
	} else {
		udp := &layers.UDP{SrcPort: layers.UDPPort(key.Source.Port()), DstPort: layers.UDPPort(key.Destination.Port())}
		_ = udp.SetNetworkLayerForChecksum(checksumLayer)
		layerList[1] = udp
	}
	if err := gopacket.SerializeLayers(buffer, options, layerList...); err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(buffer.Bytes())
}

func encode(t testing.TB, id service.ID, relay flow.Relay, etherType layers.EthernetType, payload []byte) []byte {
	t.Helper()
	out, err := packet.NewEncoder().Encode(id, &relay, etherType, payload)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(out)
}

var (
	tcp4Key = flow.Key{Protocol: service.TCP, Source: netip.MustParseAddrPort("192.0.2.7:4711"), Destination: netip.MustParseAddrPort("198.51.100.1:443")}
	udp6Key = flow.Key{Protocol: service.UDP, Source: netip.MustParseAddrPort("[2001:db8::7]:4711"), Destination: netip.MustParseAddrPort("[2001:db8::1]:443")}
)

func TestEncodeParseRoundTrip(t *testing.T) {
	relays := []flow.Relay{
		{},
		{Kind: flow.RelayDecide, Hops: 2, Service: 77},
		{Kind: flow.RelayRecord, Hops: 1, Service: 77, Upstream: netip.MustParseAddrPort("10.1.2.3:6081")},
		{Kind: flow.RelayRecord, Hops: 1, Service: 77, Upstream: netip.MustParseAddrPort("[2001:db8::9]:6081")},
	}
	for _, key := range []flow.Key{tcp4Key, udp6Key} {
		etherType := layers.EthernetTypeIPv4
		if key.Source.Addr().Is6() {
			etherType = layers.EthernetTypeIPv6
		}
		for _, relay := range relays {
			payload := innerPacket(t, key, true)
			var p packet.Parser
			var out packet.Datagram
			if reason := p.Parse(encode(t, relay.Service, relay, etherType, payload), &out); reason != 0 {
				t.Fatalf("%v %v: dropped as %v", key, relay, reason)
			}
			if out.Packet.Key != key || out.Packet.Relay != relay || out.EtherType != etherType || !bytes.Equal(out.Inner, payload) {
				t.Errorf("got %+v, want %v and %v", out.Packet, key, relay)
			}
			if out.Packet.First != (key.Protocol == service.TCP) {
				t.Errorf("%v: First is %v", key, out.Packet.First)
			}
		}
	}
}

func TestParseDropReasons(t *testing.T) {
	valid := encode(t, 0, flow.Relay{}, layers.EthernetTypeIPv4, innerPacket(t, tcp4Key, true))
	modify := func(change func(b []byte)) []byte {
		b := bytes.Clone(valid)
		change(b)
		return b
	}
	cases := []struct {
		name     string
		datagram []byte
		want     flow.Reason
	}{
		{"empty", nil, flow.Truncated},
		{"truncated header", valid[:7], flow.Truncated},
		{"no inner packet", valid[:8], flow.Truncated},
		{"truncated inner packet", valid[:len(valid)-3], flow.Truncated},
		{"truncated transport header", modify(func(b []byte) { binary.BigEndian.PutUint16(b[10:], 24) })[:32], flow.Truncated},
		{"oversized", make([]byte, packet.MaxDatagramSize+1), flow.Oversized},
		{"unknown options", modify(func(b []byte) { b[0] |= 6 }), flow.Malformed},
		{"maximum option length", modify(func(b []byte) { b[0] |= 0x3F }), flow.Malformed},
		{"version", modify(func(b []byte) { b[0] |= 0x80 }), flow.Malformed},
		{"VNI without relay option", modify(func(b []byte) { b[6] = 1 }), flow.Malformed},
		{"unsupported EtherType", modify(func(b []byte) { b[2], b[3] = 0x08, 0x06 }), flow.UnsupportedProtocol},
		{"unsupported transport protocol", modify(func(b []byte) { b[17] = 1 }), flow.UnsupportedProtocol},
		{"fragment", modify(func(b []byte) { b[14] = 0x20 }), flow.Fragment},
		{"wrong IP version", modify(func(b []byte) { b[8] = 0x65 }), flow.Malformed},
	}
	for _, c := range cases {
		var p packet.Parser
		var out packet.Datagram
		if got := p.Parse(c.datagram, &out); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// FuzzParse checks that Parse doesn't panic and that the contents of an accepted
// datagram stay the same when they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add(encode(f, 0, flow.Relay{}, layers.EthernetTypeIPv4, innerPacket(f, tcp4Key, true)))
	f.Add(encode(f, 0, flow.Relay{}, layers.EthernetTypeIPv6, innerPacket(f, udp6Key, false)))
	f.Add(encode(f, 5, flow.Relay{Kind: flow.RelayRecord, Upstream: tcp4Key.Destination}, layers.EthernetTypeIPv4, innerPacket(f, tcp4Key, false)))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var p packet.Parser
		var parsed, reparsed packet.Datagram
		if p.Parse(datagram, &parsed) != 0 {
			return
		}
		innerCopy := bytes.Clone(parsed.Inner)
		reencoded := encode(t, parsed.Packet.Relay.Service, parsed.Packet.Relay, parsed.EtherType, parsed.Inner)
		if reason := p.Parse(reencoded, &reparsed); reason != 0 {
			t.Fatalf("dropped as %v after encoding again", reason)
		}
		if reparsed.Packet != parsed.Packet || !bytes.Equal(reparsed.Inner, innerCopy) {
			t.Fatalf("got %+v, want %+v", reparsed.Packet, parsed.Packet)
		}
	})
}

func BenchmarkParseEncode(b *testing.B) {
	datagram := encode(b, 0, flow.Relay{}, layers.EthernetTypeIPv4, innerPacket(b, tcp4Key, false))
	var p packet.Parser
	var out packet.Datagram
	e := packet.NewEncoder()
	b.ReportAllocs()
	for b.Loop() {
		if p.Parse(datagram, &out) != 0 {
			b.Fatal("dropped")
		}
		if _, err := e.Encode(7, &out.Packet.Relay, out.EtherType, out.Inner); err != nil {
			b.Fatal(err)
		}
	}
}
