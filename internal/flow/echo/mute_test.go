package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// leaveLate sends a request on each flow and lets them become late. Meanwhile another upstream
// answers a request.
func (h *harness) leaveLate(other *testFlow, flows ...*testFlow) {
	for _, f := range flows {
		f.sendRequest()
	}
	h.advance(20 * time.Millisecond)
	other.sendRequest()
	h.advance(20 * time.Millisecond)
	other.ackResponse()
	h.passPackets(other, minLate+overdueCheckInterval)
}

// muteNames returns the names of the mute upstreams.
func (h *harness) muteNames() []string {
	var names []string
	for _, u := range h.engine.upstreams {
		if u.mute() {
			names = append(names, u.Name)
		}
	}
	return names
}

// newMuteHarness returns a harness whose upstream 1 is found to be mute unless late is below
// minLateRequests. It returns the flows by upstream.
func newMuteHarness(t *testing.T, late int) (*harness, map[catalog.UpstreamID][]*testFlow) {
	h := newHarness(t, tenUpstreams()...)
	flows := h.openOnEach(10, 6)
	h.learnUsualAnswers()
	h.leaveLate(flows[2][0], flows[1][:late]...)
	return h, flows
}

// openTrial lets the mute upstream 1 answer a probe and returns the flow that tries it.
func (h *harness) openTrial() *testFlow {
	g := NewWithT(h.t)
	h.engine.upstreams[1].muteness.nextProbe = h.now
	g.Expect(h.engine.DueProbes(h.now)).To(HaveLen(1))
	h.engine.ProbeSucceeded(h.now, 1)
	g.Expect(h.muteNames()).To(ConsistOf("i-00000001"), "probes do not show that it answers requests")
	g.Expect(h.newFlow(orderAddress).open().Upstream).NotTo(BeEquivalentTo(1))
	trial := h.newFlow(watchAddress)
	g.Expect(trial.open().Upstream).To(BeEquivalentTo(1))
	return trial
}

// TestUpstreamWithoutAFreeSlotKeepsItsFlows guards against resets of flows of an upstream that
// lives, whose slots are all taken by requests that hang: neither its open flows nor those that
// are sent there to try it.
func TestUpstreamWithoutAFreeSlotKeepsItsFlows(t *testing.T) {
	g := NewWithT(t)
	h, flows := newMuteHarness(t, minLateRequests)
	h.passPackets(flows[2][0], lateValidity)
	h.leaveLate(flows[2][0], flows[1][4])
	h.expectDecision(flows[1][5].sendRequest(), Forward, Known)
	g.Expect(h.engine.confirmedMute(h.now, h.engine.upstreams[1])).To(BeFalse(), "the probe is not answered yet")
	h.engine.ProbeSucceeded(h.now, 1)
	g.Expect(h.engine.confirmedMute(h.now, h.engine.upstreams[1])).To(BeTrue())
	h.engine.ProbeFailed(1, false)
	g.Expect(h.takeResets()).To(BeEmpty())
	probes := 0
	for range 600 {
		h.advance(50 * time.Millisecond)
		probes += len(h.engine.DueProbes(h.now))
		flows[2][0].sendRequest()
		flows[2][0].ackResponse()
		f := h.newFlow(watchAddress)
		g.Expect(f.open().Upstream).NotTo(BeEquivalentTo(1))
		f.sendFIN()
	}
	g.Expect(probes).To(BeNumerically(">", 5))
	g.Expect(h.takeResets()).NotTo(HaveKey(flows[1][3].caller.String()))
	h.engine.ProbeSucceeded(h.now, 1)
	h.engine.ProbeFailed(1, false)
	g.Expect(h.newFlow(watchAddress).open().Upstream).NotTo(BeEquivalentTo(1))
	h.openTrial()
}

// TestMuteUpstreamGetsNoRequests covers an upstream that accepts flows, answers health checks and
// answers no request: the load of deploy/days/never-answer.toml.
func TestMuteUpstreamGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	h, flows := newMuteHarness(t, minLateRequests)
	g.Expect(h.muteNames()).To(ConsistOf("i-00000001"))
	h.engine.upstreams[1].muteness.nextProbe = h.now.Add(time.Hour)
	g.Expect(h.engine.DueProbes(h.now)).To(BeEmpty())
	for range 30 {
		g.Expect(h.newFlow(watchAddress).open().Upstream).NotTo(BeEquivalentTo(1))
		g.Expect(h.newFlow(orderAddress).open().Upstream).NotTo(BeEquivalentTo(1))
	}
	h.expectDecision(flows[1][4].sendRequest(), Forward, Known) // it may have answered through other hosts
	h.passPackets(flows[2][0], time.Second)
	h.expectDecision(flows[1][4].retransmit(), Forward, Known)
	trial := h.openTrial()
	h.leaveLate(flows[2][0], trial)
	h.expectDecision(flows[1][5].sendRequest(), Reset, Unreachable)
	h.passPackets(flows[2][0], suspectedSweepInterval)
	resets := make(map[string]Reason)
	for {
		flow, d, ok := h.engine.NextReset()
		if !ok {
			break
		}
		resets[flow.Caller.String()] = d.Reason
	}
	g.Expect(resets).To(HaveKeyWithValue(flows[1][0].caller.String(), Unreachable), "its caller repeats the request")
	g.Expect(resets).To(HaveKeyWithValue(flows[1][3].caller.String(), UnreachableIdle))
	g.Expect(resets).NotTo(HaveKey(flows[2][0].caller.String()))
	h.engine.upstreams[1].muteness.nextProbe = h.now.Add(time.Hour)
	h.passPackets(flows[2][0], lateValidity)
	late := h.newFlow(watchAddress)
	late.token = h.engine.upstreams[1].token
	h.expectDecision(late.sendRequest(), Forward, Echoed) // it may answer by now
}

// TestRequestThatMustNotRunTwiceStaysAtAMuteUpstream guards against resets of requests that may
// have run, and against more of them being lost there although no other upstream is left.
func TestRequestThatMustNotRunTwiceStaysAtAMuteUpstream(t *testing.T) {
	g := NewWithT(t)
	h, flows := newMuteHarness(t, minLateRequests)
	order := h.newFlow(orderAddress)
	h.engine.upstreams[1].muteness.since = time.Time{}
	for order.open().Upstream != 1 {
		order = h.newFlow(orderAddress)
	}
	order.sendRequest()
	h.engine.judgeMute(h.now, h.engine.upstreams[1])
	h.passPackets(flows[2][0], 2*minSilenceBeforeReset)
	for {
		flow, _, ok := h.engine.NextReset()
		if !ok {
			break
		}
		g.Expect(flow.Caller).NotTo(Equal(order.caller))
	}
	for number := 2; number <= 10; number++ {
		h.updateUpstream(number, func(e *catalog.Entry) { e.Draining = true })
	}
	h.expectDecision(h.newFlow(orderAddress).sendSYN(), Reset, NoUpstream)
	h.expectDecision(h.newFlow(watchAddress).sendSYN(), Forward, Opened)
}

// TestWorkingUpstreamIsNotMute covers what must not be taken for a mute upstream.
func TestWorkingUpstreamIsNotMute(t *testing.T) {
	t.Run("few requests are late", func(t *testing.T) {
		h, _ := newMuteHarness(t, minLateRequests-1)
		NewWithT(t).Expect(h.muteNames()).To(BeEmpty())
	})
	t.Run("it answers another request", func(t *testing.T) {
		h, flows := newMuteHarness(t, 0)
		for _, f := range flows[1] {
			f.sendRequest()
		}
		h.advance(10 * time.Millisecond)
		flows[1][0].ackResponse()
		h.leaveLate(flows[2][0])
		NewWithT(t).Expect(h.muteNames()).To(BeEmpty())
	})
	t.Run("no upstream answers this host", func(t *testing.T) {
		h, flows := newMuteHarness(t, 0)
		for _, f := range flows[1] {
			f.sendRequest()
		}
		h.passPackets(flows[2][0], time.Second)
		NewWithT(t).Expect(h.muteNames()).To(BeEmpty())
	})
	t.Run("another host has had an answer since", func(t *testing.T) {
		g := NewWithT(t)
		h, _ := newMuteHarness(t, minLateRequests)
		h.engine.SetEvidence(h.now, []evidence.Entry{{Upstream: 1, Answers: 1, ResponseAge: time.Millisecond}})
		g.Expect(h.muteNames()).To(BeEmpty())
		g.Expect(h.engine.upstreams[1].muteness.late).To(BeZero())
	})
	t.Run("half of the pool looks mute", func(t *testing.T) {
		g := NewWithT(t)
		h, flows := newMuteHarness(t, 0)
		for id, f := range flows {
			if id > 2 {
				h.leaveLate(flows[2][0], f[:minLateRequests]...)
			}
		}
		g.Expect(h.muteNames()).To(HaveLen(5))
	})
	t.Run("the host was paused, or the flows have moved to another host", func(t *testing.T) {
		g := NewWithT(t)
		h, flows := newMuteHarness(t, 0)
		for _, f := range flows[1] {
			f.sendRequest()
		}
		h.advance(time.Second)
		flows[2][0].sendRequest()
		flows[2][0].ackResponse()
		h.passPackets(flows[2][0], time.Second)
		g.Expect(h.muteNames()).To(BeEmpty())
	})
	t.Run("it takes no packets", func(t *testing.T) {
		g := NewWithT(t)
		h, flows := newMuteHarness(t, minLateRequests)
		flows[1][0].retransmit()
		flows[1][1].retransmit()
		g.Expect(h.suspectedNames()).To(ConsistOf("i-00000001"))
		g.Expect(h.muteNames()).To(BeEmpty())
		h.engine.ProbeSucceeded(h.now, 1)
		h.passPackets(flows[2][0], time.Second)
		g.Expect(h.muteNames()).To(BeEmpty())
	})
	t.Run("a new process runs", func(t *testing.T) {
		h, _ := newMuteHarness(t, minLateRequests)
		h.updateUpstream(1, func(e *catalog.Entry) { e.Started = startTime.Add(time.Hour) })
		NewWithT(t).Expect(h.muteNames()).To(BeEmpty())
	})
}

// TestHostsTogetherFindAMuteUpstream guards against a mute upstream of which each host sees too
// few requests, and against hosts that hear of it late.
func TestHostsTogetherFindAMuteUpstream(t *testing.T) {
	g := NewWithT(t)
	h, flows := newMuteHarness(t, 1)
	entries := h.engine.Evidence(h.now, nil)
	g.Expect(entries).To(HaveLen(1))
	g.Expect(entries[0].Late).To(Equal(1))
	g.Expect(entries[0].LateAge).To(BeNumerically(">", minLate))
	entries[0].Late, entries[0].LateHosts = minLateRequests, minLateHosts
	h.engine.SetEvidence(h.now, entries)
	g.Expect(h.muteNames()).To(ConsistOf("i-00000001"))
	other := newHarness(t, tenUpstreams()...)
	other.engine.SetEvidence(other.now, entries)
	g.Expect(other.muteNames()).To(ConsistOf("i-00000001"), "a host without evidence of its own")

	flows[1][0].ackResponse()
	g.Expect(h.muteNames()).To(BeEmpty())
	answered := h.engine.Evidence(h.now, map[catalog.UpstreamID]struct{}{1: {}})
	g.Expect(answered[0].Late).To(BeZero())
	g.Expect(answered[0].ResponseAge).To(BeNumerically(">", 0))
	h.advance(evidence.ReportTTL - 1)
	g.Expect(h.engine.Evidence(h.now, nil)).To(HaveLen(1), "earlier reports of others may count for so long")
	h.advance(1)
	g.Expect(h.engine.Evidence(h.now, nil)).To(BeEmpty())
	other.engine.SetEvidence(other.now.Add(time.Millisecond), answered)
	g.Expect(other.muteNames()).To(BeEmpty())
}

// TestMuteUpstreamIsTriedRarely bounds the requests that hosts send to find out if it answers,
// and checks that one which answers is used again.
func TestMuteUpstreamIsTriedRarely(t *testing.T) {
	g := NewWithT(t)
	h, flows := newMuteHarness(t, minLateRequests)
	const hosts, seconds = 5, 600
	h.engine.hosts = hosts
	trials, probes := 0, 0
	for range seconds * 20 {
		h.advance(50 * time.Millisecond)
		for _, p := range h.engine.DueProbes(h.now) {
			probes++
			h.engine.ProbeSucceeded(h.now, p.Upstream)
		}
		flows[2][0].sendRequest()
		flows[2][0].ackResponse()
		order := h.newFlow(orderAddress)
		g.Expect(order.open().Upstream).NotTo(BeEquivalentTo(1))
		order.sendFIN()
		f := h.newFlow(watchAddress)
		if f.open().Upstream == 1 {
			trials++
			h.expectDecision(f.sendRequest(), Forward, Known)
			continue
		}
		f.sendFIN()
	}
	g.Expect(trials).To(BeNumerically(">", 0))
	g.Expect(float64(trials*hosts)/seconds).To(BeNumerically("<", 1), "requests a second of all hosts")
	g.Expect(probes).To(Equal(trials))
	trial := h.openTrial()
	trial.sendRequest()
	trial.ackResponse()
	g.Expect(h.muteNames()).To(BeEmpty())
	got := 0
	for range 100 {
		f := h.newFlow(orderAddress)
		if f.open().Upstream == 1 {
			got++
		}
		f.sendFIN()
	}
	g.Expect(got).To(BeNumerically(">", 5))
}
