package feed

import (
	"maps"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// PartnerSlots is the number of partners that a host asks at a time. Only the first hosts
// of a data centre use all of them; the others use localSlots.
const PartnerSlots = 3

const (
	// localSlots is the number of slots of a host that has partners in its own data centre
	// only.
	localSlots = 2
	// gateways is the number of hosts of a data centre that have partners in others, so
	// that few connections and bytes cross between data centres. With one, the loss of that
	// host would cut its data centre off.
	gateways = 2
	// reserves is the number of hosts after the gateways that ask, in turn, a gateway of their
	// own data centre and one of another. With gateways alone, a data centre is behind for
	// seconds if both answer although nothing reaches them.
	reserves = 6
	// fixedPartners is the number of partners that a slot asks in turn. A new partner costs
	// a TLS handshake, so others are asked only while these fail.
	fixedPartners = 3
	// reservePartners is the same of the slot in which a reserve asks gateways.
	reservePartners = 2
	// partnerWait is how long a partner holds a call while it knows nothing new.
	partnerWait = 800 * time.Millisecond
	// partnerSlack is the time beyond that for the answer to arrive. It bounds how long a
	// silent partner blocks a slot.
	partnerSlack = 200 * time.Millisecond
	// partnerGap is the minimum time between two calls of a slot to partners that answer.
	partnerGap = 250 * time.Millisecond
	// quickFailures is the number of failed calls after which a slot asks the next partner
	// at once. It then waits for failureGap, which limits the calls while most hosts fail.
	quickFailures = 4
	failureGap    = 500 * time.Millisecond
	// isolatedFailures is the number of failed calls of each slot after which a host takes
	// itself to be cut off.
	isolatedFailures = 2
	// idleGap is how long a slot waits while there is no partner.
	idleGap = 500 * time.Millisecond
)

// partnerSet decides which partners a host asks whether they know more. The partners are
// fixed: they depend on the order of the hosts, and each host is the partner of about as
// many hosts as it has partners.
type partnerSet struct {
	self, dataCentre string
	slots            [PartnerSlots]partnerSlot
	// cooldownUntil holds the end of the last cooldown of each failed partner by name.
	cooldownUntil map[string]time.Time
}

// partnerSlot holds the partners that are asked one after the other.
type partnerSlot struct {
	// candidates are the possible partners, the preferred ones first.
	candidates []catalog.Host
	// fixed is the number of usable candidates that are asked in turn.
	fixed int
	// turn counts the calls that were answered, and failures those that failed since.
	turn, failures int
	// probe is set if the next partner is to answer at once.
	probe bool
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
			s.setGatewayCandidates(p, neighbours, remote, own*PartnerSlots+i, i)
		case own >= gateways && own < gateways+reserves && len(remote) > 0 && i == PartnerSlots-1:
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
	case slot == PartnerSlots-1 && len(neighbours) > 0:
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
			candidates = append(candidates, centre[(place/PartnerSlots+j)%len(centre)])
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

// failing reports whether no slot has had an answer lately.
func (s *partnerSet) failing() bool {
	failing := false
	for i := range s.slots {
		if len(s.slots[i].candidates) == 0 {
			continue
		}
		if s.slots[i].failures < isolatedFailures {
			return false
		}
		failing = true
	}
	return failing
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

// next returns the partner that the slot asks next, or nil if there is none, and how long
// the partner may hold the call.
func (s *partnerSet) next(now time.Time, slot int) (*catalog.Host, time.Duration) {
	p := &s.slots[slot]
	usable := make([]*catalog.Host, 0, fixedPartners)
	for i := range p.candidates {
		h := &p.candidates[i]
		if until, ok := s.cooldownUntil[h.Name]; len(usable) < p.fixed && (!ok || !now.Before(until)) {
			usable = append(usable, h)
		}
	}
	n := len(usable)
	switch {
	case n == 0:
		return nil, 0
	case p.failures > 0 || p.probe:
		return usable[p.turn%n], 0 // its answer tells at once whether it is alive
	default:
		return usable[p.turn%n], partnerWait
	}
}

// recordAnswer records that the partner answered the slot, which turns to the next one.
func (s *partnerSet) recordAnswer(slot int) {
	s.slots[slot].turn++
	s.slots[slot].failures, s.slots[slot].probe = 0, false
}

// recordFailure records that the partner did not answer the slot. It returns the delay
// before the next call.
func (s *partnerSet) recordFailure(now time.Time, slot int, h *catalog.Host) time.Duration {
	s.cooldownUntil[h.Name] = now.Add(peerCooldown)
	p := &s.slots[slot]
	p.failures++
	p.probe = false
	if p.failures < quickFailures {
		return 0
	}
	return failureGap
}
