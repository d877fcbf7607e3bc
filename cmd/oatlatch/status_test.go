package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/edge"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/platform"
	"github.com/oatlatch/oatlatch/platform/standin"
)

// startEdgeHost runs an edge host until the test ends and returns the base URL of its
// status.
func startEdgeHost(t *testing.T, store *standin.Store) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "edge.ini")
	text := fmt.Sprintf("[host]\nid = quay-1\ndata_centre = quay\n[listen]\npacket = 127.0.0.1:0\npeer = 127.0.0.1:0\nready = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n[store]\naddress = %s\n", store.Address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.LoadEdge(path)
	if err != nil {
		t.Fatal(err)
	}
	client := platform.NewStore(s.Store.Address)
	host, err := edge.New(edge.Options{
		Settings: s, Apply: func(settings.Edge) {}, Store: client, Snapshots: client, Registration: client, Codec: platform.Codec{},
		Check: platform.NewChecker().Check, ReadyPath: platform.ReadyPath, Logger: zerolog.Nop(), Now: time.Now, Seed: 1,
		Started: time.Now(), ProcessorTime: func() time.Duration { return 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx, ctx, edge.NewReloader(path, host.Reload, zerolog.Nop())) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return "http://" + host.MetricsAddress().String()
}

// Guards against an operator who cannot see from a host what is evacuated there and which
// upstreams take no flows.
func TestStatusOfAnEdgeHost(t *testing.T) {
	g := NewWithT(t)
	store, err := standin.NewStore()
	g.Expect(err).NotTo(HaveOccurred())
	defer store.Close()
	g.Expect(store.Put(standin.ConfigurationKey, standin.Configuration(7, []standin.Route{{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk", Timeout: 2500}}, []string{"desk"}))).To(Succeed())
	for i, dataCentre := range []string{"quay", "quay", "bay", "bay"} {
		u := standin.UpstreamOptions{Name: fmt.Sprintf("i-%08x", 1+i), Service: "desk", DataCentre: dataCentre, Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80")}
		if i == 1 {
			u.Warmup = time.Minute
		}
		g.Expect(store.Put(u.StoreKey(), u.Registration(i == 0))).To(Succeed())
	}
	base := startEdgeHost(t, store)
	g.Expect(store.Put(standin.EvacuationKey("bay"), "")).To(Succeed())

	var status edge.Status
	g.Eventually(func(g Gomega) {
		out, code := runClient(t, "status", "--json", "--admin", base)
		status = edge.Status{}
		g.Expect(code).To(BeZero())
		g.Expect(json.Unmarshal([]byte(out), &status)).To(Succeed())
		g.Expect(status.Evacuations).To(HaveLen(1))
		g.Expect(out).To(ContainSubstring(`"hosts_in_force":1,"hosts_counted":1,"hosts_known":1,"open_flows_total":0,"outstanding_total":0}`))
	}, 20*time.Second).Should(Succeed())
	g.Expect([]any{status.Kind, status.Host, status.DataCentre, status.Ready, status.ConfigurationVersion}).To(Equal([]any{edge.StatusKind, "quay-1", "quay", true, uint64(7)}))
	g.Expect(status.Knowledge.Source).To(Equal("store"))
	g.Expect(*status.Knowledge.AgeMillis).To(BeNumerically("<", 20_000))
	g.Expect(status.Evacuations[0].DataCentre).To(Equal("bay"))
	g.Expect(status.Evacuations[0].Upstreams).To(Equal(2))
	g.Expect(status.Evacuations[0].Revision).To(BeNumerically("<=", status.Knowledge.Revision))
	g.Expect(status.UpstreamCounts).To(Equal(edge.UpstreamCounts{Usable: 1, Draining: 1, Evacuated: 2, Cold: 1}))

	out, code := runClient(t, "status", "--admin", base)
	g.Expect(code).To(BeZero())
	fields := strings.Join(strings.Fields(out), " ")
	for _, want := range []string{
		"host quay-1 in quay ready", "configuration version 7", "from store revision", "evacuated bay since",
		"upstreams 2 open flows 0 outstanding 0", "all hosts in force on 1 counted 1 of 1 known open flows 0 outstanding 0", "upstreams usable 1 draining 1 departed 0 evacuated 2 suspected 0 ejected 0 cold 1",
		"i-00000001 desk quay open flows 0 outstanding 0 draining", "i-00000002 desk quay open flows 0 outstanding 0 cold for",
	} {
		g.Expect(fields).To(ContainSubstring(want))
	}
	t.Log("\n" + out)
	_, code = runClient(t, "status", "--admin", "http://127.0.0.1:1")
	g.Expect(code).To(Equal(statusFailed))
}

// Guards against a host that says nothing of an evacuation that it has missed.
func TestTextOfEvacuationElsewhere(t *testing.T) {
	var out strings.Builder
	s := edge.Status{EvacuationsElsewhere: []edge.EvacuationElsewhere{{DataCentre: "bay", Revision: 7, EvacuationTotals: edge.EvacuationTotals{
		HostsInForce: 428, HostsCounted: 429, HostsKnown: 430, OpenFlowsTotal: 12, OutstandingTotal: 3,
	}}}}
	NewWithT(t).Expect(printEdgeStatus(&out, &s)).To(Succeed())
	NewWithT(t).Expect(strings.Join(strings.Fields(out.String()), " ")).To(ContainSubstring(
		"not in force bay on this host revision 7 of epoch 0 all hosts in force on 428 counted 429 of 430 known open flows 12 outstanding 3"))
}

// Guards against a state or its reason that is missing from the text.
func TestTextOfUpstreamStates(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for want, u := range map[string]edge.UpstreamStatus{
		"(1s) (reported)": {Suspicion: &edge.SuspicionStatus{Since: now.Add(-time.Second), Reason: "reported"}},
		"ejected for 2s more (6.0 of 8.0 answers failed at 3 hosts)":                {Ejection: &edge.EjectionStatus{Until: now.Add(2 * time.Second), Answers: 8, Failed: 6, Hosts: 3}},
		"returns from an ejection with 50% of its flows (6.0 of 8.0 answers failed": {Ejection: &edge.EjectionStatus{Until: now, Share: 0.5, Answers: 8, Failed: 6, Hosts: 3}},
		"draining, cold for 1.5s more, evacuated":                                   {Draining: true, ColdMillis: 1500, Evacuated: true},
	} {
		if got := strings.Join(upstreamStates(now, &u), ", "); !strings.Contains(got, want) {
			t.Errorf("got %q, want %q in it", got, want)
		}
	}
}
