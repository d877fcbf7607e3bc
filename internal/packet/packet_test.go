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

// inner builds a caller's packet.
func inner(t testing.TB, key flow.Key, syn bool) []byte {
	t.Helper()
	source, destination := key.Source.Addr(), key.Destination.Addr()
	var network gopacket.SerializableLayer
	var checksummed gopacket.NetworkLayer
	protocol := layers.IPProtocol(key.Protocol)
	if source.Is4() {
		ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: protocol, SrcIP: source.AsSlice(), DstIP: destination.AsSlice()}
		network, checksummed = ip, ip
	} else {
		ip := &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: protocol, SrcIP: source.AsSlice(), DstIP: destination.AsSlice()}
		network, checksummed = ip, ip
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	list := []gopacket.SerializableLayer{network, nil, gopacket.Payload("roster")}
	if key.Protocol == service.TCP {
		tcp := &layers.TCP{SrcPort: layers.TCPPort(key.Source.Port()), DstPort: layers.TCPPort(key.Destination.Port()), SYN: syn, ACK: !syn}
		_ = tcp.SetNetworkLayerForChecksum(checksummed)
		list[1] = tcp
	} else {
		udp := &layers.UDP{SrcPort: layers.UDPPort(key.Source.Port()), DstPort: layers.UDPPort(key.Destination.Port())}
		_ = udp.SetNetworkLayerForChecksum(checksummed)
		list[1] = udp
	}
	if err := gopacket.SerializeLayers(buffer, options, list...); err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(buffer.Bytes())
}

func encode(t testing.TB, id service.ID, relay flow.Relay, ether layers.EthernetType, payload []byte) []byte {
	t.Helper()
	out, err := packet.NewEncoder().Encode(id, &relay, ether, payload)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(out)
}

var (
	key4 = flow.Key{Protocol: service.TCP, Source: netip.MustParseAddrPort("192.0.2.7:4711"), Destination: netip.MustParseAddrPort("198.51.100.1:443")}
	key6 = flow.Key{Protocol: service.UDP, Source: netip.MustParseAddrPort("[2001:db8::7]:4711"), Destination: netip.MustParseAddrPort("[2001:db8::1]:443")}
)

func TestParseReadsWhatEncodeWrites(t *testing.T) {
	relays := []flow.Relay{
		{},
		{Kind: flow.RelayDecide, Hops: 2, Service: 77},
		{Kind: flow.RelayRecord, Hops: 1, Service: 77, Upstream: netip.MustParseAddrPort("10.1.2.3:6081")},
		{Kind: flow.RelayRecord, Hops: 1, Service: 77, Upstream: netip.MustParseAddrPort("[2001:db8::9]:6081")},
	}
	for _, key := range []flow.Key{key4, key6} {
		ether := layers.EthernetTypeIPv4
		if key.Source.Addr().Is6() {
			ether = layers.EthernetTypeIPv6
		}
		for _, relay := range relays {
			payload := inner(t, key, true)
			var p packet.Parser
			var out packet.Parsed
			if reason := p.Parse(encode(t, relay.Service, relay, ether, payload), &out); reason != 0 {
				t.Fatalf("%v %v: dropped as %v", key, relay, reason)
			}
			if out.Packet.Key != key || out.Packet.Relay != relay || out.Ether != ether || !bytes.Equal(out.Inner, payload) {
				t.Errorf("got %+v, want %v and %v", out.Packet, key, relay)
			}
			if out.Packet.First != (key.Protocol == service.TCP) {
				t.Errorf("%v: First is %v", key, out.Packet.First)
			}
		}
	}
}

func TestParseNamesTheReason(t *testing.T) {
	whole := encode(t, 0, flow.Relay{}, layers.EthernetTypeIPv4, inner(t, key4, true))
	edit := func(change func(b []byte)) []byte {
		b := bytes.Clone(whole)
		change(b)
		return b
	}
	cases := []struct {
		name     string
		datagram []byte
		want     flow.Reason
	}{
		{"empty", nil, flow.Truncated},
		{"short header", whole[:7], flow.Truncated},
		{"no inner packet", whole[:8], flow.Truncated},
		{"inner cut off", whole[:len(whole)-3], flow.Truncated},
		{"ports cut off", edit(func(b []byte) { binary.BigEndian.PutUint16(b[10:], 24) })[:32], flow.Truncated},
		{"oversized", make([]byte, packet.MaxSize+1), flow.Oversized},
		{"unknown options", edit(func(b []byte) { b[0] |= 6 }), flow.Malformed},
		{"longest options", edit(func(b []byte) { b[0] |= 0x3F }), flow.Malformed},
		{"version", edit(func(b []byte) { b[0] |= 0x80 }), flow.Malformed},
		{"network identifier without relay", edit(func(b []byte) { b[6] = 1 }), flow.Malformed},
		{"other protocol", edit(func(b []byte) { b[2], b[3] = 0x08, 0x06 }), flow.UnsupportedProtocol},
		{"other transport", edit(func(b []byte) { b[17] = 1 }), flow.UnsupportedProtocol},
		{"fragment", edit(func(b []byte) { b[14] = 0x20 }), flow.Fragment},
		{"inner version", edit(func(b []byte) { b[8] = 0x65 }), flow.Malformed},
	}
	for _, c := range cases {
		var p packet.Parser
		var out packet.Parsed
		if got := p.Parse(c.datagram, &out); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// FuzzParse checks that no datagram panics and that an accepted one passes
// through the encoder unchanged.
func FuzzParse(f *testing.F) {
	f.Add(encode(f, 0, flow.Relay{}, layers.EthernetTypeIPv4, inner(f, key4, true)))
	f.Add(encode(f, 0, flow.Relay{}, layers.EthernetTypeIPv6, inner(f, key6, false)))
	f.Add(encode(f, 5, flow.Relay{Kind: flow.RelayRecord, Upstream: key4.Destination}, layers.EthernetTypeIPv4, inner(f, key4, false)))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var p packet.Parser
		var first, second packet.Parsed
		if p.Parse(datagram, &first) != 0 {
			return
		}
		kept := bytes.Clone(first.Inner)
		again := encode(t, first.Packet.Relay.Service, first.Packet.Relay, first.Ether, first.Inner)
		if reason := p.Parse(again, &second); reason != 0 {
			t.Fatalf("dropped as %v after encoding", reason)
		}
		if second.Packet != first.Packet || !bytes.Equal(second.Inner, kept) {
			t.Fatalf("got %+v, want %+v", second.Packet, first.Packet)
		}
	})
}

func BenchmarkParseEncode(b *testing.B) {
	datagram := encode(b, 0, flow.Relay{}, layers.EthernetTypeIPv4, inner(b, key4, false))
	var p packet.Parser
	var out packet.Parsed
	e := packet.NewEncoder()
	b.ReportAllocs()
	for b.Loop() {
		if p.Parse(datagram, &out) != 0 {
			b.Fatal("dropped")
		}
		if _, err := e.Encode(7, &out.Packet.Relay, out.Ether, out.Inner); err != nil {
			b.Fatal(err)
		}
	}
}
