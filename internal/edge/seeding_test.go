package edge

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// newTestSeeding returns a seeding and the versions of the views that it has put in force.
func newTestSeeding() (*seeding, *[]uint64) {
	var versions []uint64
	return &seeding{
		logger: zerolog.Nop(), now: func() time.Time { return time.Unix(1_000_000, 0) }, requireCurrent: func() {},
		apply: func(v catalog.View) { versions = append(versions, v.Configuration.Version) },
	}, &versions
}

func seedPage(version uint64) *catalog.Page {
	return &catalog.Page{Position: at(9), Unconfirmed: true, Changes: []catalog.Change{
		{Position: at(2), Configuration: &catalog.Configuration{Version: version}},
		{Position: at(3), Upstream: &catalog.Upstream{ID: 1, Name: "i-1", Service: "desk", Slots: 2}},
	}}
}

func view(version uint64, partial bool) *catalog.View {
	return &catalog.View{Configuration: &catalog.Configuration{Version: version}, Partial: partial}
}

// TestSeedGivesWayToTheStore checks the order of what a host believes when it starts.
func TestSeedGivesWayToTheStore(t *testing.T) {
	t.Run("the store answers first", func(t *testing.T) {
		g := NewWithT(t)
		s, applied := newTestSeeding()
		g.Expect(s.admit(view(3, true))).To(BeTrue())
		s.serve(seedPage(9), netip.AddrPort{})
		g.Expect(*applied).To(BeEmpty())
	})
	t.Run("a seed answers first", func(t *testing.T) {
		g := NewWithT(t)
		s, applied := newTestSeeding()
		s.serve(seedPage(7), netip.AddrPort{})
		g.Expect(*applied).To(Equal([]uint64{7}))
		g.Expect(s.admit(view(5, true))).To(BeFalse(), "an old snapshot must not revert the configuration")
		g.Expect(s.admit(view(7, true))).To(BeTrue())
		s.serve(seedPage(9), netip.AddrPort{})
		g.Expect(*applied).To(Equal([]uint64{7}))
	})
	t.Run("seeds tell of changes", func(t *testing.T) {
		g := NewWithT(t)
		s, applied := newTestSeeding()
		s.serve(seedPage(7), netip.AddrPort{})
		later, behind := seedPage(8), seedPage(6)
		later.Position, behind.Position = at(12), at(11)
		s.serve(later, netip.AddrPort{})
		s.serve(behind, netip.AddrPort{})
		g.Expect(*applied).To(Equal([]uint64{7, 8}), "a seed that is behind must not revert anything")
	})
	t.Run("an old snapshot differs in what is evacuated", func(t *testing.T) {
		g := NewWithT(t)
		s, _ := newTestSeeding()
		page := seedPage(7)
		page.Changes = append(page.Changes, catalog.Change{Position: at(4), Evacuation: &catalog.EvacuationRecord{DataCentre: "quay-a"}})
		s.serve(page, netip.AddrPort{})
		older := view(7, true)
		older.Position = at(8)
		g.Expect(s.admit(older)).To(BeFalse(), "the request would be forgotten until the store answers")
		older.Evacuations = []catalog.Evacuation{{DataCentre: "quay-a"}}
		g.Expect(s.admit(older)).To(BeTrue())
		later := view(7, true)
		later.Position = at(10)
		s.serve(page, netip.AddrPort{})
		g.Expect(s.admit(later)).To(BeTrue())
	})
	t.Run("a seed tells a version that does not exist", func(t *testing.T) {
		g := NewWithT(t)
		s, _ := newTestSeeding()
		s.serve(seedPage(1<<60), netip.AddrPort{})
		g.Expect(s.admit(view(5, false))).To(BeTrue(), "what the store has confirmed is in force")
	})
	t.Run("a seed tells no configuration that can be used", func(t *testing.T) {
		g := NewWithT(t)
		s, applied := newTestSeeding()
		page := seedPage(7)
		page.Changes[0].Position = at(0)
		s.serve(page, netip.AddrPort{})
		g.Expect(*applied).To(BeEmpty())
	})
}

// TestSeedTellsWhatEndedBeforeTheStart guards against a host that drops packets of open flows
// because a seed told it the newest configuration and the registered upstreams alone.
func TestSeedTellsWhatEndedBeforeTheStart(t *testing.T) {
	g := NewWithT(t)
	now, address := time.Unix(1_000_000, 0), netip.MustParseAddrPort("198.18.0.1:443")
	s, _ := newTestSeeding()
	var got catalog.View
	s.now, s.apply = func() time.Time { return now }, func(v catalog.View) { got = v }
	page := seedPage(7)
	page.Changes = append(page.Changes, catalog.Change{Position: at(4), Removed: "i-2", LastRegistration: &catalog.Upstream{ID: 2, Service: "desk", Draining: true}})
	page.History = &catalog.History{From: at(1), Age: time.Second, Former: []catalog.FormerService{{Address: address, Service: "desk", Dropped: at(2), Age: time.Second}}}
	s.serve(page, netip.AddrPort{})
	g.Expect(got.Former.Has(address, "desk")).To(BeTrue())
	g.Expect(got.HistoryCompleteAt).To(Equal(now.Add(catalog.DefaultRetention - time.Second)))
	g.Expect(got.Upstreams).To(HaveLen(2))
	g.Expect(got.Upstreams[1].Presence).To(Equal(catalog.Departed))
}
