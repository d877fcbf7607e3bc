package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// passPackets lets packets of an idle flow arrive until the time is over.
func (h *harness) passPackets(idle *testFlow, d time.Duration) {
	for until := h.now.Add(d); h.now.Before(until); {
		h.advance(10 * time.Millisecond)
		idle.send(Segment{ACK: true})
	}
}

// Guards against requests that are lost at a mute upstream because an overdue one is seen
// only at the sweep of the next second.
func TestOverdueRequestIsSeenWhenItIsDue(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, tenUpstreams()...)
	flows := h.openOnEach(10, 2)
	h.learnUsualAnswers()
	idle := flows[2][0]
	h.engine.sweep(h.now)
	swept := h.engine.lastSweep
	u := h.engine.upstreams[1]
	u.counts = answerCounts{}
	flows[1][0].sendRequest()
	h.passPackets(idle, 100*time.Millisecond)
	flows[1][1].sendRequest()
	flows[1][1].ackResponse() // an answer to another flow does not hide it
	h.passPackets(idle, minOverdue-100*time.Millisecond)
	g.Expect(u.counts.failed).To(BeZero(), "it is not overdue yet")
	h.passPackets(idle, overdueCheckInterval+10*time.Millisecond)
	g.Expect(u.counts.failed).To(BeNumerically(">", 0.9*overdueWeight))
	g.Expect(h.engine.lastSweep).To(Equal(swept), "no sweep was needed")
	h.passPackets(idle, 2*time.Second)
	u.counts.decay(h.now)
	g.Expect(u.counts.failed).To(BeNumerically("==", overdueWeight), "it counts once, and until it ends")
	flows[1][0].send(Segment{RST: true})
	u.counts.decay(h.now.Add(time.Minute))
	g.Expect(u.counts.failed).To(BeNumerically("~", 0, 0.01))
}
