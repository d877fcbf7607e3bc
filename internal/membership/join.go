package membership

import (
	"net/netip"
	"slices"
	"time"
)

// sendJoins appends exchanges with addresses at which no member is alive, in rotation,
// so that hosts find each other at startup and after a partition.
func (n *Node) sendJoins(now time.Time, exchanges []Exchange) []Exchange {
	if now.Before(n.nextJoin) {
		return exchanges
	}
	interval, attempts := joinInterval, 1
	if len(n.probes) == 0 {
		interval, attempts = isolatedJoinInterval, isolatedJoinAttempts
	}
	n.nextJoin = now.Add(interval/2 + time.Duration(n.random.Int64N(int64(interval))))
	candidates := n.joinCandidates()
	message := n.newMessage()
	message.Probe = true
	message.Records = []Record{n.self.export(true)}
	message.Introduce = true
	for range min(attempts, len(candidates)) {
		address := candidates[n.joinAttempt%len(candidates)]
		n.joinAttempt++
		exchanges = append(exchanges, Exchange{To: Target{Address: address}, Message: message})
	}
	return exchanges
}

// joinCandidates lists the known addresses at which no member is alive.
func (n *Node) joinCandidates() []netip.AddrPort {
	alive := make(map[netip.AddrPort]bool)
	for _, e := range n.sortedEntries {
		if e.alive() {
			alive[e.host.PeerAddress] = true
		}
	}
	var candidates []netip.AddrPort
	addCandidate := func(address netip.AddrPort) {
		if address.IsValid() && !alive[address] && !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	for _, address := range n.seeds {
		addCandidate(address)
	}
	for _, listed := range n.platformHosts {
		if !listed.Leaving {
			addCandidate(listed.Address)
		}
	}
	for _, e := range n.sortedEntries {
		if e.record.Phase != Left {
			addCandidate(e.host.PeerAddress)
		}
	}
	return candidates
}

// SetPlatformHosts replaces the platform's host list. The view shows a host listed as
// leaving in the state Leaving, even if it is also listed as live. A process that started
// after the list first reported its host as leaving is not affected.
func (n *Node) SetPlatformHosts(now time.Time, hosts []PlatformHost) {
	leaving := make(map[string]bool)
	for _, listed := range hosts {
		if !listed.Leaving {
			continue
		}
		leaving[string(listed.ID)] = true
		if _, known := n.listedLeavingSince[listed.ID]; !known {
			n.listedLeavingSince[listed.ID] = now
		}
	}
	for id := range n.listedLeavingSince {
		if !leaving[string(id)] {
			delete(n.listedLeavingSince, id)
		}
	}
	n.platformHosts = hosts
	n.viewStale = true
}

// listedAsLeaving reports whether the platform lists the member's current process as
// leaving.
func (n *Node) listedAsLeaving(e *entry) bool {
	since, ok := n.listedLeavingSince[e.record.ID]
	return ok && e.record.Generation <= uint64(since.UnixMilli())
}
