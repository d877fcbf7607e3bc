package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/service"
)

// startUpstream returns a running stand-in that is stopped when the test ends.
func startUpstream(t *testing.T, o Options) *Upstream {
	t.Helper()
	u, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- u.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return u
}

// encapsulatedPacket returns a UDP packet from the source, encapsulated in Geneve.
func encapsulatedPacket(t *testing.T, vni uint32, source string) []byte {
	t.Helper()
	from := netip.MustParseAddrPort(source)
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolUDP, SrcIP: from.Addr().AsSlice(), DstIP: net.IPv4(192, 0, 2, 1)}
	udp := &layers.UDP{SrcPort: layers.UDPPort(from.Port()), DstPort: 53}
	if err := udp.SetNetworkLayerForChecksum(ip); err != nil {
		t.Fatal(err)
	}
	buffer := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true},
		&layers.Geneve{VNI: vni, Protocol: layers.EthernetTypeIPv4}, ip, udp, gopacket.Payload("x"))
	if err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func TestPacketCounters(t *testing.T) {
	u := startUpstream(t, Options{Service: 7})
	conn, err := net.Dial("udp", u.PacketAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, datagram := range [][]byte{
		encapsulatedPacket(t, 7, "198.51.100.1:1000"), encapsulatedPacket(t, 7, "198.51.100.1:1000"),
		encapsulatedPacket(t, 7, "198.51.100.2:1000"), encapsulatedPacket(t, 8, "198.51.100.1:1000"), []byte("noise"),
	} {
		if _, err := conn.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
	g := gomega.NewWithT(t)
	g.Eventually(func() uint64 { return u.Packets() + u.Malformed() }).Should(gomega.Equal(uint64(5)))
	if u.Misdelivered() != 1 || u.Malformed() != 1 || len(u.Flows()) != 3 {
		t.Errorf("misdelivered %d, malformed %d, flows %+v", u.Misdelivered(), u.Malformed(), u.Flows())
	}
	resp, err := http.Get("http://" + u.HTTPAddr().String() + "/load")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var report health.Report
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil || report.Connections != 3 {
		t.Errorf("load report %+v: %v", report, err)
	}
	for _, f := range u.Flows() {
		want := uint64(1)
		if f.VNI == 7 && f.Flow.Source == netip.MustParseAddrPort("198.51.100.1:1000") {
			want = 2
		}
		if f.Packets != want || f.Flow.Protocol != service.UDP {
			t.Errorf("%+v", f)
		}
	}
}

func TestDrain(t *testing.T) {
	u := startUpstream(t, Options{Upstream: service.Upstream{Slots: 2}})
	get := func(path string) *http.Response {
		resp, err := http.Get("http://" + u.HTTPAddr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { resp.Body.Close() })
		return resp
	}
	if get("/").StatusCode != http.StatusOK || get("/health").StatusCode != http.StatusOK {
		t.Error("a new upstream must serve requests and health checks")
	}
	u.Drain()
	resp := get("/")
	if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Oatlatch-Outcome") != "not-run" {
		t.Errorf("request to a draining upstream: status %d, header %v", resp.StatusCode, resp.Header)
	}
	if get("/health").StatusCode != http.StatusServiceUnavailable {
		t.Error("a draining upstream must fail its health check")
	}
	var report health.Report
	if err := json.NewDecoder(get("/load").Body).Decode(&report); err != nil || report != (health.Report{Draining: true}) {
		t.Errorf("load report %+v: %v", report, err)
	}
	if len(u.Runs()) != 1 || u.ShedCount() != 1 {
		t.Errorf("runs %d, shed %d", len(u.Runs()), u.ShedCount())
	}
}
