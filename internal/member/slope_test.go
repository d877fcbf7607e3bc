package member

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/standin/authority"
)

// measuredTime is how long the benchmark observes the hosts.
const measuredTime = 5 * time.Second

// BenchmarkSlopeWire measures what membership costs a host in TLS bytes sent and
// processor time, with real connections over loopback.
func BenchmarkSlopeWire(b *testing.B) {
	for _, size := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureWire(b, size)
			}
		})
	}
}

// measureWire runs hosts for measuredTime and reports the cost per host.
func measureWire(b *testing.B, size int) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	registries := make([]*prometheus.Registry, size)
	keys := wireKeys(b, size)
	var seeds []netip.AddrPort
	for i := range size {
		registries[i] = prometheus.NewRegistry()
		address := runWireHost(ctx, b, &wait, keys[i], registries[i], seeds)
		if len(seeds) < 2 {
			seeds = append(seeds, address)
		}
	}
	time.Sleep(2 * measuredTime)
	bytes, cpu := sentBytes(b, registries), processorTime(b)
	time.Sleep(measuredTime)
	hostSeconds := float64(size) * measuredTime.Seconds()
	b.ReportMetric((sentBytes(b, registries)-bytes)/hostSeconds, "TLS-B/s/host")
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/hostSeconds, "cpu-µs/s/host")
	cancel()
	wait.Wait()
}

func runWireHost(ctx context.Context, b *testing.B, wait *sync.WaitGroup, keys *peer.TLS, registry *prometheus.Registry, seeds []netip.AddrPort) netip.AddrPort {
	self := host.Host{ID: keys.Identity().Host, DataCentre: keys.Identity().DataCentre}
	self.Incarnation = host.Incarnation(time.Now().UnixNano())
	server, err := peer.NewServer(peer.ServerOptions{
		Self: self.ID, Listen: netip.MustParseAddrPort("127.0.0.1:0"), TLS: keys, Logger: zerolog.Nop(), Registerer: registry,
	})
	if err != nil {
		b.Fatal(err)
	}
	self.PeerAddress = server.Addr()
	client := peer.NewClient(peer.ClientOptions{Self: self.ID, TLS: keys, Logger: zerolog.Nop(), Registerer: registry})
	runner := New(Options{Self: self, Seeds: seeds, Peers: client, Logger: zerolog.Nop(), Registerer: registry, OnView: func(membership.View) {}})
	server.Register("Member", runner.PeerService)
	wait.Go(func() { _ = server.Run(ctx) })
	wait.Go(func() { _ = runner.Run(ctx); _ = client.Close() })
	return self.PeerAddress
}

// sentBytes sums up the bytes that all hosts have sent.
func sentBytes(b *testing.B, registries []*prometheus.Registry) float64 {
	var sum float64
	for _, registry := range registries {
		families, err := registry.Gather()
		if err != nil {
			b.Fatal(err)
		}
		for _, family := range families {
			switch family.GetName() {
			case "oatlatch_peer_server_bytes_total", "oatlatch_peer_client_bytes_total":
				sum += sumOut(family)
			}
		}
	}
	return sum
}

func sumOut(family *dto.MetricFamily) float64 {
	var sum float64
	for _, metric := range family.GetMetric() {
		if metric.GetLabel()[0].GetValue() == "out" {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// wireKeys makes keys for the hosts, signed by one authority.
func wireKeys(b *testing.B, size int) []*peer.TLS {
	signer, err := authority.New()
	if err != nil {
		b.Fatal(err)
	}
	var all []*peer.TLS
	for i := range size {
		identity := peer.Identity{Host: host.ID(fmt.Sprintf("dc-%d/entry-%d", i%4, i)), DataCentre: fmt.Sprintf("dc-%d", i%4)}
		issued, err := signer.Issue(identity.URI(), time.Hour)
		if err != nil {
			b.Fatal(err)
		}
		loaded, err := peer.LoadTLS(peer.TLSFiles(issued))
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, loaded)
	}
	return all
}
