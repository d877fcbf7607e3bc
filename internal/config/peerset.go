package config

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// Numbers of peers in a host's peer set, independent of the number of hosts.
const (
	// localSuccessors is the number of hosts that follow the host on the ring of its data
	// centre, sorted by ID. The ring keeps the hosts of a data centre connected whatever
	// hosts are chosen by hash.
	localSuccessors = 2
	// localHashed is the number of hosts of the data centre chosen by a hash of both IDs.
	localHashed = 4
	// remoteSuccessors is the number of hosts that follow the host on the ring of the hosts
	// of all other data centres.
	remoteSuccessors = 1
	// remoteHashed is the number of hosts of other data centres chosen by a hash of both IDs.
	remoteHashed = 2
)

// peerSet is the set of hosts that a host exchanges configurations with.
type peerSet struct {
	local  []host.ID
	remote []host.ID
	// rank is the host's position in the order in which the hosts of its data centre become
	// watchers of the platform.
	rank int
}

// newPeerSet chooses the peers of self from the members of the view that are not dead.
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
		local:  choosePeers(self.ID, local, localSuccessors, localHashed),
		remote: choosePeers(self.ID, remote, remoteSuccessors, remoteHashed),
		rank:   watchRank(self.ID, local),
	}
}

// choosePeers returns the successors of self in ID order and, of the others, the hosts with the
// lowest hash of both IDs. It returns all hosts if there are not more. It sorts from in place.
func choosePeers(self host.ID, from []host.ID, successors, hashed int) []host.ID {
	slices.Sort(from)
	from = slices.Compact(from)
	if len(from) <= successors+hashed {
		return from
	}
	after, _ := slices.BinarySearch(from, self)
	var chosen []host.ID
	for i := range successors {
		chosen = append(chosen, from[(after+i)%len(from)])
	}
	byHash := slices.Clone(from)
	slices.SortFunc(byHash, func(a, b host.ID) int {
		return cmp.Or(cmp.Compare(pairHash(self, a), pairHash(self, b)), strings.Compare(string(a), string(b)))
	})
	for _, id := range byHash {
		if len(chosen) == successors+hashed {
			break
		}
		if !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// watchRank returns the number of other hosts of the data centre whose hash is lower than that
// of self.
func watchRank(self host.ID, local []host.ID) int {
	rank := 0
	own := pairHash("", self)
	for _, id := range local {
		if pairHash("", id) < own {
			rank++
		}
	}
	return rank
}

// pairHash returns a hash of the ordered pair of IDs.
func pairHash(a, b host.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64, which spreads the bits of a hash over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// all returns the local and then the remote peers.
func (p peerSet) all() []host.ID { return slices.Concat(p.local, p.remote) }
