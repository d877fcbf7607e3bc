package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// restartUpstream lets another process use the ID of the upstream with the number.
func (h *harness) restartUpstream(number int) {
	h.updateUpstream(number, func(e *catalog.Entry) { e.Started = h.now })
}

// record returns the engine's record of the flow.
func (f *testFlow) record() *flowRecord {
	return f.harness.engine.records[flowKey{caller: f.caller, address: f.address}]
}

// holder returns which process holds the flow, as far as the engine knows.
func (f *testFlow) holder() string { return f.harness.engine.holderOf(f.record()).String() }

func TestHolderOfAFlow(t *testing.T) {
	tests := []struct {
		name string
		// change is what happens after the flow was opened.
		change func(h *harness, f *testFlow)
		want   string
	}{
		{"its process still runs", func(*harness, *testFlow) {}, "current"},
		{"its process has been replaced", func(h *harness, _ *testFlow) { h.restartUpstream(1) }, "former"},
		{"the new process answers", func(h *harness, f *testFlow) {
			h.restartUpstream(1)
			f.sendRequest()
			f.ackResponse()
		}, "current"},
		{"an answer to a request from before the new process", func(h *harness, f *testFlow) {
			f.sendRequest()
			h.advance(time.Millisecond)
			h.restartUpstream(1)
			f.ackResponse()
		}, "former"},
		{"the host has started since", func(h *harness, f *testFlow) {
			h.restart()
			f.sendRequest()
		}, "unknown"},
		{"the host has started since and seen an answer", func(h *harness, f *testFlow) {
			h.restart()
			f.sendRequest()
			f.ackResponse()
		}, "current"},
		{"the host has known the process for the idle timeout", func(h *harness, f *testFlow) {
			h.restart()
			h.advance(defaultIdleTimeout)
			f.sendRequest()
		}, "current"},
		{"another upstream answered the SYN", func(h *harness, f *testFlow) {
			h.restartUpstream(2)
			f.record().reassign(h.engine.upstreams[2])
		}, "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
			f := h.openOnEach(2, 1)[1][0]
			h.advance(time.Second)
			test.change(h, f)
			NewWithT(t).Expect(f.holder()).To(Equal(test.want))
		})
	}
}

// TestFormerProcessIsNoEvidence guards against resets of idle flows of an upstream that has
// started again under its ID: the requests on flows of its former process have no answer.
func TestFormerProcessIsNoEvidence(t *testing.T) {
	tests := map[string]func(h *harness){
		"flows that this host opened": func(h *harness) { h.restartUpstream(1) },
		"flows that another host opened": func(h *harness) {
			h.restart()
			h.learnUsualAnswers()
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, tenUpstreams()...)
			flows := h.openOnEach(10, 6)
			h.learnUsualAnswers()
			change(h)
			idle, other := h.openAt(1), h.openAt(2)
			h.leaveLate(other, flows[1]...)
			g.Expect(h.muteNames()).To(BeEmpty())
			h.passPackets(other, minOverdue)
			g.Expect(h.engine.upstreams[1].counts.failed).To(BeZero())
			h.passPackets(other, minSilenceBeforeReset)
			g.Expect(h.takeResets()).NotTo(HaveKey(idle.caller.String()))
		})
	}
}

// TestRequestsBeforeARestartAreNoEvidence guards against an upstream that is taken for mute as
// soon as it has started again, because of requests that were sent to its former process.
func TestRequestsBeforeARestartAreNoEvidence(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, tenUpstreams()...)
	flows := h.openOnEach(10, 6)
	h.learnUsualAnswers()
	for _, f := range flows[1] {
		f.sendRequest()
	}
	h.advance(time.Millisecond)
	h.restartUpstream(1)
	h.leaveLate(flows[2][0])
	h.passPackets(flows[2][0], minOverdue)
	g.Expect(h.muteNames()).To(BeEmpty())
	g.Expect(h.engine.upstreams[1].counts.failed).To(BeZero())
}

// TestNewProcessCanBeMute checks that an upstream which has started again is judged by the flows
// of its new process.
func TestNewProcessCanBeMute(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, tenUpstreams()...)
	other := h.openOnEach(10, 1)[2][0]
	h.learnUsualAnswers()
	h.restartUpstream(1)
	var flows []*testFlow
	for range minLateRequests {
		flows = append(flows, h.openAt(1))
	}
	h.leaveLate(other, flows...)
	g.Expect(h.muteNames()).To(ConsistOf("i-00000001"))
}

// openAt opens a flow at the upstream with the number, which answers a request on it.
func (h *harness) openAt(number int) *testFlow {
	for range 1000 {
		f := h.newFlow(watchAddress)
		d := f.open()
		f.sendRequest()
		h.advance(usualTime)
		f.ackResponse()
		if d.Upstream == catalog.UpstreamID(number) {
			return f
		}
		f.sendFIN()
	}
	h.t.Fatalf("no flow goes to upstream %d", number)
	return nil
}

// TestPacketsBeforeARestartAreNoStrikes guards against an upstream that is suspected after it has
// started again, because of packets that its former process did not answer.
func TestPacketsBeforeARestartAreNoStrikes(t *testing.T) {
	tests := map[string]func(h *harness, flows []*testFlow){
		"they are sent again after the restart": func(h *harness, flows []*testFlow) {
			for _, f := range flows {
				f.sendRequest()
			}
			h.advance(200 * time.Millisecond)
			h.restartUpstream(1)
			h.completeOtherServiceRequest()
			for _, f := range flows {
				f.retransmit()
			}
		},
		"one was sent again before, one is after": func(h *harness, flows []*testFlow) {
			h.leaveUnanswered(flows[0])
			h.restartUpstream(1)
			h.leaveUnanswered(flows[1])
		},
		"other hosts reported them": func(h *harness, _ []*testFlow) {
			h.restartUpstream(1)
			h.engine.SetEvidence(h.now, []evidence.Entry{{Upstream: 1, Started: startTime.UnixMilli(), Strikes: 2, SilentHosts: 2, AnswerAge: evidence.NoAnswer}})
		},
	}
	for name, leaveUnanswered := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newEntry(1, localDC), newEntry(2, localDC))
			h.restartUpstream(1)
			flows := h.openOnEach(2, 2)[1]
			h.completeOtherServiceRequest()
			h.advance(300 * time.Millisecond)
			h.engine.lastPacket = h.now // otherwise the gap counts as a pause of the host
			leaveUnanswered(h, flows)
			NewWithT(t).Expect(h.suspectedNames()).To(BeEmpty())
		})
	}
}

// TestReportsOnAFormerProcessAreNoEvidence guards against the evidence of a host that has not
// seen yet that the upstream has started again.
func TestReportsOnAFormerProcessAreNoEvidence(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, tenUpstreams()...)
	h.restartUpstream(1)
	former := evidence.Entry{
		Upstream: 1, Started: h.now.UnixMilli(), Answers: 10, Failed: 10, FailingHosts: 2, AnswerAge: evidence.NoAnswer,
		Late: minLateRequests, LateHosts: minLateHosts, LateAge: time.Second, LastLateAge: time.Second,
	}
	h.openOnEach(10, 1)
	h.advance(2 * time.Second)
	h.engine.SetEvidence(h.now, []evidence.Entry{former})
	g.Expect(h.muteNames()).To(ConsistOf("i-00000001"))
	h.restartUpstream(1)
	u := h.engine.upstreams[1]
	h.engine.judgeMute(h.now, u)
	g.Expect(h.muteNames()).To(BeEmpty(), "reports that came before")
	h.engine.SetEvidence(h.now, []evidence.Entry{former})
	g.Expect(h.muteNames()).To(BeEmpty(), "reports that come after")
	_, failed, _ := u.combined(h.now)
	g.Expect(failed).To(BeZero())
	entries := h.engine.Evidence(h.now, map[catalog.UpstreamID]struct{}{1: {}})
	g.Expect(entries[0].Started).To(Equal(h.now.UnixMilli()))
}

// TestRequestsOnFlowsOfAFormerProcessTakeNoSlots guards against an upstream that gets hardly any
// new flows after it has started again, because requests of its former process seem to fill it.
func TestRequestsOnFlowsOfAFormerProcessTakeNoSlots(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, tenUpstreams()...)
	flows := h.openOnEach(10, 6)
	h.learnUsualAnswers()
	h.restartUpstream(1)
	recent := h.engine.upstreams[1].recent.count
	h.leaveLate(flows[2][0], flows[1]...)
	g.Expect(h.engine.upstreams[1].outstanding).To(BeZero())
	g.Expect(h.engine.upstreams[1].recent.count).To(Equal(recent))
	const n = 100
	got := h.serve(n, func(catalog.UpstreamID) bool { return false })
	g.Expect(got[1]).To(BeNumerically(">=", n/10/2), "half of its share at least")
}
