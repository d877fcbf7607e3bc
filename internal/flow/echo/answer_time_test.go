package echo

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against ejections that end before a slow service has answered, or that cost a quick
// one thousands of answers, and against a change for services with the usual answer times.
func TestEjectionsScaleWithTheAnswerTimes(t *testing.T) {
	tests := map[string]struct {
		answerTime time.Duration
		// first is the length of the first ejection, and longest that of a later one.
		first, longest time.Duration
	}{
		"1 ms":   {time.Millisecond, 500 * time.Millisecond, maxEjection},
		"7.5 ms": {7500 * time.Microsecond, time.Second, maxEjection},
		"20 ms":  {20 * time.Millisecond, initialEjection, maxEjection},
		"60 ms":  {60 * time.Millisecond, initialEjection, maxEjection},
		"100 ms": {100 * time.Millisecond, initialEjection, maxEjection},
		"600 ms": {600 * time.Millisecond, 4 * initialEjection, 4 * maxEjection},
		"1 s":    {time.Second, 20 * initialEjection / 3, 20 * maxEjection / 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, tenUpstreams()...)
			h.completeRequests(watchAddress, minTypicalAnswers, test.answerTime)
			u := h.engine.upstreams[1]
			for i := range 10 {
				h.engine.eject(h.now, u)
				if i == 0 {
					g.Expect(u.ejection.length).To(BeNumerically("~", test.first, test.first/100))
				}
				h.now = u.ejection.until
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
	g.Expect(h.ejected()).To(HaveKeyWithValue(u.Name, 1))
	h.now = u.ejection.until
	h.engine.evaluatePools(h.now)
	g.Expect(u.counts.failed).To(BeNumerically(">", minFailedAnswers))
	g.Expect(h.ejected()).To(HaveKeyWithValue(u.Name, 1))
	h.advance(ejectionInterval)
	h.failAnswers(1, 1)
	g.Expect(h.ejected()).To(HaveKeyWithValue(u.Name, 2))
}

// Guards against evidence that is older than many answers of a quick service, and against
// taking the engine's lock more often than a slow one needs.
func TestEvidenceLifetimeFollowsTheQuickestService(t *testing.T) {
	tests := map[string]struct {
		answerTimes []time.Duration
		want        time.Duration
	}{
		"unknown":          {nil, usualEvidenceLifetime},
		"1 ms":             {[]time.Duration{time.Millisecond}, 5 * time.Millisecond},
		"usual":            {[]time.Duration{20 * time.Millisecond, 100 * time.Millisecond}, usualEvidenceLifetime},
		"600 ms":           {[]time.Duration{600 * time.Millisecond, 600 * time.Millisecond}, 4 * usualEvidenceLifetime},
		"1 ms and 600 ms":  {[]time.Duration{time.Millisecond, 600 * time.Millisecond}, 5 * time.Millisecond},
		"usual and 600 ms": {[]time.Duration{60 * time.Millisecond, 600 * time.Millisecond}, usualEvidenceLifetime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := newEntry(11, localDC)
			store.Service = storeService
			h := newHarness(t, append(tenUpstreams(), store)...)
			for i, answerTime := range test.answerTimes {
				p := h.engine.pools[[]string{deskService, storeService}[i]]
				for range minTypicalAnswers {
					p.updateProcessingTime(answerTime)
				}
			}
			h.engine.Evidence(h.now, nil)
			NewWithT(t).Expect(h.engine.EvidenceLifetime()).To(BeNumerically("~", test.want, test.want/100))
		})
	}
}
