package membershiprunner

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

// measurementPeriod is how long BenchmarkScalingWire observes the hosts, after letting
// them settle for twice as long.
const measurementPeriod = 5 * time.Second

// BenchmarkScalingWire measures how the cost of membership per host, in TLS bytes sent
// and processor time, grows with the number of hosts. The hosts use real connections
// over the loopback interface.
func BenchmarkScalingWire(b *testing.B) {
	for _, size := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureCluster(b, size)
			}
		})
	}
}

// measureCluster starts the given number of hosts, observes them for measurementPeriod
// and reports the cost per host.
func measureCluster(b *testing.B, size int) {
	ctx, cancel := context.WithCancel(context.Background())
	var hosts sync.WaitGroup
	registries := make([]*prometheus.Registry, size)
	keys := issueKeys(b, size)
	var seeds []netip.AddrPort
	for i := range size {
		registries[i] = prometheus.NewRegistry()
		address := startHost(ctx, b, &hosts, keys[i], registries[i], seeds)
		if len(seeds) < 2 {
			seeds = append(seeds, address)
		}
	}
	time.Sleep(2 * measurementPeriod)
	bytes, cpu := sentBytes(b, registries), processorTime(b)
	time.Sleep(measurementPeriod)
	hostSeconds := float64(size) * measurementPeriod.Seconds()
	b.ReportMetric((sentBytes(b, registries)-bytes)/hostSeconds, "TLS-B/s/host")
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/hostSeconds, "cpu-µs/s/host")
	cancel()
	hosts.Wait()
}

// startHost starts a host on the loopback interface and returns its peer address.
func startHost(ctx context.Context, b *testing.B, hosts *sync.WaitGroup, keys *peer.TLS, registry *prometheus.Registry, seeds []netip.AddrPort) netip.AddrPort {
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
	hosts.Go(func() { _ = server.Run(ctx) })
	hosts.Go(func() { _ = runner.Run(ctx); _ = client.Close() })
	return self.PeerAddress
}

// sentBytes returns the number of bytes sent by all hosts.
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
				sum += sumOutbound(family)
			}
		}
	}
	return sum
}

func sumOutbound(family *dto.MetricFamily) float64 {
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

// issueKeys issues keys for the hosts, signed by a single certificate authority.
func issueKeys(b *testing.B, size int) []*peer.TLS {
	signer, err := authority.New()
	if err != nil {
		b.Fatal(err)
	}
	var keys []*peer.TLS
	for i := range size {
		identity := peer.Identity{Host: host.ID(fmt.Sprintf("dc-%d/entry-%d", i%4, i)), DataCentre: fmt.Sprintf("dc-%d", i%4)}
		issued, err := signer.Issue(identity.URI(), time.Hour)
		if err != nil {
			b.Fatal(err)
		}
		loaded, err := peer.LoadTLS(peer.KeySources(issued))
		if err != nil {
			b.Fatal(err)
		}
		keys = append(keys, loaded)
	}
	return keys
}
