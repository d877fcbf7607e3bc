package echo

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestParseMechanisms(t *testing.T) {
	g := NewWithT(t)
	set, err := ParseMechanisms("ejection,hold-down")
	g.Expect(err).NotTo(HaveOccurred())
	for _, m := range Mechanisms() {
		g.Expect(set.Has(m)).To(Equal(m == Ejection || m == HoldDown), m.String())
		g.Expect(m.String()).NotTo(BeEmpty())
	}
	g.Expect(ParseMechanisms("")).To(BeZero())
	_, err = ParseMechanisms("ejection,nonsense")
	g.Expect(err).To(MatchError(ContainSubstring("nonsense")))
}

// TestEachMechanismCanBeSwitchedOff checks that a mechanism which is off changes nothing.
func TestEachMechanismCanBeSwitchedOff(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, tenUpstreams()...)
	h.engine.options.Without = 1<<Ejection | 1<<SharedEvidence | 1<<FailedCost
	h.learnUsualAnswers()
	h.failAnswers(1, 20)
	g.Expect(h.ejected()).To(BeEmpty())
	h.engine.SetEvidence(h.now, reported(4, 4))
	g.Expect(h.suspectedNames()).To(BeEmpty())
	got := h.serve(200, isFirst)
	g.Expect(got[1]).To(BeNumerically(">", 10))
}
