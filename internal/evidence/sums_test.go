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
	for i, s := range []Sums{
		NewSums([]EvacuationSum{inForce("bay", 7)}), NewSums([]EvacuationSum{inForce("bay", 9), inForce(strings.Repeat("x", maxNameLength+1), 1)}), NewSums(nil),
		{Hosts: 1, Depth: 1, Evacuations: []EvacuationSum{{Hosts: 1, OpenFlows: -1}, {Hosts: 2}}}, // four hosts to here, of which the last has impossible sums
		{}, {Hosts: -1, Depth: 1}, {Hosts: 1 << 60, Depth: 1}, {Hosts: 1, Depth: maxDepth}, many,
	} {
		n.Add(start, fmt.Sprint(i), s)
	}
	sums := n.Subtree(start, NewSums([]EvacuationSum{inForce("bay", 9)}), "")
	NewWithT(t).Expect(sums).To(Equal(Sums{Hosts: 5, Depth: 2, Evacuations: []EvacuationSum{
		{DataCentre: "bay", Position: catalog.Position{Revision: 9}, Hosts: 2, OpenFlows: 2},
		{DataCentre: "bay", Position: catalog.Position{Revision: 7}, Hosts: 1, OpenFlows: 1},
	}}))
	NewWithT(t).Expect(addSums([]Sums{many, {Hosts: 1, Evacuations: []EvacuationSum{inForce("0", 9)}}}).Evacuations).To(HaveLen(maxEvacuations))
}

// TestSumsOfHostsThatMove checks, for random trees, hosts that move, and messages that are
// lost and replayed, that no host counts twice before any has moved and none does
// ReportTTL after the last move, that a host that is cut off is missing by then, that all
// others have the sums, and that sums end. A report needs 0.1 s a level.
func TestSumsOfHostsThatMove(t *testing.T) {
	const tick, renewal = 100 * time.Millisecond, 500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 31).Draw(t, "hosts") // five levels at most
		nodes, parents, own, sent := make([]*SumsNode, hosts), make([]int, hosts), make([]Sums, hosts), make([][]Sums, hosts)
		move := func(i int) { parents[i] = max(0, i-1) / rapid.IntRange(2, 3).Draw(t, "fan-out") }
		for i := range nodes {
			nodes[i], own[i], sent[i] = NewSumsNode(), NewSums(nil), []Sums{{}}
			move(i)
		}
		now, moved := start, false
		parent := func(i int) string { return strings.Repeat(fmt.Sprint(parents[i]), min(i, 1)) } // none for the first host
		total := func(i int) Sums { return nodes[i].Total(now, own[i], parent(i)) }
		deliver := func(i int, s Sums) bool { return nodes[parents[i]].Add(now, fmt.Sprint(i), s) }
		send := func(i int) Sums {
			sent[i] = append(sent[i], nodes[i].Subtree(now, own[i], parent(i)))
			return sent[i][len(sent[i])-1]
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			switch fate := rapid.SampledFrom([]string{"request", "move", "deliver", "lose", "replay"}).Draw(t, "fate"); {
			case fate == "request":
				own[i] = NewSums([]EvacuationSum{inForce("bay", rapid.Uint64Range(1, 2).Draw(t, "revision"))})
			case i == 0:
			case fate == "move":
				move(i)
				moved = true
			case fate == "replay":
				deliver(i, rapid.SampledFrom(sent[i]).Draw(t, "which"))
			case fate == "lose":
				send(i)
			default:
				deliver(i, send(i))
			}
			if n := total(parents[i]).Hosts; n > hosts && !moved {
				t.Fatalf("the parent of host %d counts %d hosts of %d", i, n, hosts)
			}
		}
		cutOff := rapid.IntRange(hosts/2, hosts-1).Draw(t, "cut off")
		if slices.Contains(parents, cutOff) {
			cutOff = hosts // none, for hosts below it would call another parent
		}
		reportedAt, news := make([]time.Time, hosts), make([]bool, hosts)
		// Messages arrive: hosts report renewals and changes, and parents answer at once.
		for _, missing := range []int{hosts, cutOff} {
			for i := range reportedAt {
				reportedAt[i], news[i] = now.Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "ticks"))*tick), len(own[i].Evacuations) > 0
			}
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
						nodes[i].SetTotal(now, total(parents[i]))
					}
				}
			}
			connected := slices.Concat(own[:missing], own[min(missing+1, hosts):])
			for i := range nodes {
				want, got := addSums(connected), total(i)
				want.Depth, got.Depth = 0, 0
				if i != missing && len(want.Evacuations) > 0 && fmt.Sprint(got) != fmt.Sprint(want) { // without an evacuation, no change is news
					t.Fatalf("host %d of %v without %d counts %+v, want %+v", i, parents, missing, got, want)
				}
			}
		}
		now = now.Add(SumsTTL)
		if n := total(0).Hosts; n != 1 {
			t.Fatalf("the first host still counts %d hosts", n)
		}
	})
}
