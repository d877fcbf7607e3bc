package edge

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
	"github.com/oatlatch/oatlatch/internal/evidencerpc"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/platform"
)

// Guards against a status that names the wrong source, or does not count what remains in
// an evacuated data centre.
func TestStatusOfAHostThatASeedHasStarted(t *testing.T) {
	g := NewWithT(t)
	now, loopback := time.Unix(1_000_000, 0), netip.MustParseAddrPort("127.0.0.1:0")
	s := settings.Edge{Host: settings.Host{ID: "quay-1", DataCentre: "quay"}}
	s.Listen.Packet, s.Listen.Ready, s.Listen.Metrics = loopback, loopback, loopback
	s.Store.Address, s.Store.ApplyWithin, s.Store.History = loopback, []time.Duration{3 * time.Second}, 20*time.Second
	client := platform.NewStore(loopback)
	h, err := New(Options{
		Settings: s, Store: client, Snapshots: client, Registration: client, Codec: platform.Codec{}, Check: platform.NewChecker().Check,
		ReadyPath: platform.ReadyPath, Logger: zerolog.Nop(), Now: func() time.Time { return now }, Started: now, ProcessorTime: func() time.Duration { return 0 },
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _, _ = h.readyListener.Close(), h.metricsListener.Close() })
	g.Expect(h.MetricsAddress().Port()).NotTo(BeZero())
	got := h.status(now)
	g.Expect(got.Ready).To(BeFalse())
	g.Expect(got.Knowledge).To(Equal(KnowledgeStatus{Source: SourceNone}))
	g.Expect(got.Evacuations).NotTo(BeNil(), "scripts read a list")

	address := netip.MustParseAddrPort("198.18.0.1:443")
	v := catalog.View{
		Configuration: &catalog.Configuration{Version: 7, Routes: []catalog.Route{{Name: "a", Address: address, Shares: []catalog.Share{{Service: "desk", Weight: 1}}}}},
		Upstreams: []catalog.Entry{{Presence: catalog.Registered, WarmUntil: now.Add(time.Second), Upstream: catalog.Upstream{
			ID: 1, Name: "i-1", Service: "desk", DataCentre: "quay", Slots: 2, Address: address,
		}}},
	}
	h.serveView(v)
	h.engine.Decide(now, &echo.Segment{Caller: netip.MustParseAddrPort("100.64.0.1:4000"), VirtualAddress: address, SYN: true})
	v.Evacuations = []catalog.Evacuation{{DataCentre: "quay", Position: catalog.Position{Epoch: 2, Revision: 72}, Since: now}, {DataCentre: "bay", Since: now}}
	h.serveView(v)
	got = h.status(now)
	g.Expect(got.Ready).To(BeTrue())
	g.Expect(got.ConfigurationVersion).To(Equal(uint64(7)))
	g.Expect(got.Knowledge.Source).To(Equal(SourceSeed))
	g.Expect(got.Evacuations).To(Equal([]EvacuationStatus{
		{DataCentre: "bay", Since: now, EvacuationTotals: EvacuationTotals{HostsInForce: 1, HostsCounted: 1}},
		{DataCentre: "quay", Since: now, Epoch: 2, Revision: 72, Upstreams: 1, Outstanding: 1, EvacuationTotals: EvacuationTotals{HostsInForce: 1, HostsCounted: 1, OutstandingTotal: 1}},
	}), "it knows no other host, nor itself, from the store")
	g.Expect(got.EvacuationsElsewhere).NotTo(BeNil(), "scripts read a list")
	var reply evidencerpc.ExchangeReply
	earlier := evidence.EvacuationSum{DataCentre: "quay", Position: catalog.Position{Epoch: 2, Revision: 70}, OpenFlows: 3}
	args := evidencerpc.ExchangeArgs{Report: evidence.Report{Depth: 1, Sums: evidence.NewSums([]evidence.EvacuationSum{earlier})}}
	g.Expect(evidencerpc.NewService(h.exchange, "quay-2").Exchange(&args, &reply)).To(Succeed())
	g.Expect(h.status(now).EvacuationsElsewhere).To(Equal([]EvacuationElsewhere{
		{DataCentre: "quay", Epoch: 2, Revision: 70, EvacuationTotals: EvacuationTotals{HostsInForce: 1, HostsCounted: 2, OpenFlowsTotal: 3}},
	}), "another host that has an earlier request in force")
	g.Expect(got.UpstreamCounts).To(Equal(UpstreamCounts{Evacuated: 1, Cold: 1}))
	g.Expect(got.Upstreams).To(HaveLen(1))
	g.Expect(got.Upstreams[0].ColdMillis).To(Equal(int64(1000)))
	h.stopping.Store(true)
	g.Expect(h.status(now).Ready).To(BeFalse())
}

// Guards against a status of a whole data centre that returns cold which fills the link or
// leaves out the upstreams that fail.
func TestStatusListsTheMostUrgentUpstreams(t *testing.T) {
	g := NewWithT(t)
	var all []UpstreamStatus
	for i := range maxListedUpstreams + 9 {
		all = append(all, UpstreamStatus{Name: fmt.Sprintf("i-%04d", i), ColdMillis: 1})
	}
	all[255].Draining = true
	all[260].Ejection, all[261].Suspicion = &EjectionStatus{}, &SuspicionStatus{}
	listed, omitted := mostUrgent(all)
	g.Expect(listed).To(HaveLen(maxListedUpstreams))
	g.Expect(omitted).To(Equal(9))
	var names []string
	for _, u := range listed[:4] {
		names = append(names, u.Name)
	}
	g.Expect(names).To(Equal([]string{"i-0260", "i-0261", "i-0255", "i-0000"}))
}
