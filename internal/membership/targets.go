package membership

import "slices"

// Salts of the hashes that order hosts on the rings and that select which host of a pair
// probes the other.
const (
	localSalt  = 1 << 8
	globalSalt = 2 << 8
	pairSalt   = 3 << 8
)

// fullMeshLimit is the number of members alive up to which every host probes all others.
// Up to 2*maxProbeTargets+1 members, one host of each pair probes the other.
const fullMeshLimit = maxProbeTargets + 1

// probeTargets returns the hosts that this host should probe. A host is in contact with
// the hosts it probes and with those that probe it, so the contacts of all hosts form a
// graph of bounded degree. It consists of rings within each data centre, which keep a
// data centre connected when it is cut off from the others, and of rings over all
// hosts.
func (n *Node) probeTargets() []*entry {
	var alive, local []*entry
	for _, e := range n.sortedEntries {
		if !e.alive() || !e.described {
			continue
		}
		alive = append(alive, e)
		if e.host.DataCentre == n.self.host.DataCentre {
			local = append(local, e)
		}
	}
	if len(alive) <= fullMeshLimit {
		return slices.DeleteFunc(alive, func(e *entry) bool { return e == n.self })
	}
	if len(alive) <= 2*maxProbeTargets+1 {
		return slices.DeleteFunc(alive, func(e *entry) bool { return e == n.self || !n.isProberOf(e) })
	}
	var targets []*entry
	for ring := range uint64(localRings) {
		targets = appendUnique(targets, n.successor(local, localSalt+ring))
	}
	for ring := uint64(0); len(targets) < maxProbeTargets && ring < 2*maxProbeTargets; ring++ {
		targets = appendUnique(targets, n.successor(alive, globalSalt+ring))
	}
	return targets
}

// isProberOf reports whether this host probes the given one in a cluster where only one
// host of each pair probes the other. Both hosts of a pair get opposite results.
func (n *Node) isProberOf(other *entry) bool {
	lower, higher := n.self.record.ID, other.record.ID
	swapped := lower > higher
	if swapped {
		lower, higher = higher, lower
	}
	even := hashID(lower+"\x00"+higher, pairSalt)%2 == 0
	return even != swapped
}

// successor returns the host that follows this one on the ring, in which the members
// are ordered by the hashes of their IDs with the given salt. It returns nil if there is
// no other host.
func (n *Node) successor(members []*entry, salt uint64) *entry {
	ownHash := hashID(n.self.record.ID, salt)
	var first, next *entry
	var firstHash, nextHash uint64
	for _, e := range members {
		if e == n.self {
			continue
		}
		hash := hashID(e.record.ID, salt)
		if first == nil || hash < firstHash {
			first, firstHash = e, hash
		}
		if hash > ownHash && (next == nil || hash < nextHash) {
			next, nextHash = e, hash
		}
	}
	if next == nil {
		return first
	}
	return next
}

// appendUnique appends the entry unless it is nil or already in the list.
func appendUnique(entries []*entry, e *entry) []*entry {
	if e == nil || slices.Contains(entries, e) {
		return entries
	}
	return append(entries, e)
}
