package feed

import (
	"fmt"
	"strings"
	"testing"

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

// partnersInTurn returns the names that the slot asks in turn.
func partnersInTurn(s *partnerSet, slot int) map[string]bool {
	names := make(map[string]bool)
	for range 2 * fixedPartners {
		h := s.nextOf(start, slot)
		if h == nil {
			break
		}
		names[h.Name] = true
		s.slots[slot].turn++
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
		for slot := range partnerSlots {
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
		for slot := range partnerSlots {
			h := s.nextOf(start, slot)
			remote[h.DataCentre] = true
		}
	}
	if len(remote) != 6 {
		t.Errorf("the gateways ask the data centres %v first, want all 6 others", remote)
	}
}

func TestFailedPartnerIsReplaced(t *testing.T) {
	g := NewWithT(t)
	hosts := deployment(1, 20)
	s := newTestPartners(hosts[10], hosts)
	first := s.nextOf(start, 0).Name
	s.recordFailure(start, first)
	g.Expect(partnersInTurn(s, 0)).NotTo(HaveKey(first))
	g.Expect(s.nextOf(start.Add(peerCooldown), 0).Name).To(Equal(first))
	turns := make(map[string]int)
	for range 4 * fixedPartners {
		turns[s.next(start).Name]++
	}
	for name, n := range turns {
		g.Expect(n).To(Equal(2), name)
	}
	g.Expect(turns).To(HaveLen(localSlots * fixedPartners))
}

// TestReserveAsksOtherDataCentres guards against a data centre whose two gateways answer
// although nothing reaches them.
func TestReserveAsksOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	hosts := deployment(3, 10)
	for rank := gateways; rank < gateways+reserves; rank++ {
		s := newTestPartners(hosts[3*rank], hosts)
		local, remote := 0, 0
		for name := range partnersInTurn(s, partnerSlots-1) {
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
				for slot := range partnerSlots {
					found = found || s.nextOf(start, slot) != nil
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
