package feed

import (
	"maps"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// partnerSlots is the maximum number of slots of a partnerSet. Only the first hosts of a
	// data centre use all of them; the others use localSlots.
	partnerSlots = 3
	// localSlots is the number of slots of a host that has partners in its own data centre
	// only.
	localSlots = 2
	// gateways is the number of hosts of a data centre that have partners in others, so
	// that few bytes cross between data centres. With one, the loss of that host would cut
	// its data centre off.
	gateways = 2
	// reserves is the number of hosts after the gateways that ask, in turn, a gateway of their
	// own data centre and one of another. With gateways alone, a data centre is behind for
	// seconds if both answer although nothing reaches them.
	reserves = 6
	// fixedPartners is the number of partners that a slot asks in turn while they answer.
	// More of them would be asked so rarely that they tell this host of few changes.
	fixedPartners = 3
	// reservePartners is the same of the slot in which a reserve asks gateways.
	reservePartners = 2
)

// partnerSet decides which partners a host asks whether they know more. The partners are
// fixed: they depend on the order of the hosts, and each host is the partner of about as
// many hosts as it has partners.
type partnerSet struct {
	self, dataCentre string
	slots            [partnerSlots]partnerSlot
	// turn is the number of partners asked in turn so far.
	turn int
	// failures is the number of partners that have not answered since the last answer.
	failures int
	// cooldownUntil holds the end of the last cooldown of each failed partner by name.
	cooldownUntil map[string]time.Time
}

// partnerSlot holds the partners that are asked one after the other.
type partnerSlot struct {
	// candidates are the possible partners, the preferred ones first.
	candidates []catalog.Host
	// fixed is the number of usable candidates that are asked in turn.
	fixed int
	// turn is the number of partners asked so far.
	turn int
}

func newPartnerSet(self, dataCentre string) *partnerSet {
	return &partnerSet{self: self, dataCentre: dataCentre, cooldownUntil: make(map[string]time.Time)}
}

// setHosts replaces the known hosts, which must be in the order of catalog.View.Hosts.
func (s *partnerSet) setHosts(hosts []catalog.Host) {
	var local []catalog.Host
	own := -1 // the index of this host in its data centre
	remote := make(map[string][]catalog.Host)
	for _, h := range hosts {
		switch {
		case h.DataCentre != s.dataCentre:
			if len(remote[h.DataCentre]) < gateways {
				remote[h.DataCentre] = append(remote[h.DataCentre], h)
			}
			continue
		case h.Name == s.self:
			own = len(local)
		}
		local = append(local, h)
	}
	neighbours := localPartners(local, own)
	for i := range s.slots {
		p := &s.slots[i]
		p.candidates, p.fixed = nil, fixedPartners
		switch {
		case own >= 0 && own < gateways && len(remote) > 0:
			s.setGatewayCandidates(p, neighbours, remote, own*partnerSlots+i, i)
		case own >= gateways && own < gateways+reserves && len(remote) > 0 && i == partnerSlots-1:
			p.candidates = slices.Insert(s.remoteCandidates(remote, own), 1, local[(own+1)%gateways], local[own%gateways])
			p.fixed = reservePartners
		case i < localSlots:
			for j := i; j < len(neighbours); j += localSlots {
				p.candidates = append(p.candidates, neighbours[j])
			}
		}
	}
	s.forgetDeparted()
}

// setGatewayCandidates sets the candidates of a slot of a gateway. The other data centres are
// spread over the slots of all gateways of this one by the number place, so that with up to
// seven each has a slot of its own. The last slot, and those beyond the number of other data
// centres, ask local hosts as well.
func (s *partnerSet) setGatewayCandidates(p *partnerSlot, neighbours []catalog.Host, remote map[string][]catalog.Host, place, slot int) {
	p.candidates = s.remoteCandidates(remote, place)
	first := 1
	for first < len(p.candidates) && p.candidates[first].DataCentre == p.candidates[0].DataCentre {
		first++
	}
	switch {
	case slot >= len(remote):
		p.candidates = append(slices.Clone(neighbours), p.candidates...)
	case slot == partnerSlots-1 && len(neighbours) > 0:
		p.candidates = slices.Insert(p.candidates, first, neighbours...)
		p.fixed = first + 1
	default:
		p.fixed = first
	}
}

// remoteCandidates returns the gateways of other data centres. The place decides which data
// centre and which gateway is first.
func (s *partnerSet) remoteCandidates(remote map[string][]catalog.Host, place int) []catalog.Host {
	var candidates []catalog.Host
	names := slices.Sorted(maps.Keys(remote))
	after, _ := slices.BinarySearch(names, s.dataCentre)
	for k := range names {
		centre := remote[names[(after+place+k)%len(names)]]
		for j := range centre {
			candidates = append(candidates, centre[(place/partnerSlots+j)%len(centre)])
		}
	}
	return candidates
}

// asking returns the number of slots that have candidates, at least one.
func (s *partnerSet) asking() int {
	n := 0
	for i := range s.slots {
		if len(s.slots[i].candidates) > 0 {
			n++
		}
	}
	return max(n, 1)
}

// localPartners returns the local hosts other than the parent of the one with the index, in
// the order in which it prefers them: first those of other branches of the tree. For each
// place in the order, every host has another partner.
func localPartners(local []catalog.Host, own int) []catalog.Host {
	n := len(local)
	if own < 0 {
		own = n // as if it followed the last one
	}
	step := max(1, n*5/13) // far apart in the order, and so mostly in other branches
	for gcd(step, n) > 1 {
		step++
	}
	var near, far, root []catalog.Host
	for k := 1; k <= n; k++ {
		i := (own + k*step) % n
		switch {
		case i == own || own > 0 && i == (own-1)/fanOut:
		case i == 0:
			root = append(root, local[i]) // it has the most followers
		case branch(i) == branch(own):
			near = append(near, local[i])
		default:
			far = append(far, local[i])
		}
	}
	return append(append(far, near...), root...)
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// branch returns the index of the follower of the first host through which the host with
// the index reads it; 0 for the first host.
func branch(index int) int {
	for index > fanOut {
		index = (index - 1) / fanOut
	}
	return index
}

// forgetDeparted deletes the cooldowns of hosts that are not candidates.
func (s *partnerSet) forgetDeparted() {
	cooldownUntil := make(map[string]time.Time)
	for i := range s.slots {
		for _, h := range s.slots[i].candidates {
			if until, ok := s.cooldownUntil[h.Name]; ok {
				cooldownUntil[h.Name] = until
			}
		}
	}
	s.cooldownUntil = cooldownUntil
}

// next returns the partner to ask next, or nil if there is none. The slots take turns.
func (s *partnerSet) next(now time.Time) *catalog.Host {
	for range s.slots {
		slot := s.turn % len(s.slots)
		s.turn++
		if h := s.nextOf(now, slot); h != nil {
			s.slots[slot].turn++
			return h
		}
	}
	return nil
}

// nextOf returns the partner that the slot asks next, or nil if there is none.
func (s *partnerSet) nextOf(now time.Time, slot int) *catalog.Host {
	p := &s.slots[slot]
	usable := make([]*catalog.Host, 0, fixedPartners)
	for i := range p.candidates {
		h := &p.candidates[i]
		if until, ok := s.cooldownUntil[h.Name]; len(usable) < p.fixed && (!ok || !now.Before(until)) {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[p.turn%len(usable)]
}

// nextOfEach returns the partners that the slots ask next, without repetition.
func (s *partnerSet) nextOfEach(now time.Time) []catalog.Host {
	var partners []catalog.Host
	for slot := range s.slots {
		h := s.nextOf(now, slot)
		if h != nil && !slices.ContainsFunc(partners, func(p catalog.Host) bool { return p.Name == h.Name }) {
			partners = append(partners, *h)
		}
	}
	return partners
}

// recordAnswer records that a partner has answered.
func (s *partnerSet) recordAnswer() { s.failures = 0 }

// recordFailure records that the named partner has not answered.
func (s *partnerSet) recordFailure(now time.Time, name string) {
	s.cooldownUntil[name] = now.Add(peerCooldown)
	s.failures++
}
