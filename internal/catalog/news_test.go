package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRepeatedRegistrationIsNoNews guards against hosts that read each other for records
// which were written again unchanged.
func TestRepeatedRegistrationIsNoNews(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 7, registration(3, "a"))
	before := c.Progress()
	c.Apply(start.Add(time.Second), Update{Changes: []Change{registration(9, "a")}, Position: at(9)})
	g.Expect(c.Position()).To(Equal(at(9)))
	g.Expect(before.Lacks(c.Progress())).To(BeFalse())
	c.Apply(start.Add(2*time.Second), Update{Changes: []Change{drainingRegistration(10, "a")}, Position: at(12)})
	g.Expect(before.Lacks(c.Progress())).To(BeTrue())
	g.Expect(c.Progress().Lacks(before)).To(BeFalse())
	g.Expect(Progress{Have: Have{Position: at(11)}, Newest: at(10)}.Lacks(c.Progress())).To(BeFalse(), "it has all changes up to the newest")
}

func TestLacksAfterARestore(t *testing.T) {
	g := NewWithT(t)
	old := Progress{Have: Have{Position: at(20), Version: 3}, Newest: at(20)}
	restored := Progress{Have: Have{Position: Position{Epoch: 1, Revision: 5}, Version: 3}}
	g.Expect(old.Lacks(restored)).To(BeTrue())
	g.Expect(restored.Lacks(old)).To(BeFalse())
	old.Version++
	g.Expect(restored.Lacks(old)).To(BeTrue(), "a configuration is kept whatever the store was restored from")
}
