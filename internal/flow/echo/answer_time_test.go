package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against ejections that end before a slow service has answered, against evidence that is as old as many of its answers, and against
// a change for services that are quicker.
func TestTimesScaleWithTheAnswerTimes(t *testing.T) {
	tests := map[time.Duration]struct{ first, longest, lifetime time.Duration }{
		0:                      {initialEjection, maxEjection, usualEvidenceLifetime},
		time.Millisecond:       {initialEjection, maxEjection, usualEvidenceLifetime},
		20 * time.Millisecond:  {initialEjection, maxEjection, usualEvidenceLifetime},
		100 * time.Millisecond: {initialEjection, maxEjection, usualEvidenceLifetime},
		600 * time.Millisecond: {4 * initialEjection, 4 * maxEjection, 4 * usualEvidenceLifetime},
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
