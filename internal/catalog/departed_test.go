package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// departedCatalog returns a catalog with an upstream that drained and left 10 s after start,
// and one that left without a drain.
func departedCatalog() *Catalog {
	c := New(Options{OutageThreshold: time.Minute})
	drained := drainingRegistration(6, "u")
	drained.Upstream.Sequence = 7
	lost := registration(4, "v")
	lost.Upstream.ID = 2
	applyListing(c, start, 5, configuration(2, 1), registration(3, "u"), lost)
	c.Apply(start.Add(10*time.Second), Update{Position: at(8), Changes: []Change{drained, removal(7, "u"), removal(8, "v")}})
	return c
}

// TestStartedHostLearnsDepartedUpstreams guards against a host that takes packets of flows
// at a departed upstream for ones with an unknown token, and drops them.
func TestStartedHostLearnsDepartedUpstreams(t *testing.T) {
	now := start.Add(20 * time.Second)
	source := departedCatalog()
	expectBoth := func(g *WithT, c *Catalog) {
		entries := viewOf(c).Upstreams
		g.Expect(entries).To(HaveLen(2))
		for i, want := range viewOf(source).Upstreams {
			g.Expect(entries[i].Upstream).To(Equal(want.Upstream))
			g.Expect(entries[i].Presence).To(Equal(Departed))
			g.Expect(entries[i].PresenceSince).To(Equal(want.PresenceSince))
		}
		g.Expect(entries[0].Draining).To(BeTrue())
		g.Expect(entries[0].Sequence).To(BeEquivalentTo(7))
	}
	t.Run("from the snapshot", func(t *testing.T) {
		g := NewWithT(t)
		c := New(Options{})
		page := source.Snapshot(now)
		page.Unconfirmed = true
		c.BeginListing()
		g.Expect(c.AddPage(now, page)).To(Succeed())
		expectBoth(g, c)
	})
	t.Run("from the first host that it reads after a listing", func(t *testing.T) {
		g := NewWithT(t)
		c := New(Options{})
		applyListing(c, now, 8, configuration(2, 1))
		g.Expect(viewOf(c).Upstreams).To(BeEmpty())
		g.Expect(follow(c, source, now)).To(BeTrue())
		expectBoth(g, c)
	})
	t.Run("after a watch that showed the removal alone", func(t *testing.T) {
		g := NewWithT(t)
		c := New(Options{})
		applyListing(c, now, 6, configuration(2, 1))
		c.Apply(now, Update{Position: at(8), Changes: []Change{removal(7, "u"), removal(8, "v")}})
		g.Expect(viewOf(c).Upstreams).To(BeEmpty())
		g.Expect(follow(c, source, now)).To(BeTrue())
		for _, e := range viewOf(c).Upstreams {
			g.Expect(e.ID).NotTo(BeZero())
		}
		g.Expect(viewOf(c).Upstreams).To(HaveLen(2))
	})
	t.Run("without extending their time", func(t *testing.T) {
		g := NewWithT(t)
		c := New(Options{})
		c.BeginListing()
		g.Expect(c.AddPage(now, source.Snapshot(now))).To(Succeed())
		c.Apply(start.Add(10*time.Second+DefaultRetention+time.Millisecond), Update{Position: at(8)})
		g.Expect(c.upstreams).To(BeEmpty())
	})
}

// TestHostThatMissedADrainLearnsIt covers a host that had not read of the drain before it
// read of the departure: it must reset the upstream's flows as the other hosts do.
func TestHostThatMissedADrainLearnsIt(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{OutageThreshold: time.Minute})
	applyListing(c, start, 5, configuration(2, 1), registration(3, "u"))
	g.Expect(follow(c, departedCatalog(), start.Add(20*time.Second))).To(BeTrue())
	g.Expect(presenceOf(c, "u")).To(Equal(Departed))
	g.Expect(c.upstreams["u"].Draining).To(BeTrue())
}

// TestStartedHostKnowsLapsedUpstreams guards against a host that drops the packets of open
// flows because it started while their upstream had no registration after an outage.
func TestStartedHostKnowsLapsedUpstreams(t *testing.T) {
	g := NewWithT(t)
	source := New(Options{})
	applyListing(source, start, 5, configuration(2, 1), registration(3, "u"))
	now := start.Add(10 * time.Second)
	source.Apply(now, Update{Position: at(6), Changes: []Change{removal(6, "u")}})
	g.Expect(presenceOf(source, "u")).To(Equal(Lapsed))
	c := New(Options{})
	c.BeginListing()
	g.Expect(c.AddPage(now, source.Snapshot(now))).To(Succeed())
	g.Expect(viewOf(c).Upstreams).To(HaveLen(1))
}
