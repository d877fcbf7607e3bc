package evidence

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// inForce is the request to evacuate a data centre at a host with one open flow there.
func inForce(dataCentre string, revision uint64) EvacuationSum {
	return EvacuationSum{DataCentre: dataCentre, Position: catalog.Position{Revision: revision}, OpenFlows: 1}
}

// Guards against a host that counts as in force for a request that another one has replaced,
// and against impossible numbers of a peer.
func TestSumsOfRequests(t *testing.T) {
	n, many := NewSumsNode(), Sums{Hosts: 1, Depth: 1}
	for i := range maxEvacuations + 1 {
		many.Evacuations = append(many.Evacuations, EvacuationSum{DataCentre: fmt.Sprint(i), Hosts: 1})
	}
	n.Add(start, "earlier", NewSums([]EvacuationSum{inForce("bay", 7)}))
	n.Add(start, "later", NewSums([]EvacuationSum{inForce("bay", 9), inForce(strings.Repeat("x", maxNameLength+1), 1)}))
	n.Add(start, "unaware", NewSums(nil))
	n.Add(start, "earlier build", Sums{})
	for name, bad := range map[string]Sums{
		"negative": {Hosts: -1, Depth: 1}, "overflow": {Hosts: 1 << 60, Depth: 1}, "gone round": {Hosts: 1, Depth: maxDepth}, "many": many,
		"flows": {Hosts: 1, Depth: 1, Evacuations: []EvacuationSum{{DataCentre: "bay", Hosts: 1, OpenFlows: -1}, {DataCentre: "bay", Hosts: 2}}},
	} {
		n.Add(start, name, bad)
	}
	sums := n.Subtree(start, NewSums([]EvacuationSum{inForce("bay", 9)}), "")
	NewWithT(t).Expect(sums).To(Equal(Sums{Hosts: 5, Depth: 2, Evacuations: []EvacuationSum{
		{DataCentre: "bay", Position: catalog.Position{Revision: 9}, Hosts: 2, OpenFlows: 2},
		{DataCentre: "bay", Position: catalog.Position{Revision: 7}, Hosts: 1, OpenFlows: 1},
	}}), "the host itself and the children earlier, later, unaware and flows")
	NewWithT(t).Expect(addSums([]Sums{many, {Hosts: 1, Evacuations: []EvacuationSum{inForce("0", 9)}}}).Evacuations).To(HaveLen(maxEvacuations))
}

// TestSumsOfHostsThatMove checks, for random trees, hosts that move, and messages that are
// lost, doubled and replayed, that no host counts twice before any has moved and none does
// ReportTTL after the last move, that a host that is cut off is missing by then, that all
// others have the sums, and that sums end. A report needs 0.1 s a level.
func TestSumsOfHostsThatMove(t *testing.T) {
	const tick, renewal = 100 * time.Millisecond, 500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		nodes, parents, own := make([]*SumsNode, hosts), make([]int, hosts), make([]Sums, hosts)
		depth := func(i int) int {
			d := 1
			for ; i > 0; i = parents[i] {
				d++
			}
			return d
		}
		// move gives a host another parent. Other hosts below it move with it, at most to
		// the fifth level.
		move := func(i int) {
			parents[i] = rapid.IntRange(max(0, i-3), i-1).Draw(t, "parent")
			for j := range hosts {
				if depth(j) >= maxDepth {
					parents[j] = 0
				}
			}
		}
		for i := range nodes {
			nodes[i], own[i] = NewSumsNode(), NewSums(nil)
			if i > 0 {
				move(i)
			}
		}
		name := func(i int) string {
			if i == 0 {
				return ""
			}
			return fmt.Sprint(parents[i])
		}
		now, sent, moved := start, [][]Sums{}, false
		for range hosts {
			sent = append(sent, []Sums{{}})
		}
		deliver := func(i int, s Sums) bool { return nodes[parents[i]].Add(now, fmt.Sprint(i), s) }
		send := func(i int) Sums {
			s := nodes[i].Subtree(now, own[i], name(i))
			sent[i] = append(sent[i], s)
			return s
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			switch fate := rapid.SampledFrom([]string{"request", "move", "deliver", "lose", "double", "replay"}).Draw(t, "fate"); {
			case fate == "request":
				own[i] = NewSums([]EvacuationSum{inForce("bay", rapid.Uint64Range(1, 2).Draw(t, "revision"))})
			case i == 0:
			case fate == "move":
				move(i)
				moved = true
			case fate == "deliver":
				deliver(i, send(i))
			case fate == "lose":
				send(i)
			case fate == "double":
				deliver(i, send(i))
				deliver(i, send(i))
			case fate == "replay":
				deliver(i, rapid.SampledFrom(sent[i]).Draw(t, "which"))
			}
			for i := range nodes {
				total := nodes[i].Total(now, own[i], name(i))
				if !moved && total.Hosts > hosts {
					t.Fatalf("host %d counts %d hosts of %d", i, total.Hosts, hosts)
				}
				inForce := 0
				for _, e := range total.Evacuations {
					inForce += e.Hosts
				}
				if inForce > total.Hosts {
					t.Fatalf("host %d counts %d of %d hosts in force", i, inForce, total.Hosts)
				}
			}
		}
		cutOff := rapid.IntRange(0, hosts-1).Draw(t, "cut off")
		if slices.Contains(parents, cutOff) {
			cutOff = hosts // none, for hosts below it would call another parent
		}
		reportedAt, news := make([]time.Time, hosts), make([]bool, hosts)
		for i := range reportedAt {
			reportedAt[i], news[i] = now.Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "ticks"))*tick), len(own[i].Evacuations) > 0
		}
		// Messages arrive: hosts report renewals and changes, and parents answer at once.
		for _, missing := range []int{hosts, cutOff} {
			for end := now.Add(ReportTTL); now.Before(end); now = now.Add(tick) {
				for i := range nodes {
					expired, _ := nodes[i].Expire(now)
					news[i] = news[i] || expired
					if i > 0 && i != missing && (news[i] || now.Sub(reportedAt[i]) >= renewal) {
						reportedAt[i], news[i] = now, false
						news[parents[i]] = deliver(i, send(i)) || news[parents[i]]
					}
				}
				for i := range nodes {
					if i > 0 && i != missing {
						nodes[i].SetTotal(now, nodes[parents[i]].Total(now, own[parents[i]], name(parents[i])))
					}
				}
			}
			var counted []Sums
			for i := range nodes {
				if i != missing {
					counted = append(counted, own[i])
				}
			}
			for i := range nodes {
				want := addSums(counted)
				if len(want.Evacuations) == 0 {
					continue // without an evacuation, no change is news
				}
				if i == missing {
					want = own[i]
				}
				if total := nodes[i].Total(now, own[i], name(i)); total.Hosts != want.Hosts || fmt.Sprint(total.Evacuations) != fmt.Sprint(want.Evacuations) {
					t.Fatalf("host %d of %v without %d counts %+v, want %+v", i, parents, missing, total, want)
				}
			}
		}
		now = now.Add(SumsTTL)
		for i := range nodes {
			if total := nodes[i].Total(now, own[i], name(i)); total.Hosts != 1 {
				t.Fatalf("host %d still counts %d hosts", i, total.Hosts)
			}
		}
	})
}
