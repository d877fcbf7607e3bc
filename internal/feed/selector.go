package feed

import (
	"math/rand/v2"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// fanOut is the maximum number of hosts that follow the same host in the tree of
	// sourceSelector. It limits the load on that host, and keeps a tree of 500 hosts at
	// a depth of three.
	fanOut = 8
	// peerCooldown is how long a peer is not read after a failure, and refusedCooldown that
	// after it has refused the call at once: it is probably about to start.
	peerCooldown    = 4 * time.Second
	refusedCooldown = 500 * time.Millisecond
	// peerFallbackThreshold is the number of consecutive failed calls to the store
	// after which a host reads any of its peers.
	peerFallbackThreshold = 2
	// storeRetryInterval is the time between calls to a failing store while peers
	// are read instead.
	storeRetryInterval = 2 * time.Second
	// storeReaders is the number of data centres whose first hosts read the store while nothing
	// fails. With one, all hosts would be behind while the store does not answer that host.
	storeReaders = 2
)

// sourceSelector decides which source a host reads. The hosts of a data centre form a
// tree in the order of catalog.View.Hosts: every host but the first follows its parent, that
// is, it reads the parent's catalog. The first hosts of the first storeReaders data centres
// read the store, those of the others follow the first of all hosts. A host reads the store
// itself if its parent fails, and any peer if the store fails as well.
type sourceSelector struct {
	self       string
	dataCentre string
	random     *rand.Rand
	// parent is the host to follow; nil for one that reads the store.
	parent *catalog.Host
	// first is set if this is the first host of its data centre.
	first bool
	// peers are the other hosts, those of this data centre first.
	peers []catalog.Host
	// cooldownUntil holds the end of the last cooldown of each failed peer by host name.
	cooldownUntil map[string]time.Time
	// storeFailures is the number of consecutive failed calls to the store.
	storeFailures int
	// storeRetryAt is when a failing store is called again. It is called earlier if no
	// peer is usable.
	storeRetryAt time.Time
}

func newSourceSelector(self, dataCentre string, random *rand.Rand) *sourceSelector {
	return &sourceSelector{self: self, dataCentre: dataCentre, random: random, cooldownUntil: make(map[string]time.Time)}
}

// setHosts replaces the known hosts, which must be in the order of catalog.View.Hosts.
func (s *sourceSelector) setHosts(hosts []catalog.Host) {
	var local, remote []catalog.Host
	index := -1
	for _, h := range hosts {
		switch {
		case h.Name == s.self && h.DataCentre == s.dataCentre:
			index = len(local)
			local = append(local, h)
		case h.DataCentre == s.dataCentre:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	s.parent = parentOf(local, index)
	s.first = index == 0
	if s.parent == nil && !readsStore(hosts, s.dataCentre) {
		s.parent = &hosts[0]
	}
	s.peers = s.peers[:0]
	cooldownUntil := make(map[string]time.Time)
	for _, h := range append(local, remote...) {
		if h.Name == s.self {
			continue
		}
		s.peers = append(s.peers, h)
		if until, ok := s.cooldownUntil[h.Name]; ok {
			cooldownUntil[h.Name] = until
		}
	}
	s.cooldownUntil = cooldownUntil // without hosts that have left
}

// readsStore reports whether the first host of the data centre reads the store.
func readsStore(hosts []catalog.Host, dataCentre string) bool {
	before := make(map[string]struct{}, storeReaders)
	for i := range hosts {
		if hosts[i].DataCentre == dataCentre {
			return true
		}
		if before[hosts[i].DataCentre] = struct{}{}; len(before) >= storeReaders {
			return false
		}
	}
	return true
}

// parentOf returns the parent in the tree of the local hosts of the one with the index, or
// nil if it is the first. An index below 0 is that of a host that is not registered yet.
func parentOf(local []catalog.Host, index int) *catalog.Host {
	switch {
	case index > 0:
		return &local[(index-1)/fanOut]
	case index < 0 && len(local) > 0:
		// Choose the parent as if the host followed the last one in the order.
		return &local[(len(local)-1)/fanOut]
	default:
		return nil
	}
}

// Parents returns the hosts to which the named host of the data centre reports, the
// preferred one first: its parent in the tree of the data centre's hosts, and the first
// host of the data centre. The first hosts of data centres report to the first of all
// hosts, which reports to none. hosts must be in the order of catalog.View.Hosts.
func Parents(hosts []catalog.Host, name, dataCentre string) []catalog.Host {
	var local []catalog.Host
	index := -1
	for _, h := range hosts {
		if h.DataCentre != dataCentre {
			continue
		}
		if h.Name == name {
			index = len(local)
		}
		local = append(local, h)
	}
	parent := parentOf(local, index)
	switch {
	case parent != nil && parent.Name != local[0].Name:
		return []catalog.Host{*parent, local[0]}
	case parent != nil:
		return []catalog.Host{*parent}
	case len(hosts) > 0 && hosts[0].DataCentre != dataCentre:
		return hosts[:1:1]
	default:
		return nil
	}
}

// next returns the host to read next, or nil for the store.
func (s *sourceSelector) next(now time.Time) *catalog.Host {
	if s.parent != nil && s.usable(now, s.parent) {
		return s.parent
	}
	if s.storeFailures >= peerFallbackThreshold && now.Before(s.storeRetryAt) {
		return s.randomPeer(now)
	}
	return nil
}

// peer returns the peer with the name, or nil if there is none.
func (s *sourceSelector) peer(name string) *catalog.Host {
	for i := range s.peers {
		if s.peers[i].Name == name {
			return &s.peers[i]
		}
	}
	return nil
}

// randomPeer returns a random usable peer, from this data centre if possible. It
// returns nil if no peer is usable.
func (s *sourceSelector) randomPeer(now time.Time) *catalog.Host {
	var usable []*catalog.Host
	local := false
	for i := range s.peers {
		h := &s.peers[i]
		isLocal := h.DataCentre == s.dataCentre
		if !s.usable(now, h) || local && !isLocal {
			continue
		}
		local = local || isLocal
		usable = append(usable, h)
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[s.random.IntN(len(usable))]
}

// usable reports whether the host is not in cooldown after a failure.
func (s *sourceSelector) usable(now time.Time, h *catalog.Host) bool {
	until, ok := s.cooldownUntil[h.Name]
	return !ok || !now.Before(until)
}

// recordSuccess records that the host, or the store if h is nil, answered.
func (s *sourceSelector) recordSuccess(h *catalog.Host) {
	if h == nil {
		s.storeFailures = 0
	}
}

// recordFailure records that the call to the host, or to the store if h is nil, failed. The
// host is not read for the cooldown.
func (s *sourceSelector) recordFailure(now time.Time, h *catalog.Host, cooldown time.Duration) {
	if h == nil {
		s.storeFailures++
		s.storeRetryAt = now.Add(storeRetryInterval)
		return
	}
	s.cooldownUntil[h.Name] = now.Add(cooldown)
}
