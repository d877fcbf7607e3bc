package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
)

// Guards against a state that is left out, shown after it has ended, or shown with the
// reason of another one.
func TestUnusualUpstreams(t *testing.T) {
	later := startTime.Add(2 * time.Second)
	own := func(h *harness) { h.engine.suspect(h.now, h.engine.upstreams[1], Retransmissions) }
	reported := func(h *harness) {
		h.engine.SetEvidence(h.now, []evidence.Entry{{Upstream: 1, SilentHosts: 2, Strikes: 2, AnswerAge: evidence.NoAnswer}})
	}
	edit := func(change func(*catalog.Entry)) func(*harness) {
		return func(h *harness) { h.updateUpstream(1, change) }
	}
	eject := func(after time.Duration) func(*harness) {
		return func(h *harness) {
			u := h.engine.upstreams[1]
			u.counts = answerCounts{answers: 8, failed: 6, at: h.now}
			h.engine.eject(h.now, u)
			h.advance(after)
		}
	}
	tests := map[string]struct {
		change func(*harness)
		want   *UpstreamState
	}{
		"usual":           {func(*harness) {}, nil},
		"cold":            {edit(func(e *catalog.Entry) { e.WarmUntil = later }), &UpstreamState{ColdUntil: later}},
		"warm":            {edit(func(e *catalog.Entry) { e.WarmUntil = startTime }), nil},
		"draining":        {edit(func(e *catalog.Entry) { e.Draining = true }), &UpstreamState{Draining: true}},
		"departed":        {edit(func(e *catalog.Entry) { e.Draining, e.Presence = true, catalog.Departed }), nil},
		"evacuated alone": {func(h *harness) { h.evacuate(localDC) }, nil},
		"evacuated": {func(h *harness) { h.evacuate(localDC); edit(func(e *catalog.Entry) { e.Draining = true })(h) },
			&UpstreamState{Draining: true, Evacuated: true}},
		"suspected":             {own, &UpstreamState{SuspectedSince: startTime, SuspectReason: Retransmissions}},
		"suspected by reports":  {reported, &UpstreamState{SuspectedSince: startTime, SuspectReason: Reported}},
		"no longer suspected":   {func(h *harness) { own(h); h.engine.ProbeSucceeded(h.now.Add(maxHoldDown), 1) }, nil},
		"ejected":               {eject(0), &UpstreamState{Ejection: &EjectionState{Until: startTime.Add(initialEjection), Answers: 8, FailedAnswers: 6, FailingHosts: 1}}},
		"returning":             {eject(initialEjection + rampTime/2), &UpstreamState{Ejection: &EjectionState{Until: startTime.Add(initialEjection), Share: 0.5, Answers: 8, FailedAnswers: 6, FailingHosts: 1}}},
		"returned":              {eject(initialEjection + rampTime), nil},
		"with flows, suspected": {func(h *harness) { h.newFlow(orderAddress).sendSYN(); own(h) }, &UpstreamState{SuspectedSince: startTime, SuspectReason: Retransmissions, Outstanding: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
			test.change(h)
			got := h.engine.UnusualUpstreams(h.now)
			if test.want == nil {
				g.Expect(got).To(BeEmpty())
				return
			}
			test.want.Name, test.want.Service, test.want.DataCentre = "i-00000001", deskService, localDC
			g.Expect(got).To(Equal([]UpstreamState{*test.want}))
		})
	}
}

// Guards against a status that blames other hosts' reports once this host's own flows go
// unanswered.
func TestOwnEvidenceReplacesReportsAsTheReason(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, newEntry(1, localDC), newEntry(2, remoteDC))
	flows := []*testFlow{h.newFlow(orderAddress), h.newFlow(orderAddress)}
	for _, f := range flows {
		g.Expect(f.open().Upstream).To(Equal(catalog.UpstreamID(1)))
	}
	h.completeOtherServiceRequest()
	h.advance(300 * time.Millisecond) // less than pauseGap
	h.engine.SetEvidence(h.now, reported(2, 2))
	g.Expect(h.engine.UnusualUpstreams(h.now)[0].SuspectReason).To(Equal(Reported))
	since := h.now
	h.leaveUnanswered(flows...)
	state := h.engine.UnusualUpstreams(h.now)[0]
	g.Expect(state.SuspectReason).To(Equal(Retransmissions))
	g.Expect(state.SuspectedSince).To(Equal(since))
	g.Expect([]int{state.OpenFlows, state.Outstanding}).To(Equal([]int{2, 2}))
}

// TestTokenIsThatOfReleasedBuilds guards against open flows that lose their upstream in an
// upgrade: callers echo the token to hosts of either build.
func TestTokenIsThatOfReleasedBuilds(t *testing.T) {
	for id, want := range map[catalog.UpstreamID]Token{
		1: 1, 0x9e16b79e8c: 0x16b79e12, 0xffffffff00000000: 0xffffffff, 0x1234567812345678: ^Token(0),
	} {
		if got := tokenOf(id); got != want {
			t.Errorf("token of %x is %x, want %x", uint64(id), uint32(got), uint32(want))
		}
	}
}
