package catalog

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

// at returns the position of the revision in the first epoch.
func at(revision uint64) Position { return Position{Revision: revision} }

func upstream(name string) *Upstream {
	return &Upstream{ID: 1, Name: name, Service: "desk", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3}
}

func registration(revision uint64, name string) Change {
	return Change{Position: at(revision), Upstream: upstream(name)}
}

func drainingRegistration(revision uint64, name string) Change {
	u := upstream(name)
	u.Draining = true
	return Change{Position: at(revision), Upstream: u}
}

func removal(revision uint64, name string) Change {
	return Change{Position: at(revision), Removed: name}
}

func configuration(revision, version uint64) Change {
	return Change{Position: at(revision), Configuration: &Configuration{Version: version}}
}

// applyListing merges a listing that consists of one page.
func applyListing(c *Catalog, now time.Time, position uint64, changes ...Change) {
	c.BeginListing()
	c.AddPage(now, Page{Position: at(position), Changes: changes})
}

// presenceOf returns the presence of an upstream, or zero if it is unknown.
func presenceOf(c *Catalog, name string) Presence {
	if e := c.upstreams[name]; e != nil {
		return e.Presence
	}
	return 0
}

func TestConfigurationNeverReverts(t *testing.T) {
	tests := []struct {
		name    string
		changes []Change
		want    uint64
	}{
		{"newer version is adopted", []Change{configuration(5, 2), configuration(6, 4)}, 4},
		{"older version at a later revision is ignored", []Change{configuration(5, 4), configuration(6, 2)}, 4},
		{"newer version at an older revision is ignored", []Change{configuration(6, 4), configuration(5, 9)}, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := New(Options{})
			c.Apply(start, Update{Changes: test.changes, Position: at(9)})
			if got := c.Version(); got != test.want {
				t.Errorf("version %d, want %d", got, test.want)
			}
		})
	}
	t.Run("stale listing is ignored", func(t *testing.T) {
		c := New(Options{})
		c.Apply(start, Update{Changes: []Change{configuration(8, 4)}, Position: at(8)})
		applyListing(c, start, 5, configuration(4, 3))
		if got := c.Version(); got != 4 {
			t.Errorf("version %d, want 4", got)
		}
	})
}

// TestConfigurationIsRefusedOnce guards against a log line for each answer that delivers the
// same refused configuration: the watch of the operator's records, that of all, and listings.
func TestConfigurationIsRefusedOnce(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 5, configuration(5, 4))
	c.TakeEvents()
	c.ApplyOperator(start, []Change{configuration(7, 3)})
	c.Apply(start, Update{Position: at(7), Changes: []Change{configuration(7, 3)}})
	applyListing(c, start, 8, configuration(7, 3))
	g.Expect(c.TakeEvents()).To(HaveLen(1))
	c.Apply(start, Update{Position: at(9), Changes: []Change{configuration(9, 3)}})
	g.Expect(c.TakeEvents()).To(HaveLen(1), "the operator has written it again")
}

func TestRemovalIsKeptUntilRetentionEnds(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	c.Apply(start, Update{Changes: []Change{registration(3, "a"), removal(4, "a")}, Position: at(4)})
	g.Expect(presenceOf(c, "a")).To(Equal(Departed))
	c.Apply(start, Update{Changes: []Change{registration(2, "a")}, Position: at(4)})
	g.Expect(presenceOf(c, "a")).To(Equal(Departed), "an older registration must be ignored")
	c.Apply(start, Update{Changes: []Change{registration(7, "a")}, Position: at(7)})
	g.Expect(presenceOf(c, "a")).To(Equal(Registered))
	c.Apply(start.Add(time.Second), Update{Changes: []Change{removal(8, "a")}, Position: at(8)})
	c.Apply(start.Add(time.Second+DefaultRetention+time.Millisecond), Update{Position: at(9)})
	g.Expect(presenceOf(c, "a")).To(BeZero())
}

func TestListingRemovesMissingRegistrations(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	c.Apply(start, Update{Changes: []Change{registration(3, "a"), registration(9, "b")}, Position: at(9)})
	applyListing(c, start.Add(time.Second), 7)
	g.Expect(presenceOf(c, "a")).To(Equal(Departed))
	g.Expect(presenceOf(c, "b")).To(Equal(Registered), "it registered after the listing started")
}

func TestListingWithSeveralPages(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	c.Apply(start, Update{Changes: []Change{registration(3, "a"), registration(3, "b")}, Position: at(3)})
	c.BeginListing()
	c.AddPage(start, Page{Position: at(5), Next: "a", Changes: []Change{registration(3, "a")}})
	g.Expect(presenceOf(c, "b")).To(Equal(Registered), "the listing is not complete")
	c.AddPage(start, Page{Position: at(6), Changes: []Change{registration(6, "c")}})
	g.Expect(presenceOf(c, "b")).To(Equal(Departed))
	g.Expect(presenceOf(c, "c")).To(Equal(Registered))
	g.Expect(c.Position()).To(Equal(at(5)), "changes made while the pages were read must still be fetched")
}

func TestRegistrationsLapseDuringStoreOutage(t *testing.T) {
	listAfterOutage := func() (*Catalog, time.Time) {
		c := New(Options{OutageThreshold: 2 * time.Second})
		c.Apply(start, Update{Changes: []Change{registration(3, "a"), drainingRegistration(4, "b")}, Position: at(4)})
		recovered := start.Add(6 * time.Second)
		applyListing(c, recovered, 9)
		return c, recovered
	}
	t.Run("stay in use during the grace period", func(t *testing.T) {
		g := NewWithT(t)
		c, _ := listAfterOutage()
		g.Expect(presenceOf(c, "a")).To(Equal(Lapsed))
		g.Expect(presenceOf(c, "b")).To(Equal(Lapsed), "a draining upstream may still serve its open flows")
	})
	t.Run("depart if not renewed", func(t *testing.T) {
		g := NewWithT(t)
		c, recovered := listAfterOutage()
		c.Apply(recovered.Add(RecoveryGracePeriod/2), Update{Position: at(9)})
		g.Expect(presenceOf(c, "a")).To(Equal(Lapsed))
		c.Apply(recovered.Add(RecoveryGracePeriod), Update{Position: at(10)})
		g.Expect(presenceOf(c, "a")).To(Equal(Departed))
		g.Expect(presenceOf(c, "b")).To(Equal(Departed))
	})
	t.Run("are in use again once renewed", func(t *testing.T) {
		g := NewWithT(t)
		c, recovered := listAfterOutage()
		c.Apply(recovered.Add(time.Second), Update{Changes: []Change{registration(12, "a")}, Position: at(12)})
		c.Apply(recovered.Add(RecoveryGracePeriod), Update{Position: at(13)})
		g.Expect(presenceOf(c, "a")).To(Equal(Registered))
	})
}

func TestHeartbeatDoesNotChangeView(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	c.Apply(start, Update{Changes: []Change{configuration(1, 1), registration(3, "a")}, Position: at(3)})
	_, changed := c.TakeView()
	g.Expect(changed).To(BeTrue())
	c.Apply(start, Update{Changes: []Change{registration(4, "a")}, Position: at(4)})
	_, changed = c.TakeView()
	g.Expect(changed).To(BeFalse())
	c.Apply(start, Update{Changes: []Change{drainingRegistration(5, "a")}, Position: at(5)})
	view, changed := c.TakeView()
	g.Expect(changed).To(BeTrue())
	g.Expect(view.Upstreams).To(HaveLen(1))
	g.Expect(view.Upstreams[0].Draining).To(BeTrue())
}

func TestHostsAreSortedByJoinOrder(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	host := func(name string, joined uint64) Change {
		return Change{Position: at(joined), Host: &Host{Name: name, Joined: joined}}
	}
	c.Apply(start, Update{Changes: []Change{host("z", 2), host("a", 5), host("m", 3)}, Position: at(5)})
	view, _ := c.TakeView()
	g.Expect(hostNames(view.Hosts)).To(Equal([]string{"z", "m", "a"}))
	c.Apply(start, Update{Changes: []Change{{Position: at(6), HostRemoved: "z"}}, Position: at(6)})
	view, _ = c.TakeView()
	g.Expect(hostNames(view.Hosts)).To(Equal([]string{"m", "a"}))
}

func hostNames(hosts []Host) []string {
	var names []string
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	return names
}
