package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
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
