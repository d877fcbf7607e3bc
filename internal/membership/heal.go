package membership

import (
	"net/netip"
	"slices"
	"time"
)

// heal appends exchanges with hosts out of the view, each in its turn, so that hosts
// find each other at the start and after a partition.
func (n *Node) heal(now time.Time, sends []Send) []Send {
	if now.Before(n.nextHeal) {
		return sends
	}
	interval, attempts := healInterval, 1
	if len(n.probes) == 0 {
		interval, attempts = isolatedHealInterval, isolatedHealAttempts
	}
	n.nextHeal = now.Add(interval/2 + time.Duration(n.random.Int64N(int64(interval))))
	candidates := n.healCandidates()
	message := n.message()
	message.Probe = true
	message.Records = []Record{n.self.export(true)}
	message.Introduce = true
	for range min(attempts, len(candidates)) {
		address := candidates[n.healTurn%len(candidates)]
		n.healTurn++
		sends = append(sends, Send{To: Target{Address: address}, Message: message})
	}
	return sends
}

// healCandidates lists the known addresses that belong to no live member.
func (n *Node) healCandidates() []netip.AddrPort {
	live := make(map[netip.AddrPort]bool)
	for _, e := range n.order {
		if e.live() {
			live[e.host.PeerAddress] = true
		}
	}
	var candidates []netip.AddrPort
	consider := func(address netip.AddrPort) {
		if address.IsValid() && !live[address] && !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	for _, address := range n.seeds {
		consider(address)
	}
	for _, hint := range n.hints {
		if !hint.Leaving {
			consider(hint.Address)
		}
	}
	for _, e := range n.order {
		if e.record.Phase != Left {
			consider(e.host.PeerAddress)
		}
	}
	return candidates
}

// SetHints takes in the platform's host list. A host that the list names as
// leaving, also if it names it as live too, is shown as leaving, unless its process
// started after the list was first seen to say so.
func (n *Node) SetHints(now time.Time, hints []Hint) {
	leaving := make(map[string]bool)
	for _, hint := range hints {
		if !hint.Leaving {
			continue
		}
		leaving[string(hint.ID)] = true
		if _, known := n.leavingSince[hint.ID]; !known {
			n.leavingSince[hint.ID] = now
		}
	}
	for id := range n.leavingSince {
		if !leaving[string(id)] {
			delete(n.leavingSince, id)
		}
	}
	n.hints = hints
	n.stale = true
}

// hintedLeaving reports whether the platform lists the member's process as leaving.
func (n *Node) hintedLeaving(e *entry) bool {
	since, ok := n.leavingSince[e.record.ID]
	return ok && e.record.Generation <= uint64(since.UnixMilli())
}
