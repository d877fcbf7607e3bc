package evidence

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// strike is the entry of a host with a flow that had no answer for the time.
func strike(age time.Duration) Entry {
	return Entry{Upstream: 1, Strikes: 1, SilentHosts: 1, StrikeAge: age, AnswerAge: NoAnswer}
}

// answered is the entry of a host that had an answer that long ago.
func answered(age time.Duration) Entry { return Entry{Upstream: 1, Answers: 1, AnswerAge: age} }

func report(entries ...Entry) Report { return Report{Entries: entries, Depth: 1} }

func TestStrikesOfSeveralHostsAddUp(t *testing.T) {
	g := NewWithT(t)
	n := NewNode()
	n.AddReport(start, "a", report(strike(200*time.Millisecond)))
	n.AddReport(start, "b", report(strike(300*time.Millisecond)))
	sum := n.Subtree(start.Add(100*time.Millisecond), []Entry{answered(time.Second)}, "").Entries[0]
	g.Expect(sum.Strikes).To(Equal(2))
	g.Expect(sum.SilentHosts).To(Equal(2))
	g.Expect(sum.StrikeAge).To(Equal(400 * time.Millisecond))
}

func TestAnswerVoidsEarlierStrikes(t *testing.T) {
	g := NewWithT(t)
	n := NewNode()
	n.AddReport(start, "a", report(strike(300*time.Millisecond)))
	n.AddReport(start, "b", report(answered(100*time.Millisecond)))
	n.AddReport(start, "c", report(strike(50*time.Millisecond)))
	sum := n.Subtree(start, nil, "").Entries[0]
	g.Expect(sum.Strikes).To(Equal(1), "only the strike of c is later than the answer")
}

// TestOrderOfReportsDoesNotMatter guards against sums of pairs: a strike later than the
// answer was void if it was first added to an earlier one.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	g := NewWithT(t)
	early, answer, late := strike(300*time.Millisecond), answered(100*time.Millisecond), strike(50*time.Millisecond)
	want := combine([]Entry{early, answer, late})
	g.Expect(want.Strikes).To(Equal(1))
	for _, order := range [][]Entry{{early, late, answer}, {late, early, answer}, {late, answer, early}, {answer, early, late}, {answer, late, early}} {
		g.Expect(combine(order)).To(Equal(want))
	}
}

// TestReportsEndByThemselves covers a host that is gone or cut off.
func TestReportsEndByThemselves(t *testing.T) {
	g := NewWithT(t)
	n := NewNode()
	n.AddReport(start, "a", report(strike(0)))
	g.Expect(n.Subtree(start.Add(ReportTTL-1), nil, "").Entries).To(HaveLen(1))
	g.Expect(n.Subtree(start.Add(ReportTTL), nil, "").Entries).To(BeEmpty())
	n.SetTotal(start, report(strike(0)))
	g.Expect(n.Total(start.Add(ReportTTL-1), nil, "parent").Entries).To(HaveLen(1))
	g.Expect(n.Total(start.Add(ReportTTL), nil, "parent").Entries).To(BeEmpty())
}

func TestLastReportOfAChildCounts(t *testing.T) {
	g := NewWithT(t)
	n := NewNode()
	for range 3 {
		n.AddReport(start, "a", report(strike(0)))
	}
	g.Expect(n.Subtree(start, nil, "").Entries[0].Strikes).To(Equal(1))
	g.Expect(n.Version()).To(BeEquivalentTo(1), "a repeated report is no news")
	n.AddReport(start, "a", report())
	g.Expect(n.Subtree(start, nil, "").Entries).To(BeEmpty())
}

func TestUpstreamsInQuestion(t *testing.T) {
	g := NewWithT(t)
	n := NewNode()
	n.AddReport(start, "a", report(strike(0), Entry{Upstream: 2, Answers: 3, AnswerAge: 0}, Entry{Upstream: 3, Answers: 3, Failed: 2, FailingHosts: 1}))
	questions := n.InQuestion(start)
	g.Expect(questions).To(HaveLen(2))
	g.Expect(questions).To(HaveKey(Entry{Upstream: 1}.Upstream))
	g.Expect(questions).To(HaveKey(Entry{Upstream: 3}.Upstream))
	g.Expect(n.InQuestion(start.Add(ReportTTL))).To(BeEmpty())
}

// TestReportsThatGoRoundEnd covers hosts that each take the other for their parent.
func TestReportsThatGoRoundEnd(t *testing.T) {
	g := NewWithT(t)
	nodes := []*Node{NewNode(), NewNode(), NewNode()}
	now := start
	own := []Entry{strike(0)}
	for range 100 {
		for i, n := range nodes {
			next := (i + 1) % len(nodes)
			nodes[next].AddReport(now, fmt.Sprint(i), n.Subtree(now, own, fmt.Sprint(next)))
		}
		now = now.Add(10 * time.Millisecond)
		own = nil
	}
	g.Expect(nodes[0].Subtree(now.Add(ReportTTL), nil, "").Entries).To(BeEmpty())
	for _, n := range nodes {
		for _, e := range n.Subtree(now, nil, "").Entries {
			g.Expect(e.Strikes).To(BeNumerically("<=", maxDepth))
		}
	}
}

func TestImpossibleReportsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	n := NewNode()
	nan := float32(math.NaN())
	bad := []Entry{
		{Upstream: 1, Answers: nan}, {Upstream: 1, Failed: float32(math.Inf(1))}, {Upstream: 1, Answers: -1}, {Upstream: 1, Answers: 1, Failed: 9},
		{Upstream: 1, Strikes: -1}, {Upstream: 1, SilentHosts: 4, Strikes: 1}, {Upstream: 1, StrikeAge: -1}, {Upstream: 1, AnswerAge: -1},
		{Upstream: 1, AnswerAge: math.MaxInt64},
	}
	n.AddReport(start, "a", Report{Entries: bad, Depth: 1})
	n.SetTotal(start, Report{Entries: bad})
	n.AddReport(start, "b", Report{Entries: []Entry{strike(0)}, Depth: maxDepth})
	n.AddReport(start, "c", Report{Entries: make([]Entry, maxEntries+1), Depth: 1})
	g.Expect(n.Subtree(start, nil, "").Entries).To(BeEmpty())
	g.Expect(n.Total(start, nil, "p").Entries).To(BeEmpty())
}

// TestSumsCountEachHostOnce checks, for random trees and messages that are lost, late,
// doubled and replayed, that no host's evidence counts twice, that evidence ends, and that
// every host has the sum of all once messages arrive.
func TestSumsCountEachHostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		nodes := make([]*Node, hosts)
		parents := make([]int, hosts)
		for i := range nodes {
			nodes[i] = NewNode()
			if i > 0 {
				parents[i] = rapid.IntRange(max(0, i-3), i-1).Draw(t, "parent")
			}
		}
		depth := func(i int) int {
			d := 1
			for ; i > 0; i = parents[i] {
				d++
			}
			return d
		}
		for i := range nodes {
			if depth(i) >= maxDepth {
				parents[i] = 0
			}
		}
		own := func(now time.Time) []Entry { return []Entry{strike(now.Sub(start))} }
		name := func(i int) string {
			if i == 0 {
				return ""
			}
			return fmt.Sprint(parents[i])
		}
		type message struct {
			child  int
			report Report
		}
		var sent []message
		now := start
		send := func(i int) message {
			m := message{i, nodes[i].Subtree(now, own(now), name(i))}
			sent = append(sent, m)
			return m
		}
		deliver := func(m message) { nodes[parents[m.child]].AddReport(now, fmt.Sprint(m.child), m.report) }
		check := func() {
			for i, n := range nodes {
				for _, e := range n.Total(now, own(now), name(i)).Entries {
					if e.Strikes > hosts || e.SilentHosts > hosts {
						t.Fatalf("host %d counts %d strikes of %d hosts", i, e.Strikes, hosts)
					}
				}
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			if i == 0 {
				continue
			}
			m := send(i)
			switch rapid.SampledFrom([]string{"deliver", "lose", "double", "replay"}).Draw(t, "fate") {
			case "deliver":
				deliver(m)
			case "double":
				deliver(m)
				deliver(m)
			case "replay":
				deliver(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")])
			}
			check()
		}
		for range maxDepth {
			for i := hosts - 1; i > 0; i-- {
				deliver(send(i))
			}
			for i := 1; i < hosts; i++ {
				nodes[i].SetTotal(now, nodes[parents[i]].Total(now, own(now), name(parents[i])))
			}
		}
		for i, n := range nodes {
			if total := n.Total(now, own(now), name(i)).Entries; len(total) != 1 || total[0].Strikes != hosts {
				t.Fatalf("host %d knows %+v, want %d strikes", i, total, hosts)
			}
		}
		now = now.Add(ReportTTL)
		for i, n := range nodes {
			if total := n.Total(now, nil, name(i)).Entries; len(total) != 0 {
				t.Fatalf("host %d still believes %+v", i, total)
			}
		}
	})
}

// TestEntriesOnAFormerProcessDoNotCount guards against the evidence of a host that has not seen
// yet that an upstream has started again.
func TestEntriesOnAFormerProcessDoNotCount(t *testing.T) {
	g := NewWithT(t)
	former := Entry{
		Upstream: 1, Started: 1000, Answers: 5, Failed: 5, FailingHosts: 1, Strikes: 2, SilentHosts: 1, AnswerAge: NoAnswer,
		Late: 3, LateHosts: 1, LateAge: time.Second, LastLateAge: time.Second,
	}
	current := Entry{Upstream: 1, Started: 2000, Answers: 1, AnswerAge: NoAnswer}
	g.Expect(combine([]Entry{former, current})).To(Equal(current))
	g.Expect(combine([]Entry{current, former})).To(Equal(current))

	unknown := former
	unknown.Started = 0
	sum := combine([]Entry{unknown, current})
	g.Expect(sum.Strikes).To(Equal(2), "hosts of earlier builds do not tell the process")
	g.Expect(sum.Started).To(BeEquivalentTo(2000))
}
