package config

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// Sizes of a host's peer set. They do not depend on the size of the fleet.
const (
	// localSuccessors follow the host on the ring of its data centre, which connects
	// the data centre whatever the random choice.
	localSuccessors = 2
	// localRandom are chosen by a hash of both names.
	localRandom = 4
	// remoteSuccessors follow the host on the ring of all other data centres' hosts.
	remoteSuccessors = 1
	// remoteRandom are chosen by a hash of both names.
	remoteRandom = 2
)

// peerSet is the part of the fleet that a host exchanges configurations with.
type peerSet struct {
	local  []host.ID
	remote []host.ID
	// rank is the host's position in the order in which hosts of its data centre
	// take the duty to watch the platform.
	rank int
}

// newPeerSet chooses the peers of self from the view.
func newPeerSet(self host.Host, view membership.View) peerSet {
	var local, remote []host.ID
	for _, member := range view.Members {
		switch {
		case member.State == membership.Dead || member.Host.ID == self.ID:
		case member.Host.DataCentre == self.DataCentre:
			local = append(local, member.Host.ID)
		default:
			remote = append(remote, member.Host.ID)
		}
	}
	return peerSet{
		local:  choose(self.ID, local, localSuccessors, localRandom),
		remote: choose(self.ID, remote, remoteSuccessors, remoteRandom),
		rank:   watchRank(self.ID, local),
	}
}

// choose returns the successors of self in ID order and the hosts with the lowest scores.
func choose(self host.ID, from []host.ID, successors, random int) []host.ID {
	slices.Sort(from)
	from = slices.Compact(from)
	if len(from) <= successors+random {
		return from
	}
	after, _ := slices.BinarySearch(from, self)
	var chosen []host.ID
	for i := range successors {
		chosen = append(chosen, from[(after+i)%len(from)])
	}
	byScore := slices.Clone(from)
	slices.SortFunc(byScore, func(a, b host.ID) int {
		return cmp.Or(cmp.Compare(score(self, a), score(self, b)), strings.Compare(string(a), string(b)))
	})
	for _, id := range byScore {
		if len(chosen) == successors+random {
			break
		}
		if !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// watchRank counts the hosts of the data centre that come before self.
func watchRank(self host.ID, local []host.ID) int {
	rank := 0
	own := score("", self)
	for _, id := range local {
		if score("", id) < own {
			rank++
		}
	}
	return rank
}

func score(a, b host.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash over the whole word (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (p peerSet) all() []host.ID { return slices.Concat(p.local, p.remote) }
