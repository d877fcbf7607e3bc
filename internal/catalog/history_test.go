package catalog

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var movedAddress = netip.MustParseAddrPort("198.18.0.1:443")

// routed returns a configuration that routes movedAddress to the service; an empty service
// removes the route.
func routed(position Position, version uint64, service string) Change {
	c := &Configuration{Version: version}
	if service != "" {
		c.Routes = []Route{{Address: movedAddress, Shares: []Share{{Service: service, Weight: 1}}}}
	}
	return Change{Position: position, Configuration: c}
}

// formerOf returns whether the catalog's view has former services a, b and c of
// movedAddress, as text.
func formerOf(c *Catalog) string {
	c.viewChanged = true
	view, _ := c.TakeView()
	text := ""
	for _, service := range []string{"a", "b", "c"} {
		if view.Former.Has(movedAddress, service) {
			text += service
		}
	}
	return text
}

// movedCatalog returns a catalog that has seen movedAddress move from a to b to c.
func movedCatalog() *Catalog {
	c := New(Options{})
	applyListing(c, start, 5, routed(at(5), 1, "a"))
	c.Apply(start.Add(time.Second), Update{Position: at(6), Changes: []Change{routed(at(6), 2, "b")}})
	c.Apply(start.Add(2*time.Second), Update{Position: at(7), Changes: []Change{routed(at(7), 3, "c")}})
	return c
}

func TestStartedHostLearnsFormerServices(t *testing.T) {
	now := start.Add(10 * time.Second)
	source := movedCatalog()
	fromStore := func() *Catalog {
		c := New(Options{})
		applyListing(c, now, 7, routed(at(7), 3, "c"))
		return c
	}
	t.Run("from the snapshot, followed by the changes since", func(t *testing.T) {
		g := NewWithT(t)
		c := New(Options{})
		page := source.Snapshot(now)
		page.Unconfirmed = true
		c.BeginListing()
		g.Expect(c.AddPage(now, page)).To(Succeed())
		g.Expect(formerOf(c)).To(Equal("ab"))
		c.Apply(now, Update{Position: at(9), Changes: []Change{routed(at(9), 4, "")}})
		g.Expect(formerOf(c)).To(Equal("abc"))
		g.Expect(c.Have().HistoryFrom).To(Equal(at(6)))
	})
	t.Run("from the first host that it reads after a listing", func(t *testing.T) {
		g := NewWithT(t)
		c := fromStore()
		g.Expect(formerOf(c)).To(BeEmpty())
		view := viewOf(c)
		g.Expect(view.HistoryCompleteAt).To(Equal(now.Add(DefaultRetention)), "what a listing leaves out is unknown")
		g.Expect(follow(c, source, now)).To(BeTrue())
		g.Expect(formerOf(c)).To(Equal("ab"))
		g.Expect(c.Have().HistoryFrom).To(Equal(at(6)))
		g.Expect(viewOf(c).HistoryCompleteAt).To(Equal(start.Add(DefaultRetention)))
		update, ok := source.ChangesSince(now, c.Have())
		g.Expect(ok).To(BeTrue())
		g.Expect(update.History).To(BeNil(), "the history is sent once")
	})
	t.Run("by a listing of a host", func(t *testing.T) {
		g := NewWithT(t)
		c := fromStore()
		c.BeginListing()
		g.Expect(c.AddPage(now, source.Snapshot(now))).To(Succeed())
		g.Expect(formerOf(c)).To(Equal("ab"))
		g.Expect(c.Have().HistoryFrom).To(Equal(at(6)))
	})
	t.Run("not from a host that has seen no more", func(t *testing.T) {
		g := NewWithT(t)
		late := fromStore()
		g.Expect(follow(late, fromStore(), now)).To(BeTrue())
		g.Expect(late.Have().HistoryFrom).To(Equal(at(8)))
		g.Expect(late.offersHistory(source.Have())).To(BeFalse())
	})
}

// viewOf returns the catalog's view.
func viewOf(c *Catalog) View {
	c.viewChanged = true
	view, _ := c.TakeView()
	return view
}

// TestHostLearnsServicesOfConfigurationsThatItMissed covers hosts that skip a version: the
// service that only this version had is allowed as well.
func TestHostLearnsServicesOfConfigurationsThatItMissed(t *testing.T) {
	now := start.Add(3 * time.Second)
	missed := func() *Catalog {
		c := New(Options{})
		applyListing(c, start, 5, routed(at(5), 1, "a"))
		return c
	}
	t.Run("because it reads another host", func(t *testing.T) {
		g := NewWithT(t)
		c := missed()
		g.Expect(follow(c, movedCatalog(), now)).To(BeTrue())
		g.Expect(formerOf(c)).To(Equal("ab"))
		g.Expect(c.Have().HistoryFrom).To(Equal(at(6)))
	})
	t.Run("because the store dropped its history", func(t *testing.T) {
		g := NewWithT(t)
		c := missed()
		applyListing(c, now, 9, routed(at(7), 3, "c"))
		g.Expect(formerOf(c)).To(Equal("a"))
		g.Expect(c.Have().HistoryFrom).To(Equal(at(7)), "a configuration between 5 and 7 is unknown")
		g.Expect(viewOf(c).HistoryCompleteAt).To(Equal(now.Add(DefaultRetention)))
		source := movedCatalog()
		source.Apply(now, Update{Position: at(9)})
		g.Expect(follow(c, source, now)).To(BeTrue())
		g.Expect(formerOf(c)).To(Equal("ab"))
	})
	t.Run("not if the listing shows that there was none", func(t *testing.T) {
		g := NewWithT(t)
		c := missed()
		applyListing(c, now, 9, routed(at(5), 1, "a"))
		g.Expect(c.Have().HistoryFrom).To(Equal(at(6)))
	})
	t.Run("because it was written between two pages of a listing", func(t *testing.T) {
		g := NewWithT(t)
		c := New(Options{})
		c.BeginListing()
		g.Expect(c.AddPage(now, Page{Position: at(5), Next: "op"})).To(Succeed())
		g.Expect(c.AddPage(now, Page{Position: at(7), Changes: []Change{routed(at(7), 3, "c")}})).To(Succeed())
		c.Apply(now, Update{Position: at(7), Changes: []Change{routed(at(6), 2, "b"), routed(at(7), 3, "c")}})
		g.Expect(formerOf(c)).To(Equal("b"))
		g.Expect(c.Have().HistoryFrom).To(Equal(at(6)))
	})
	t.Run("because the store lost it", func(t *testing.T) {
		g := NewWithT(t)
		c := New(Options{})
		applyListing(c, start, 5, routed(at(5), 1, "a"))
		source := movedCatalog()
		for _, host := range []*Catalog{c, source} {
			host.BeginListing()
			g.Expect(host.AddPage(now, Page{Position: restored(5), Current: true, Changes: []Change{routed(restored(5), 1, "a")}})).To(Succeed())
		}
		g.Expect(viewOf(source).HistoryCompleteAt).To(Equal(now.Add(DefaultRetention)), "other hosts may have seen more")
		g.Expect(follow(c, source, now)).To(BeTrue())
		g.Expect(c.Version()).To(BeEquivalentTo(3))
		g.Expect(formerOf(c)).To(Equal("ab"))
	})
}

// TestFormerServicesAreExchangedAfterARestore covers hosts that saw different configurations
// before a restore and then read the store by themselves: their histories begin alike, and the
// positions of what was lost tell nothing. Each tells the other once.
func TestFormerServicesAreExchangedAfterARestore(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(3 * time.Second)
	first, second := New(Options{}), New(Options{})
	for c, service := range map[*Catalog]string{first: "a", second: "b"} {
		applyListing(c, start, 5, routed(at(5), 1, service))
		c.Apply(start, Update{Position: at(6), Changes: []Change{routed(at(6), 2, "c")}})
		listRestored(c, now, restored(8), routed(restored(7), 2, "c"))
	}
	g.Expect(first.Have().HistoryFrom).To(Equal(second.Have().HistoryFrom))
	g.Expect(follow(second, first, now)).To(BeTrue())
	g.Expect(follow(first, second, now)).To(BeTrue())
	for c, other := range map[*Catalog]*Catalog{first: second, second: first} {
		g.Expect(formerOf(c)).To(Equal("ab"))
		update, _ := c.ChangesSince(now, other.Have())
		g.Expect(update.History).To(BeNil())
	}
}

func TestFormerServicesAreBoundedInTime(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Retention: RetentionOf(10 * time.Second)})
	applyListing(c, start, 5, routed(at(5), 1, "a"))
	c.Apply(start, Update{Position: at(6), Changes: []Change{routed(at(6), 2, "b")}})
	// A snapshot that is read later, and a host that learns from it, must not extend the time.
	later := start.Add(14 * time.Second)
	follower := New(Options{Retention: 15 * time.Second})
	follower.BeginListing()
	g.Expect(follower.AddPage(later, c.Snapshot(later))).To(Succeed())
	for _, host := range []*Catalog{c, follower} {
		host.Apply(start.Add(15*time.Second), Update{Position: at(6)})
		g.Expect(formerOf(host)).To(Equal("a"))
		host.viewChanged = false
		host.Apply(start.Add(15*time.Second+time.Millisecond), Update{Position: at(6)})
		g.Expect(host.viewChanged).To(BeTrue())
		g.Expect(formerOf(host)).To(BeEmpty())
	}
}

func TestFormerServicesAreBoundedInNumber(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 5, routed(at(5), 1, "a"))
	completeAt := viewOf(c).HistoryCompleteAt
	for i := range uint64(3) {
		now := start.Add(time.Duration(1+i) * time.Second)
		configuration := &Configuration{Version: 2 + i}
		for port := range uint16(1400) {
			address := netip.AddrPortFrom(movedAddress.Addr(), 1+port)
			configuration.Routes = append(configuration.Routes, Route{Address: address, Shares: []Share{
				{Service: fmt.Sprint("x", i)}, {Service: fmt.Sprint("y", i)},
			}})
		}
		c.Apply(now, Update{Position: at(6 + i), Changes: []Change{{Position: at(6 + i), Configuration: configuration}}})
	}
	g.Expect(c.former).To(HaveLen(maxFormerServices))
	view := viewOf(c)
	g.Expect(view.Former.Has(movedAddress, "a")).To(BeFalse(), "the earliest is dropped")
	g.Expect(view.HistoryCompleteAt).To(Equal(completeAt.Add(2*time.Second)), "what was dropped may still have flows")
}

// TestViewsShareFormerServices guards against work for each change of an upstream.
func TestViewsShareFormerServices(t *testing.T) {
	g := NewWithT(t)
	c := movedCatalog()
	first := viewOf(c)
	c.Apply(start.Add(3*time.Second), Update{Position: at(8), Changes: []Change{registration(8, "u")}})
	g.Expect(viewOf(c).Former).To(BeIdenticalTo(first.Former))
}
