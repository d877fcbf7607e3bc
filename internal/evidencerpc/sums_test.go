package evidencerpc

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
	"github.com/oatlatch/oatlatch/internal/host"
)

// inForce is the request of a revision at one host, which has two open flows there.
func inForce(revision uint64) evidence.EvacuationSum {
	return evidence.EvacuationSum{DataCentre: "bay", Position: catalog.Position{Revision: revision}, Hosts: 1, OpenFlows: 2}
}

// evacuate puts a request in force at the host.
func (n *network) evacuate(i int, revision uint64) {
	e := n.hosts[i].engine
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inForce = []evidence.EvacuationSum{inForce(revision)}
	n.hosts[i].exchange.NotifyEvacuation()
}

// change sets which host is cut off and the delay of messages, and returns the number of
// calls since the last change.
func (n *network) change(cutOff host.ID, delay time.Duration) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	calls := n.calls
	n.cutOff, n.delay, n.calls = cutOff, delay, 0
	return calls
}

// Guards against hosts that are not counted, count twice or stay counted after they are cut
// off, and against calls on a day without an evacuation that carry nothing but sums: a host
// calls every 4.05 s, and twice to learn the versions.
func TestSumsOfAllHosts(t *testing.T) {
	const delay = 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g, n := NewWithT(t), newNetwork(t, 6)
		n.change("", delay)
		time.Sleep(time.Minute)
		g.Expect(n.change("", delay)).To(BeNumerically("<=", 5*17))
		expect := func(after time.Duration, without, hosts, inForceOn int) {
			t.Helper()
			time.Sleep(after)
			for _, h := range n.hosts {
				sums, first := h.exchange.Sums()
				of, want := sums.Evacuation("bay", catalog.Position{Revision: 7}), []any{h.index == 0, hosts, inForceOn, 2 * inForceOn}
				if h.index == without {
					want = []any{false, 1, 1, 2}
				}
				g.Expect([]any{first, sums.Hosts, of.Hosts, of.OpenFlows}).To(Equal(want), "host %d", h.index)
			}
		}
		for i := range 5 {
			n.evacuate(i, 7)
		}
		expect(time.Second, -1, 6, 5)
		n.evacuate(5, 9)
		expect(300*time.Millisecond, -1, 6, 5)
		n.change("", delay)
		expect(time.Minute, -1, 6, 5)
		g.Expect(n.change("", delay)).To(BeNumerically("<=", 5*60*2), "two calls a second while an evacuation is in force")
		for range 5 {
			n.change("4", delay)
			expect(evidence.ReportTTL, 4, 5, 4)
			n.change("", delay)
			expect(3*time.Second+110*time.Millisecond, -1, 6, 5) // the next time is another one within the renewals
		}
	})
}

// Guards against hosts of an earlier build, whose messages have no sums, that count, or hide
// those of this host, and against hosts that learn only by a renewal that another is missing.
func TestSumsThatAreMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, engine := NewWithT(t), &testEngine{inForce: []evidence.EvacuationSum{inForce(7)}}
		x := New(Options{Engine: engine, Client: func() Client { return nil }, Now: time.Now, Evacuations: engine.evacuations})
		x.SetParents([]catalog.Host{{Name: "earlier"}})
		x.addReport("earlier child", evidence.Report{Depth: 1})
		x.merge(x.parent, &ExchangeReply{Version: 5})
		own := evidence.NewSums(engine.inForce)
		sums, _ := x.Sums()
		g.Expect(sums).To(Equal(own))
		x.addReport("child", evidence.Report{Depth: 1, Sums: own})
		_, changed := x.currentVersion()
		time.Sleep(evidence.SumsTTL)
		synctest.Wait()
		g.Expect(changed).To(BeClosed())
	})
}
