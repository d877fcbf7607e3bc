package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against ejections that end before a slow service has answered, or that cost a quick
// one thousands of answers, against evidence that is as old as many of its answers, and against
// a change for services with the usual answer times.
func TestTimesScaleWithTheAnswerTimes(t *testing.T) {
	tests := map[time.Duration]struct{ first, longest, lifetime time.Duration }{
		0:                       {initialEjection, maxEjection, usualEvidenceLifetime},
		time.Millisecond:        {500 * time.Millisecond, maxEjection, 5 * time.Millisecond},
		7500 * time.Microsecond: {time.Second, maxEjection, 10 * time.Millisecond},
		20 * time.Millisecond:   {initialEjection, maxEjection, usualEvidenceLifetime},
		100 * time.Millisecond:  {initialEjection, maxEjection, usualEvidenceLifetime},
		600 * time.Millisecond:  {4 * initialEjection, 4 * maxEjection, 4 * usualEvidenceLifetime},
	}
	for answerTime, test := range tests {
		t.Run(answerTime.String(), func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, tenUpstreams()...)
			if answerTime > 0 {
				h.completeRequests(watchAddress, minTypicalAnswers, answerTime)
			}
			g.Expect(h.engine.EvidenceLifetime()).To(BeNumerically("~", test.lifetime, test.lifetime/100))
			u := h.engine.upstreams[1]
			h.engine.eject(h.now, u)
			g.Expect(u.ejection.length).To(BeNumerically("~", test.first, test.first/100))
			for range 9 {
				h.engine.eject(u.ejection.until, u)
			}
			g.Expect(u.ejection.length).To(BeNumerically("~", test.longest, test.longest/100))
		})
	}
}

// Guards against a second ejection of a quick service's upstream by the evidence that led to
// the first one and outlives it.
func TestShortEjectionNeedsNewEvidenceForTheNext(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, tenUpstreams()...)
	h.completeRequests(watchAddress, minTypicalAnswers, time.Millisecond)
	u := h.engine.upstreams[1]
	u.counts = answerCounts{answers: 10, failed: 10, at: h.now}
	h.engine.evaluatePools(h.now)
	h.now = u.ejection.until
	h.engine.evaluatePools(h.now)
	g.Expect(u.counts.failed).To(BeNumerically(">", minFailedAnswers))
	g.Expect(h.ejected()).To(HaveKeyWithValue(u.Name, 1))
	h.advance(ejectionInterval)
	h.failAnswers(1, 1)
	g.Expect(h.ejected()).To(HaveKeyWithValue(u.Name, 2))
}
