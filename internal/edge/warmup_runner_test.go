package edge

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/platform"
	"github.com/oatlatch/oatlatch/platform/standin"
)

// startWarmupHost starts a host whose engine the test gives packets, and returns it.
func startWarmupHost(t *testing.T, store netip.AddrPort, name string) *Host {
	t.Helper()
	path := writeTempSettings(t, fmt.Sprintf("[host]\nid = %s\ndata_centre = quay\n[listen]\npacket = 127.0.0.1:0\npeer = 127.0.0.1:0\nready = 127.0.0.1:0\nmetrics =\n[store]\naddress = %s\n[warmup]\noverage = 1.5\nslack = 5\n", name, store))
	s, err := settings.LoadEdge(path)
	if err != nil {
		t.Fatal(err)
	}
	client, started := platform.NewStore(store), time.Now()
	host, err := New(Options{
		Settings: s, Apply: func(settings.Edge) {}, Store: client, Snapshots: client, Registration: client, Warmups: client,
		Boottime: func() time.Duration { return time.Since(started) }, Codec: platform.Codec{}, Check: platform.NewChecker().Check,
		ReadyPath: platform.ReadyPath, Logger: zerolog.Nop(), Now: time.Now, Seed: 1, Started: started, ProcessorTime: func() time.Duration { return 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx, ctx, NewReloader(path, host.Reload, zerolog.Nop())) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("host %s: %v", name, err)
		}
	})
	return host
}

// TestHostsShareTheBudgetOfAColdUpstream guards against a part of the way from the
// configuration to the decision that is not connected: hosts with a common store keep the
// opening packets to a cold upstream within 10 x 1.5 + 5 a second, use most of them, and
// refuse other flows at once.
func TestHostsShareTheBudgetOfAColdUpstream(t *testing.T) {
	const hostCount, budget, warmup = 3, 20, 5 * time.Second
	g := NewWithT(t)
	store, err := standin.NewStore()
	g.Expect(err).NotTo(HaveOccurred())
	defer store.Close()
	address := netip.MustParseAddrPort("198.18.0.1:443")
	configuration := standin.Configuration(7, []standin.Route{{Address: address, Service: "desk", Priority: 1, Timeout: 2500}}, nil).(map[string]any)
	configuration["services"] = []map[string]any{{"name": "desk", "health_path": "/health", "warmup_s": 60, "warmup_per_s": 10}}
	u := standin.UpstreamOptions{Name: "i-00001000", Service: "desk", DataCentre: "quay", Slots: 1000, Address: netip.MustParseAddrPort("10.0.0.1:80"), Warmup: warmup}
	// Hosts need not wait for the permissions of a former epoch.
	g.Expect(store.Put("oatlatch/warmup-epoch", 0)).To(Succeed())
	g.Expect(store.Put(standin.ConfigurationKey, configuration)).To(Succeed())
	g.Expect(store.Put(u.StoreKey(), u.Registration(false))).To(Succeed())

	var mu sync.Mutex
	var opened []time.Time
	var reasons []echo.Reason
	var group sync.WaitGroup
	end := time.Now().Add(warmup - 500*time.Millisecond)
	for i := range hostCount {
		host := startWarmupHost(t, store.Address(), fmt.Sprintf("quay-%d", i))
		group.Go(func() {
			for port := uint16(1); time.Now().Before(end); port++ {
				caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(i)}), port)
				now := time.Now()
				d := host.engine.Decide(now, &echo.Segment{Caller: caller, VirtualAddress: address, SYN: true})
				mu.Lock()
				if d.Verdict == echo.Forward {
					opened = append(opened, now)
				} else if !slices.Contains(reasons, d.Reason) {
					reasons = append(reasons, d.Reason)
				}
				mu.Unlock()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	group.Wait()
	slices.SortFunc(opened, time.Time.Compare)
	busiest, first := 0, 0
	for i, at := range opened {
		for at.Sub(opened[first]) >= time.Second {
			first++
		}
		busiest = max(busiest, i-first+1)
	}
	t.Logf("%d opening packets, busiest second %d, reasons %v", len(opened), busiest, reasons)
	g.Expect(busiest).To(And(BeNumerically("<=", budget), BeNumerically(">=", 0.7*budget)))
	g.Expect(reasons).To(ContainElement(echo.WarmingUp))
}
