package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestEvacuationAheadOfThePosition guards against a request or a removal that waits for the
// records written before it, and against one that is undone when these arrive.
func TestEvacuationAheadOfThePosition(t *testing.T) {
	g := NewWithT(t)
	source, follower := New(Options{}), New(Options{})
	for _, c := range []*Catalog{source, follower} {
		applyListing(c, start, 7, registration(3, "a"))
	}
	source.ApplyOperator(start, []Change{evacuate(at(12), "quay-a")})
	g.Expect(evacuated(source)).To(ConsistOf("quay-a"))
	g.Expect(source.Position()).To(Equal(at(7)))
	update, ok := source.ChangesSince(start, follower.Have())
	g.Expect(ok).To(BeTrue())
	g.Expect(update.HasNewChanges(follower.Have())).To(BeTrue())
	g.Expect(follower.Apply(start, update)).To(BeTrue())
	g.Expect(evacuated(follower)).To(ConsistOf("quay-a"))
	update, _ = source.ChangesSince(start, follower.Have())
	g.Expect(update.HasNewChanges(follower.Have())).To(BeFalse(), "the follower has it")

	later := start.Add(time.Second)
	source.ApplyOperator(later, []Change{withdraw(at(15), "quay-a")})
	source.Apply(later, Update{Position: at(13), Changes: []Change{drainingRegistration(9, "a"), evacuate(at(12), "quay-a")}})
	g.Expect(evacuated(source)).To(BeEmpty(), "the removal at 15 is later than the request at 12")
	update, _ = source.ChangesSince(later, follower.Have())
	g.Expect(follower.Apply(later, update)).To(BeTrue())
	g.Expect(evacuated(follower)).To(BeEmpty())
}
