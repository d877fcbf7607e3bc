package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// evacuate returns the request to evacuate the data centre, and withdraw its removal.
func evacuate(position Position, dataCentre string) Change {
	return Change{Position: position, Evacuation: &EvacuationRecord{DataCentre: dataCentre}}
}

func withdraw(position Position, dataCentre string) Change {
	return Change{Position: position, Evacuation: &EvacuationRecord{DataCentre: dataCentre, Withdrawn: true}}
}

// evacuated returns the names of the data centres that the catalog's view has evacuated.
func evacuated(c *Catalog) []string {
	c.viewChanged = true
	view, _ := c.TakeView()
	names := []string{}
	for _, e := range view.Evacuations {
		names = append(names, e.DataCentre)
	}
	return names
}

// TestEvacuationsByOrderOfRecords covers the orders in which requests and removals reach a
// host from the store and from others.
func TestEvacuationsByOrderOfRecords(t *testing.T) {
	tests := []struct {
		name    string
		changes []Change
		want    []string
	}{
		{"requested", []Change{evacuate(at(5), "a")}, []string{"a"}},
		{"requested and removed", []Change{evacuate(at(5), "a"), withdraw(at(6), "a")}, []string{}},
		{"the removal comes first", []Change{withdraw(at(6), "a"), evacuate(at(5), "a")}, []string{}},
		{"requested, removed and requested again", []Change{evacuate(at(5), "a"), withdraw(at(6), "a"), evacuate(at(7), "a")}, []string{"a"}},
		{"the same in another order", []Change{evacuate(at(7), "a"), evacuate(at(5), "a"), withdraw(at(6), "a")}, []string{"a"}},
		{"two data centres", []Change{evacuate(at(5), "b"), evacuate(at(6), "a"), withdraw(at(7), "c")}, []string{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := New(Options{})
			c.Apply(start, Update{Changes: test.changes, Position: at(9)})
			NewWithT(t).Expect(evacuated(c)).To(Equal(test.want))
		})
	}
}

// TestEvacuationInListing covers a listing that lacks a request: it was removed, unless it
// was written after the listing's first page.
func TestEvacuationInListing(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 10, evacuate(at(5), "a"), evacuate(at(6), "b"))
	g.Expect(evacuated(c)).To(Equal([]string{"a", "b"}))
	c.BeginListing()
	g.Expect(c.AddPage(start, Page{Position: at(20), Next: "x", Changes: []Change{evacuate(at(6), "b")}})).To(Succeed())
	c.Apply(start, Update{Position: at(10), Changes: []Change{evacuate(at(21), "c")}})
	g.Expect(c.AddPage(start, Page{Position: at(22)})).To(Succeed())
	g.Expect(evacuated(c)).To(Equal([]string{"b", "c"}))
}

// TestEvacuationView covers what a view tells of an evacuation, also on a host that has it
// from another one, and that views change only with what is in force.
func TestEvacuationView(t *testing.T) {
	g := NewWithT(t)
	c, follower := New(Options{}), New(Options{})
	c.Apply(start, Update{Position: at(5), Changes: []Change{evacuate(at(5), "a")}})
	view, changed := c.TakeView()
	g.Expect(changed).To(BeTrue())
	g.Expect(view.Evacuations).To(Equal([]Evacuation{{DataCentre: "a", Position: at(5), Since: start}}))
	c.Apply(start.Add(time.Second), Update{Position: at(6), Changes: []Change{evacuate(at(6), "a")}})
	_, changed = c.TakeView()
	g.Expect(changed).To(BeFalse(), "the request was written again")
	later := start.Add(time.Minute)
	g.Expect(follow(follower, c, later)).To(BeTrue())
	view, _ = follower.TakeView()
	g.Expect(view.Evacuations).To(Equal([]Evacuation{{DataCentre: "a", Position: at(6), Since: start}}), "the time at which it began, not that of the relay")
	events := follower.TakeEvents()
	g.Expect(events[0]).To(Equal(Event{Kind: EvacuationRequested, Position: at(6), DataCentre: "a"}))
	c.Apply(later, Update{Position: at(7), Changes: []Change{withdraw(at(7), "a")}})
	g.Expect(follow(follower, c, later)).To(BeTrue())
	view, changed = follower.TakeView()
	g.Expect(changed).To(BeTrue())
	g.Expect(view.Evacuations).To(BeEmpty())
	events = slices.DeleteFunc(follower.TakeEvents(), func(e Event) bool { return e.Kind == HistoryLearned })
	g.Expect(events).To(Equal([]Event{{Kind: EvacuationWithdrawn, Position: at(7), DataCentre: "a"}}))
}

// TestRequestFromASourceThatIsBehind guards against a request that has been removed and
// returns through a host which has not seen the removal, after this host has already
// deleted its tombstone: no later answer would repeat the removal.
func TestRequestFromASourceThatIsBehind(t *testing.T) {
	g := NewWithT(t)
	behind, c := New(Options{}), New(Options{})
	applyListing(behind, start, 5, evacuate(at(5), "a"))
	applyListing(c, start, 5, evacuate(at(5), "a"))
	c.Apply(start, Update{Position: at(6), Changes: []Change{withdraw(at(6), "a")}})
	later := start.Add(DefaultRetention + time.Second)
	c.Apply(later, Update{Position: at(7)})
	g.Expect(c.evacuations).To(BeEmpty())
	c.BeginListing()
	g.Expect(c.AddPage(later, behind.Snapshot(later))).To(Succeed())
	g.Expect(evacuated(c)).To(BeEmpty())
	c.Apply(later, Update{Position: at(5), Changes: []Change{evacuate(at(5), "a")}})
	g.Expect(evacuated(c)).To(BeEmpty())
	// The page of a host that is behind also lacks what was requested since.
	c.Apply(later, Update{Position: at(8), Changes: []Change{evacuate(at(8), "b")}})
	c.BeginListing()
	g.Expect(c.AddPage(later, behind.Snapshot(later))).To(Succeed())
	g.Expect(evacuated(c)).To(Equal([]string{"b"}))
}

// TestChangeAheadOfThePosition covers a change that reaches a host before the changes in
// front of it, as a second watch of the operator's records delivers it.
func TestChangeAheadOfThePosition(t *testing.T) {
	g := NewWithT(t)
	c, follower := New(Options{}), New(Options{})
	applyListing(c, start, 10)
	g.Expect(follow(follower, c, start)).To(BeTrue())
	c.Apply(start, Update{Position: at(10), Changes: []Change{evacuate(at(14), "a")}})
	g.Expect(c.Position()).To(Equal(at(10)))
	g.Expect(follow(follower, c, start)).To(BeTrue())
	g.Expect(evacuated(follower)).To(Equal([]string{"a"}))
	c.Apply(start, Update{Position: at(12), Changes: []Change{registration(12, "u")}})
	c.BeginListing()
	g.Expect(c.AddPage(start, Page{Position: at(13)})).To(Succeed())
	g.Expect(evacuated(c)).To(Equal([]string{"a"}), "the listing is from before the request")
	c.Apply(start, Update{Position: at(14), Changes: []Change{evacuate(at(14), "a")}})
	g.Expect(evacuated(c)).To(Equal([]string{"a"}))
}

// TestRemovedRequestIsKeptForFollowers guards against a host that never learns of a removal
// because its source has deleted the tombstone.
func TestRemovedRequestIsKeptForFollowers(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 3)
	c.Apply(start, Update{Position: at(9), Changes: []Change{evacuate(at(5), "a"), withdraw(at(6), "a"), withdraw(at(7), "unknown")}})
	last := start.Add(DefaultRetention)
	c.Apply(last, Update{Position: at(10)})
	update, ok := c.ChangesSince(last, Have{Position: at(5)})
	g.Expect(ok).To(BeTrue())
	g.Expect(update.Changes).To(HaveLen(2))
	later := last.Add(time.Second)
	c.Apply(later, Update{Position: at(11)})
	_, ok = c.ChangesSince(later, Have{Position: at(6)})
	g.Expect(ok).To(BeFalse(), "a host at 6 needs a listing, which lacks the request")
	_, ok = c.ChangesSince(later, Have{Position: at(7)})
	g.Expect(ok).To(BeTrue())
}

// evacuationWrite is a request or a removal that the operator wrote.
type evacuationWrite struct {
	dataCentre string
	requested  bool
}

// evacuationOracle checks that a catalog puts a request or a removal in force only if the
// operator wrote it after what was in force, whatever copies the store came back from.
type evacuationOracle struct {
	// last holds, by data centre, the index of the first write that explains what is in
	// force; it is missing while nothing has ever been in force.
	last    map[string]int
	inForce map[string]bool
}

func newEvacuationOracle() evacuationOracle {
	return evacuationOracle{last: make(map[string]int), inForce: make(map[string]bool)}
}

// check compares what is in force with the operator's writes, oldest first.
func (o *evacuationOracle) check(t *rapid.T, c *Catalog, writes []evacuationWrite) {
	for i := range 2 {
		name := fmt.Sprintf("dc%d", i)
		e := c.evacuations[name]
		requested := e != nil && e.requested
		if e != nil && e.settled {
			// The store has said so for outdatedRecordLimit.
			o.inForce[name] = requested
			delete(o.last, name)
			continue
		}
		if requested == o.inForce[name] {
			continue
		}
		first, known := o.last[name]
		if !known {
			first = -1
		}
		explained := false
		for j := first + 1; j < len(writes) && !explained; j++ {
			if writes[j] == (evacuationWrite{name, requested}) {
				o.last[name], explained = j, true
			}
		}
		if !explained {
			t.Fatalf("%s: the evacuation changed to %t, which nobody wrote since write %d of %v", name, requested, first, writes)
		}
		o.inForce[name] = requested
	}
}

// TestOverridesOfASnapshotHaveEnded guards against a host that starts from an old snapshot and
// keeps what other hosts kept after a restore, long after these have accepted the copy.
func TestOverridesOfASnapshotHaveEnded(t *testing.T) {
	g := NewWithT(t)
	c, started := New(Options{}), New(Options{})
	applyListing(c, start, 80, evacuate(at(30), "removed"), evacuate(at(60), "lost"))
	c.Apply(start, Update{Position: at(81), Changes: []Change{withdraw(at(81), "removed")}})
	listRestored(c, start, restored(40), evacuate(restored(30), "removed"))
	g.Expect(evacuated(c)).To(Equal([]string{"lost"}))
	page := c.Snapshot(start)
	page.Unconfirmed = true
	started.BeginListing()
	g.Expect(started.AddPage(start.Add(time.Hour), page)).To(Succeed())
	g.Expect(evacuated(started)).To(Equal([]string{"removed"}))
	g.Expect(started.Have().Overrides).To(BeZero())
}

// TestUnfinishedListingProvesNothing guards against a change that counts as written since a
// restore because a listing was begun before it and never read.
func TestUnfinishedListingProvesNothing(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 30)
	c.BeginListing()
	c.Apply(start, Update{Position: at(30), Changes: []Change{evacuate(at(20), "a")}})
	g.Expect(c.evacuations["a"].afterRestore).To(BeFalse())
	c.Apply(start, Update{Position: at(31), Changes: []Change{evacuate(at(31), "a")}})
	g.Expect(c.evacuations["a"].afterRestore).To(BeTrue())
}
