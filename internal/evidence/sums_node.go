package evidence

import "time"

// SumsNode adds up the sums of a host and those of its children, and keeps the ones of all
// hosts. It is not safe for concurrent use.
type SumsNode struct {
	// children holds the last sums of each child by name.
	children map[string]timedSums
	// total is the last answer of the parent about all hosts.
	total timedSums
}

// timedSums are sums with the time of their arrival.
type timedSums struct {
	Sums
	at time.Time
}

// valid reports whether the sums still count.
func (s *timedSums) valid(now time.Time) bool { return s.Hosts > 0 && now.Sub(s.at) < SumsTTL }

// NewSumsNode returns a node without children and parent.
func NewSumsNode() *SumsNode { return &SumsNode{children: make(map[string]timedSums)} }

// Add replaces the sums of a child, and reports whether that changes the numbers of hosts
// of an evacuation. Sums that no host can have counted, or that have gone round, are
// ignored.
func (n *SumsNode) Add(now time.Time, child string, s Sums) (changed bool) {
	s = s.sanitized()
	previous := n.children[child]
	if s.Hosts == 0 {
		delete(n.children, child)
	} else {
		n.children[child] = timedSums{Sums: s, at: now}
	}
	return n.evacuating() && previous.Hosts != s.Hosts || !sameInForce(previous.Evacuations, s.Evacuations)
}

// evacuating reports whether another host is known to have an evacuation in force.
func (n *SumsNode) evacuating() bool {
	for _, child := range n.children {
		if len(child.Evacuations) > 0 {
			return true
		}
	}
	return len(n.total.Evacuations) > 0
}

// SetTotal replaces the sums of all hosts with the ones that the parent knows. Their depth
// does not matter: only reports on their way up can go round.
func (n *SumsNode) SetTotal(now time.Time, s Sums) {
	s.Depth = 1
	n.total = timedSums{Sums: s.sanitized(), at: now}
}

// Subtree returns the sums of the host's own numbers and those of its children. The host
// that is its parent is left out, should it be a child as well.
func (n *SumsNode) Subtree(now time.Time, own Sums, parent string) Sums {
	sides := []Sums{own}
	for name, child := range n.children {
		if name == parent || !child.valid(now) {
			continue
		}
		side := child.Sums
		side.Depth++
		sides = append(sides, side)
	}
	return addSums(sides)
}

// Total returns the sums of all hosts: those of the parent, or those of the subtree while
// there are none.
func (n *SumsNode) Total(now time.Time, own Sums, parent string) Sums {
	if !n.FromParent(now, parent) {
		return n.Subtree(now, own, parent)
	}
	return n.total.Sums
}

// FromParent reports whether the sums of all hosts are those of the parent.
func (n *SumsNode) FromParent(now time.Time, parent string) bool {
	return parent != "" && n.total.valid(now)
}

// Expire deletes sums that no longer count. It reports whether that changes the numbers of
// an evacuation, and in what time it must be called again; zero while none is in force, when
// nobody needs the numbers.
func (n *SumsNode) Expire(now time.Time) (changed bool, next time.Duration) {
	evacuating, expired := n.evacuating(), false
	expire := func(s *timedSums) bool {
		if s.Hosts == 0 {
			return false
		}
		if !s.valid(now) {
			expired = true
			return true
		}
		if left := SumsTTL - now.Sub(s.at); next == 0 || left < next {
			next = left
		}
		return false
	}
	for name, child := range n.children {
		if expire(&child) {
			delete(n.children, name)
		}
	}
	if expire(&n.total) {
		n.total = timedSums{}
	}
	if !evacuating {
		next = 0
	}
	return evacuating && expired, next
}
