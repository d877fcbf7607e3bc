package evidencerpc

import (
	"bytes"
	"context"
	"encoding/gob"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
	"github.com/oatlatch/oatlatch/internal/host"
)

// evacuate puts a request in force at the host, which has two open flows there.
func (n *network) evacuate(i int, revision uint64) {
	e := n.hosts[i].engine
	e.mu.Lock()
	e.inForce = []evidence.EvacuationSum{{DataCentre: "bay", Position: catalog.Position{Revision: revision}, OpenFlows: 2, Outstanding: 1}}
	e.mu.Unlock()
	n.hosts[i].exchange.NotifyEvacuation()
}

// setCutOff cuts a host off or connects it again.
func (n *network) setCutOff(name host.ID, cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[name] = cutOff
}

// quietCalls is the number of calls of a host in a minute without news: one every 4.05 s,
// and two by which it learns the versions.
const quietCalls = 17

// Guards against hosts that are not counted, count twice or stay counted after they are cut
// off, and against calls on a day without an evacuation that carry nothing but sums.
func TestSumsOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newNetwork(t, 6)
		n.mu.Lock()
		n.delay, n.cutOff = 20*time.Millisecond, make(map[host.ID]bool)
		n.mu.Unlock()
		time.Sleep(time.Minute)
		n.mu.Lock()
		g.Expect(n.calls).To(BeNumerically("<=", 5*quietCalls))
		n.calls = 0
		n.mu.Unlock()
		expect := func(without, hosts, inForce int) {
			t.Helper()
			for _, h := range n.hosts {
				if h.index == without {
					continue
				}
				sums, first := h.exchange.Sums()
				g.Expect(first).To(Equal(h.index == 0))
				g.Expect(sums.Hosts).To(Equal(hosts), "host %d", h.index)
				g.Expect(sums.Evacuation("bay", catalog.Position{Revision: 7})).To(Equal(evidence.EvacuationSum{
					DataCentre: "bay", Position: catalog.Position{Revision: 7}, Hosts: inForce, OpenFlows: 2 * inForce, Outstanding: inForce,
				}), "host %d", h.index)
			}
		}
		for i := range 5 {
			n.evacuate(i, 7)
		}
		time.Sleep(time.Second)
		expect(-1, 6, 5)
		n.evacuate(5, 7)
		time.Sleep(300 * time.Millisecond)
		expect(-1, 6, 6)
		n.evacuate(5, 9)
		time.Sleep(300 * time.Millisecond)
		expect(-1, 6, 5)
		n.mu.Lock()
		n.calls = 0
		n.mu.Unlock()
		time.Sleep(time.Minute)
		expect(-1, 6, 5)
		n.mu.Lock()
		g.Expect(n.calls).To(BeNumerically("<=", 5*60*2), "two calls a second while an evacuation is in force")
		n.mu.Unlock()
		for range 5 {
			time.Sleep(3*time.Second + 110*time.Millisecond) // another time within the renewals
			n.setCutOff("4", true)
			time.Sleep(evidence.ReportTTL)
			expect(4, 5, 4)
			sums, _ := n.hosts[4].exchange.Sums()
			g.Expect(sums.Hosts).To(Equal(1))
			n.setCutOff("4", false)
		}
	})
}

// Guards against hosts that learn only by their next renewal that another is missing.
func TestSumsThatEndAreNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New(Options{Engine: &testEngine{}, Client: func() Client { return nil }, Now: time.Now})
		x.addReport("child", evidence.Report{Depth: 1, Sums: evidence.NewSums([]evidence.EvacuationSum{{DataCentre: "bay"}})})
		_, changed := x.currentVersion()
		time.Sleep(evidence.SumsTTL)
		synctest.Wait()
		NewWithT(t).Expect(changed).To(BeClosed())
	})
}

// Guards against sums that hosts of an earlier build cannot read, or whose absence hides
// this host's own.
func TestSumsBetweenBuilds(t *testing.T) {
	type earlierReport struct {
		Entries []evidence.Entry
		Depth   int
	}
	type earlierArgs struct {
		Report  earlierReport
		Version uint64
	}
	g := NewWithT(t)
	transfer := func(from, to any) {
		var stream bytes.Buffer
		g.Expect(gob.NewEncoder(&stream).Encode(from)).To(Succeed())
		g.Expect(gob.NewDecoder(&stream).Decode(to)).To(Succeed())
	}
	own := evidence.NewSums([]evidence.EvacuationSum{{DataCentre: "bay"}})
	var earlier earlierArgs
	transfer(&ExchangeArgs{Version: 3, Report: evidence.Report{Depth: 1, Sums: own}}, &earlier)
	g.Expect(earlier).To(Equal(earlierArgs{Version: 3, Report: earlierReport{Depth: 1}}))
	var args ExchangeArgs
	transfer(&earlier, &args)

	x := New(Options{Engine: &testEngine{}, Client: func() Client { return nil }, Now: time.Now, Evacuations: func() []evidence.EvacuationSum { return own.Evacuations }})
	x.SetParents([]catalog.Host{{Name: "earlier"}})
	args.SetContext(context.Background())
	g.Expect(NewService(x, "child").Exchange(&args, &ExchangeReply{})).To(Succeed())
	x.merge(x.parent, &ExchangeReply{Version: 5})
	sums, _ := x.Sums()
	g.Expect(sums).To(Equal(own))
}
