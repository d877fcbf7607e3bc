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

// TestOperatorRecordIsToldOnce covers a configuration that a host has before the records
// written earlier: another host gets it at once, but its watch is not ended by it again, and
// what was written in between still counts as lacking.
func TestOperatorRecordIsToldOnce(t *testing.T) {
	g := NewWithT(t)
	source, follower := New(Options{}), New(Options{})
	for _, c := range []*Catalog{source, follower} {
		applyListing(c, start, 7, registration(3, "a"), Change{Position: at(4), Configuration: &Configuration{Version: 1}})
	}
	source.ApplyOperator(start, []Change{{Position: at(12), Configuration: &Configuration{Version: 2}}, registration(11, "b")})
	g.Expect(source.Position()).To(Equal(at(7)))
	g.Expect(presenceOf(source, "b")).To(BeZero(), "only the operator's records may be merged ahead")
	g.Expect(follower.Progress().Lacks(source.Progress())).To(BeTrue())
	update, ok := source.ChangesSince(start, follower.Have())
	g.Expect(ok).To(BeTrue())
	g.Expect(update.HasNewChanges(follower.Have())).To(BeTrue())
	g.Expect(follower.Apply(start, update)).To(BeTrue())
	g.Expect(follower.Version()).To(BeEquivalentTo(2))
	g.Expect(follower.Have()).To(Equal(Have{Position: at(7), Version: 2, HistoryFrom: at(8), Ahead: at(12)}))
	update, _ = source.ChangesSince(start, follower.Have())
	g.Expect(update.HasNewChanges(follower.Have())).To(BeFalse())
	// A record of the operator that is sent again because its position lies beyond.
	update.Changes = append(update.Changes, Change{Position: at(12), Removed: "x"})
	g.Expect(update.HasNewChanges(follower.Have())).To(BeFalse())

	other := New(Options{})
	applyListing(other, start, 7, registration(3, "a"), Change{Position: at(4), Configuration: &Configuration{Version: 1}})
	other.Apply(start, Update{Position: at(12), Changes: []Change{drainingRegistration(9, "a"), {Position: at(12), Configuration: &Configuration{Version: 2}}}})
	g.Expect(follower.Progress().Lacks(other.Progress())).To(BeTrue(), "it lacks the drain at 9")
	g.Expect(other.Progress().Lacks(follower.Progress())).To(BeFalse())
	update, _ = other.ChangesSince(start, follower.Have())
	g.Expect(follower.Apply(start, update)).To(BeTrue())
	g.Expect(follower.Have()).To(Equal(Have{Position: at(12), Version: 2, HistoryFrom: at(8)}))
	g.Expect(follower.Progress().Lacks(other.Progress())).To(BeFalse())
}

func TestOperatorRecordOfAnotherEpochIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 7, Change{Position: at(4), Configuration: &Configuration{Version: 1}})
	c.ApplyOperator(start, []Change{{Position: Position{Epoch: 1, Revision: 3}, Configuration: &Configuration{Version: 2}}})
	g.Expect(c.Version()).To(BeEquivalentTo(1), "the listing after the restore tells what holds")
}
