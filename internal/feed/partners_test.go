package feed

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// deployment returns hosts of several data centres, in the order of a view.
func deployment(dataCentres, perDataCentre int) []catalog.Host {
	var hosts []catalog.Host
	for i := range perDataCentre {
		for d := range dataCentres {
			hosts = append(hosts, catalog.Host{Name: fmt.Sprintf("dc%d-%d", d, i), DataCentre: fmt.Sprintf("dc%d", d)})
		}
	}
	return hosts
}

func newTestPartners(h catalog.Host, hosts []catalog.Host) *partnerSet {
	s := newPartnerSet(h.Name, h.DataCentre)
	s.setHosts(hosts)
	return s
}

// partnersInTurn returns the names that the slot asks while all answer.
func partnersInTurn(s *partnerSet, slot int) map[string]bool {
	names := make(map[string]bool)
	for range 2 * fixedPartners {
		h, _ := s.next(start, slot)
		if h == nil {
			break
		}
		names[h.Name] = true
		s.recordAnswer(slot)
	}
	return names
}

// TestPartnersAreFewAndSpread guards against hosts that many others ask, connections between
// data centres from most hosts, and partners behind the same source.
func TestPartnersAreFewAndSpread(t *testing.T) {
	hosts := deployment(7, 61)
	asked := make(map[string]int)
	for i, h := range hosts {
		rank := i / 7
		s := newTestPartners(h, hosts)
		for slot := range PartnerSlots {
			for name := range partnersInTurn(s, slot) {
				asked[name]++
				remote := name[:3] != h.DataCentre
				switch {
				case name == h.Name:
					t.Errorf("%s asks itself", name)
				case remote && rank >= gateways+reserves:
					t.Errorf("%s asks %s of another data centre", h.Name, name)
				case remote && !strings.HasSuffix(name, "-0") && !strings.HasSuffix(name, "-1"):
					t.Errorf("%s asks %s, which is no gateway", h.Name, name)
				}
			}
		}
	}
	for name, n := range asked {
		if n > 18 { // reserves ask a gateway half as often as its other partners
			t.Errorf("%s is asked by %d hosts, want at most 18", name, n)
		}
	}
	first, second := newTestPartners(hosts[0], hosts), newTestPartners(hosts[7], hosts)
	remote := make(map[string]bool)
	for _, s := range []*partnerSet{first, second} {
		for slot := range PartnerSlots {
			h, _ := s.next(start, slot)
			remote[h.DataCentre] = true
		}
	}
	if len(remote) != 6 {
		t.Errorf("the gateways ask the data centres %v first, want all 6 others", remote)
	}
}

func TestFailedPartnerIsReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	hosts := deployment(1, 20)
	s := newTestPartners(hosts[10], hosts)
	first, wait := s.next(start, 0)
	g.Expect(wait).To(Equal(partnerWait))
	g.Expect(s.recordFailure(start, 0, first)).To(BeZero())
	second, wait := s.next(start, 0)
	g.Expect(second.Name).NotTo(Equal(first.Name))
	g.Expect(wait).To(BeZero(), "whether it is alive must be known soon")
	for range quickFailures {
		h, _ := s.next(start, 0)
		s.recordFailure(start, 0, h)
	}
	h, _ := s.next(start, 0)
	g.Expect(s.recordFailure(start, 0, h)).To(Equal(failureGap), "calls are bounded while most hosts fail")
	s.recordAnswer(0)
	h, wait = s.next(start.Add(peerCooldown), 0)
	g.Expect(h).NotTo(BeNil())
	g.Expect(wait).To(Equal(partnerWait))
}

// TestReserveAsksOtherDataCentres guards against a data centre whose two gateways answer
// although nothing reaches them.
func TestReserveAsksOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	hosts := deployment(3, 10)
	for rank := gateways; rank < gateways+reserves; rank++ {
		s := newTestPartners(hosts[3*rank], hosts)
		local, remote := 0, 0
		for name := range partnersInTurn(s, PartnerSlots-1) {
			if strings.HasPrefix(name, "dc0-") {
				local++
			} else {
				remote++
			}
		}
		g.Expect([]int{local, remote}).To(Equal([]int{1, 1}))
	}
}

func TestSmallDeploymentsHavePartnersWherePossible(t *testing.T) {
	tests := []struct {
		name                       string
		dataCentres, perDataCentre int
		partners                   bool
	}{
		{"one host", 1, 1, false},
		{"one host in each data centre", 3, 1, true},
		{"two hosts", 1, 2, true},
		{"two in each of two", 2, 2, true},
		{"ten hosts", 1, 10, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts := deployment(test.dataCentres, test.perDataCentre)
			for i, h := range append(hosts, catalog.Host{Name: "new", DataCentre: "dc0"}) {
				s := newTestPartners(h, hosts)
				found := false
				for slot := range PartnerSlots {
					next, _ := s.next(start, slot)
					found = found || next != nil
				}
				// The only other host of its data centre is the source of the second one.
				onlySource := test.dataCentres == 1 && (test.perDataCentre == 2 && i == 1)
				if i < len(hosts) && found != (test.partners && !onlySource) {
					t.Errorf("%s has partners: %t", h.Name, found)
				}
			}
		})
	}
}

// partnerFeed returns a feed of the host a-0 that has listed the store.
func partnerFeed(t *testing.T) *testFeed {
	f := newTestFeed(t)
	f.poll()
	return f
}

func (f *testFeed) ask() time.Duration { return f.feed.askPartner(context.Background(), 0) }

// TestPartnerThatKnowsMoreIsRead covers a source that is silent or behind.
func TestPartnerThatKnowsMoreIsRead(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	f.peer.progress = catalog.Progress{Have: catalog.Have{Position: at(7), Version: 1}, Newest: at(7)}
	f.ask()
	g.Expect(f.peer.watches).To(BeEmpty(), "it knows the same")
	f.peer.progress = catalog.Progress{Have: catalog.Have{Position: at(9), Version: 2}, Newest: at(9)}
	f.peer.update = catalog.Update{Position: at(9), Changes: []catalog.Change{{Position: at(9), Configuration: &catalog.Configuration{Version: 2}}}}
	g.Expect(f.ask()).To(BeZero())
	g.Expect(f.peer.watches).To(Equal([]uint64{7}))
	g.Expect(f.views[len(f.views)-1].Configuration.Version).To(BeEquivalentTo(2))
	g.Expect(f.feed.Behind()).To(BeZero())
}

func TestReadWithoutUseIsNotRepeatedAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	f.peer.progress = catalog.Progress{Have: catalog.Have{Position: at(9), Version: 2}, Newest: at(9)}
	f.peer.update = catalog.Update{Position: at(7)}
	g.Expect(f.ask()).To(Equal(fruitlessGap))
	f.now = f.now.Add(time.Second)
	g.Expect(f.feed.Behind()).To(BeNumerically(">=", time.Second))
}

// TestAnswersOverlap covers answers of the store to calls from before a partner was read.
func TestAnswersOverlap(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	overtake := func() {
		f.peer.update = catalog.Update{Position: at(20), Changes: []catalog.Change{{Position: at(18), Configuration: &catalog.Configuration{Version: 5}}}}
		g.Expect(f.feed.readHost(context.Background(), f.peer)).To(Succeed())
	}
	f.store.during = overtake
	f.store.update = catalog.Update{Position: at(9), Changes: []catalog.Change{{Position: at(9), Delta: &catalog.Delta{Base: 4, Version: 6}}}}
	f.poll()
	g.Expect(f.store.lists).To(HaveLen(1), "a delta for another base is no reason for a listing")
	g.Expect(f.feed.have().Position).To(Equal(at(20)))

	f.feed.restartListing()
	f.store.during = func() {
		f.peer.update = catalog.Update{Position: at(40), Changes: []catalog.Change{{Position: at(40), Removed: "u"}}}
		g.Expect(f.feed.readHost(context.Background(), f.peer)).To(Succeed())
	}
	f.store.pages[""] = catalog.Page{Position: at(30), Current: true, Changes: f.store.pages[""].Changes}
	f.poll()
	g.Expect(f.feed.have().Position).To(Equal(at(40)))
	g.Expect(f.feed.catalog.RestoredAt().IsZero()).To(BeTrue(), "a listing that took long shows no restore of the store")
}

// TestStalePartnerIsKeptInAnOutage guards against hosts that leave all their partners, and so
// open connections to ever more hosts, because the store answers nobody.
func TestStalePartnerIsKeptInAnOutage(t *testing.T) {
	g := NewWithT(t)
	f := partnerFeed(t)
	f.peer.age = time.Minute
	f.ask()
	g.Expect(f.feed.partners.cooldownUntil).To(HaveLen(1), "the store answers this host, so the partner is cut off from it")
	f.feed.partners.cooldownUntil = make(map[string]time.Time)
	f.now = f.now.Add(time.Minute)
	f.ask()
	g.Expect(f.feed.partners.cooldownUntil).To(BeEmpty())
	_, _, complete := f.feed.Progress()
	g.Expect(complete).To(BeTrue())
	f.feed.partners.slots[0].failures = isolatedFailures
	known, _, _ := f.feed.Progress()
	g.Expect(known.Isolated).To(BeFalse(), "a partner has just answered")
	f.now = f.now.Add(2 * time.Second)
	f.feed.partners.slots[1].failures = isolatedFailures
	f.feed.partners.slots[2].failures = isolatedFailures
	known, _, _ = f.feed.Progress()
	g.Expect(known.Isolated).To(BeTrue())
}
