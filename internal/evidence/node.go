package evidence

import (
	"cmp"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// Node is a host's place in the tree. It is not safe for concurrent use.
type Node struct {
	// children holds the last report of each child by name.
	children map[string]timedReport
	// total is the last report from the parent about all hosts.
	total timedReport
	// version increases when a child reports something new.
	version uint64
}

// NewNode returns a node without children and parent.
func NewNode() *Node { return &Node{children: make(map[string]timedReport)} }

// Version returns a number that increases when a child reports something new.
func (n *Node) Version() uint64 { return n.version }

// AddReport replaces the report of a child. Entries that no host can have counted, and
// reports that have gone round, are ignored.
func (n *Node) AddReport(now time.Time, child string, r Report) {
	if r.Depth < 1 || r.Depth >= maxDepth || len(r.Entries) > maxEntries {
		r = Report{Depth: 1}
	}
	r.Entries = slices.DeleteFunc(slices.Clone(r.Entries), func(e Entry) bool { return !e.sane() })
	previous := n.children[child]
	if !sameStrikes(previous.Entries, r.Entries) {
		n.version++
	}
	if len(r.Entries) == 0 {
		delete(n.children, child)
		return
	}
	n.children[child] = timedReport{Report: r, at: now}
}

// sameStrikes reports whether two lists of entries say the same of the upstreams, but for
// the decay of numbers.
func sameStrikes(a, b []Entry) bool {
	return slices.EqualFunc(a, b, func(x, y Entry) bool {
		return x.Upstream == y.Upstream && x.Strikes == y.Strikes && x.Late == y.Late && x.FailingHosts == y.FailingHosts && y.Failed < x.Failed+minFailed
	})
}

// SetTotal replaces the report of the parent about all hosts.
func (n *Node) SetTotal(now time.Time, r Report) {
	r.Entries = slices.DeleteFunc(slices.Clone(r.Entries), func(e Entry) bool { return !e.sane() })
	n.total = timedReport{Report: r, at: now}
}

// Subtree returns the sums of the host's own entries and those of its children. The host
// that is its parent is left out, should it be a child as well.
func (n *Node) Subtree(now time.Time, own []Entry, parent string) Report {
	sides := make(map[catalog.UpstreamID][]Entry, len(own))
	depth := 1
	for _, e := range own {
		sides[e.Upstream] = append(sides[e.Upstream], e)
	}
	for name, child := range n.children {
		if !child.valid(now) {
			delete(n.children, name)
			continue
		}
		if name == parent {
			continue
		}
		depth = max(depth, child.Depth+1)
		for _, e := range child.Entries {
			sides[e.Upstream] = append(sides[e.Upstream], e.aged(now.Sub(child.at)))
		}
	}
	r := Report{Entries: make([]Entry, 0, len(sides)), Depth: depth}
	for _, entries := range sides {
		r.Entries = append(r.Entries, combine(entries))
	}
	slices.SortFunc(r.Entries, func(a, b Entry) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return r
}

// Total returns the sums of all hosts: the report of the parent, or those of the subtree
// while there is none.
func (n *Node) Total(now time.Time, own []Entry, parent string) Report {
	if parent == "" || !n.total.valid(now) {
		return n.Subtree(now, own, parent)
	}
	r := Report{Entries: make([]Entry, 0, len(n.total.Entries)), Depth: n.total.Depth}
	for _, e := range n.total.Entries {
		r.Entries = append(r.Entries, e.aged(now.Sub(n.total.at)))
	}
	return r
}

// InQuestion returns the upstreams that other hosts have evidence against. This host adds
// what it knows of them.
func (n *Node) InQuestion(now time.Time) map[catalog.UpstreamID]struct{} {
	questions := make(map[catalog.UpstreamID]struct{})
	add := func(r *timedReport) {
		if !r.valid(now) {
			return
		}
		for _, e := range r.Entries {
			if e = e.aged(now.Sub(r.at)); e.questions() {
				questions[e.Upstream] = struct{}{}
			}
		}
	}
	add(&n.total)
	for _, child := range n.children {
		add(&child)
	}
	return questions
}
