package membership

import "slices"

// Salts of the hashes that order hosts on rings.
const (
	localSalt  = 1 << 8
	globalSalt = 2 << 8
	pairSalt   = 3 << 8
)

// smallFleet is the number of live members up to which every host probes every
// other, and twice that up to which one host of each pair probes the other.
const smallFleet = maxTargets + 1

// targets returns the hosts that this host probes. Each host is in contact with
// those it probes and those that probe it, so the contacts of all hosts form a
// graph of bounded degree: rings in each data centre, which keep it connected when
// it is cut off, and rings over all hosts.
func (n *Node) targets() []*entry {
	var live, local []*entry
	for _, e := range n.order {
		if !e.live() || !e.described {
			continue
		}
		live = append(live, e)
		if e.host.DataCentre == n.self.host.DataCentre {
			local = append(local, e)
		}
	}
	if len(live) <= smallFleet {
		return slices.DeleteFunc(live, func(e *entry) bool { return e == n.self })
	}
	if len(live) <= 2*maxTargets+1 {
		return slices.DeleteFunc(live, func(e *entry) bool { return e == n.self || !n.probesOfPair(e) })
	}
	var targets []*entry
	for ring := range uint64(localRings) {
		targets = appendNew(targets, n.successor(local, localSalt+ring))
	}
	for ring := uint64(0); len(targets) < maxTargets && ring < 2*maxTargets; ring++ {
		targets = appendNew(targets, n.successor(live, globalSalt+ring))
	}
	return targets
}

// probesOfPair reports whether this host is the one that probes the other.
func (n *Node) probesOfPair(other *entry) bool {
	lower, higher := n.self.record.ID, other.record.ID
	swapped := lower > higher
	if swapped {
		lower, higher = higher, lower
	}
	even := hash(lower+"\x00"+higher, pairSalt)%2 == 0
	return even != swapped
}

// successor returns the host that follows this one on the ring, or nil.
func (n *Node) successor(members []*entry, salt uint64) *entry {
	own := hash(n.self.record.ID, salt)
	var first, next *entry
	var firstAt, nextAt uint64
	for _, e := range members {
		if e == n.self {
			continue
		}
		at := hash(e.record.ID, salt)
		if first == nil || at < firstAt {
			first, firstAt = e, at
		}
		if at > own && (next == nil || at < nextAt) {
			next, nextAt = e, at
		}
	}
	if next == nil {
		return first
	}
	return next
}

// appendNew appends the entry unless it is nil or present.
func appendNew(entries []*entry, e *entry) []*entry {
	if e == nil || slices.Contains(entries, e) {
		return entries
	}
	return append(entries, e)
}
