package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// offeringHosts are hosts of two data centres, the first of which offers pages.
var offeringHosts = []catalog.Host{
	{Name: "self", DataCentre: "a", Seed: netip.MustParseAddrPort("10.0.0.1:7720")},
	{Name: "local", DataCentre: "a", Seed: netip.MustParseAddrPort("10.0.0.2:7720")},
	{Name: "remote-1", DataCentre: "b", Seed: netip.MustParseAddrPort("10.0.0.3:7720")},
	{Name: "remote-2", DataCentre: "b", Seed: netip.MustParseAddrPort("10.0.0.4:7720")},
	{Name: "no-seed", DataCentre: "a"},
}

// offersWithin returns the times of the offers to each host in a minute after the hosts were
// reported as silent. started has the hosts that need a page.
func offersWithin(t *testing.T, minute time.Duration, silent []string, started map[string]bool) map[string][]time.Duration {
	t.Helper()
	offers := make(map[string][]time.Duration)
	begin := time.Now()
	o := &offering{
		self: "self", dataCentre: "a", logger: zerolog.Nop(), now: time.Now, random: rand.New(rand.NewPCG(1, offeringStream)), wake: make(chan struct{}, 1),
		offer: func(_ context.Context, to netip.AddrPort, _ func() (catalog.Page, bool)) (needed, taken bool, err error) {
			for _, h := range offeringHosts {
				if h.Seed == to {
					offers[h.Name] = append(offers[h.Name], time.Since(begin))
					needed = started[h.Name]
				}
			}
			return needed, needed, nil
		},
	}
	o.setHosts(offeringHosts)
	for _, name := range silent {
		o.noteSilent(name)
	}
	ctx, cancel := context.WithTimeout(t.Context(), minute)
	defer cancel()
	NewWithT(t).Expect(o.run(ctx)).To(Succeed())
	return offers
}

// TestOffersReachStartingHosts guards against hosts that wait for an offer for seconds while
// the store does not answer them, and against calls to hosts that need none.
func TestOffersReachStartingHosts(t *testing.T) {
	tests := []struct {
		name    string
		silent  []string
		started map[string]bool
		want    []string
	}{
		{"no host is silent", nil, nil, nil},
		{"a silent host has started", []string{"local"}, map[string]bool{"local": true}, []string{"local"}},
		{"a message was lost", []string{"local"}, nil, []string{"local"}},
		{"another data centre has started", []string{"remote-1"}, map[string]bool{"remote-1": true, "remote-2": true}, []string{"remote-1", "remote-2"}},
		{"hosts without an address for pages, and unknown ones", []string{"no-seed", "unknown", "self"}, nil, nil},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			offers := offersWithin(t, time.Minute, test.silent, test.started)
			g.Expect(offers).To(HaveLen(len(test.want)), test.name)
			for _, name := range test.want {
				g.Expect(offers).To(HaveKey(name), test.name)
				if test.started[name] {
					g.Expect(offers[name][0]).To(BeNumerically("<", 4*minOfferPause), test.name)
					g.Expect(len(offers[name])).To(BeNumerically(">", 100), "it gets each later page soon")
				} else {
					g.Expect(offers[name]).To(HaveLen(1), "one that answers needs no more")
				}
			}
		})
	}
}

// TestDepartedHostsAreOfferedPages guards against hosts that restart while the store has let
// their registrations end, and against offers to hosts that left long ago.
func TestDepartedHostsAreOfferedPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &offering{self: "self", dataCentre: "a", now: time.Now, random: rand.New(rand.NewPCG(1, offeringStream)), wake: make(chan struct{}, 1)}
		o.setHosts(offeringHosts)
		name, _ := o.choose()
		g.Expect(name).To(BeEmpty())
		time.Sleep(time.Second)
		o.setHosts(append(offeringHosts[:1:1], offeringHosts[2:]...))
		name, _ = o.choose()
		g.Expect(name).To(Equal("local"))
		g.Expect(o.wake).To(Receive())
		time.Sleep(candidateRetention)
		o.setHosts(offeringHosts[:1])
		name, _ = o.choose()
		g.Expect(name).To(BeEmpty())
	})
}
