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

// TestOffersReachStartingHosts guards against hosts that wait for an offer for seconds while
// the store is away, and against offers to other data centres, to this host and to hosts
// that left long ago.
func TestOffersReachStartingHosts(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:7720")
	hosts := []catalog.Host{
		{Name: "self", DataCentre: "a", Seed: address}, {Name: "local", DataCentre: "a", Seed: address},
		{Name: "remote", DataCentre: "b", Seed: address}, {Name: "earlier-build", DataCentre: "a"},
	}
	tests := []struct {
		name    string
		age     time.Duration
		silence time.Duration
		want    []string
		// atLeast is the number of offers in a minute.
		atLeast, atMost int
	}{
		{"the store answers", offerAge - 1, 0, []string{"local"}, 12, 20},
		{"the store is away", offerAge, 0, []string{"local", "remote"}, 250, 350},
		{"all other hosts left long ago", offerAge, candidateRetention, nil, 0, 0},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			offers := 0
			o := &offering{
				self: "self", dataCentre: "a", logger: zerolog.Nop(), now: time.Now, random: rand.New(rand.NewPCG(1, offeringStream)),
				page: func() (catalog.Page, bool) { return *seedPage(7), true }, age: func() time.Duration { return test.age },
				offer: func(context.Context, netip.AddrPort, *catalog.Page) (bool, error) {
					offers++
					return true, nil
				},
			}
			o.setHosts(hosts)
			time.Sleep(test.silence)
			o.setHosts(hosts[:1])
			chosen := make(map[string]bool)
			for range 100 {
				if name, _ := o.choose(test.age >= offerAge); name != "" {
					chosen[name] = true
				}
			}
			g.Expect(chosen).To(HaveLen(len(test.want)), test.name)
			for _, name := range test.want {
				g.Expect(chosen).To(HaveKey(name), test.name)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			g.Expect(o.run(ctx)).To(Succeed())
			g.Expect(offers).To(And(BeNumerically(">=", test.atLeast), BeNumerically("<=", test.atMost)), test.name)
		})
	}
}
