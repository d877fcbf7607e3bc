package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestEvacuationAfterRestore covers what a host keeps when the store comes back from a copy,
// by what it knew and what the copy has, and what ends it.
func TestEvacuationAfterRestore(t *testing.T) {
	requested, removed := []Change{evacuate(at(50), "a")}, []Change{evacuate(at(50), "a"), withdraw(at(70), "a")}
	tests := []struct {
		name         string
		known, found []Change
		inForce      bool
		overrides    int
		afterLimit   bool
	}{
		{"the same request", requested, []Change{evacuate(restored(50), "a")}, true, 0, true},
		{"a request that the copy lacks", requested, nil, true, 1, false},
		{"an earlier request", requested, []Change{evacuate(restored(30), "a")}, true, 0, true},
		{"a removal that the copy has not seen", removed, []Change{evacuate(restored(50), "a")}, false, 1, true},
		{"a removal that the copy has seen", removed, nil, false, 0, false},
		{"a request written since, at a revision that the host has not seen", removed, []Change{evacuate(restored(81), "a")}, true, 0, true},
		{"unknown before", nil, []Change{evacuate(restored(30), "a")}, true, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			known := func() *Catalog {
				c := New(Options{})
				applyListing(c, start, 10)
				c.Apply(start, Update{Position: at(80), Changes: test.known})
				listRestored(c, start, restored(85), test.found...)
				return c
			}
			c := known()
			g.Expect(evacuated(c)).To(HaveLen(map[bool]int{true: 1}[test.inForce]))
			g.Expect(c.Have().Overrides).To(Equal(test.overrides))
			c.Apply(start.Add(outdatedRecordLimit-time.Millisecond), Update{Position: restored(86)})
			g.Expect(evacuated(c)).To(HaveLen(map[bool]int{true: 1}[test.inForce]))
			c.Apply(start.Add(outdatedRecordLimit), Update{Position: restored(87)})
			g.Expect(evacuated(c)).To(HaveLen(map[bool]int{true: 1}[test.afterLimit]))
			g.Expect(c.Have().Overrides).To(BeZero())

			c = known()
			c.Apply(start, Update{Position: restored(86), Changes: []Change{withdraw(restored(86), "a")}})
			g.Expect(evacuated(c)).To(BeEmpty(), "removed in the new epoch")
			g.Expect(c.Have().Overrides).To(BeZero())
			c.Apply(start, Update{Position: restored(87), Changes: []Change{evacuate(restored(87), "a")}})
			g.Expect(evacuated(c)).To(HaveLen(1), "requested in the new epoch")

			c = known()
			listRestored(c, start, Position{Epoch: 2, Revision: 84}, test.found...)
			g.Expect(evacuated(c)).To(HaveLen(map[bool]int{true: 1}[test.inForce]), "after another restore")
		})
	}
}

// TestStartedHostLearnsOfEvacuations covers a host that starts after a restore and has read
// the copy alone: the hosts that it reads tell it what the copy lacks, and for how long.
func TestStartedHostLearnsOfEvacuations(t *testing.T) {
	g := NewWithT(t)
	fromCopy := []Change{evacuate(restored(30), "removed")}
	knowing := New(Options{})
	applyListing(knowing, start, 80, evacuate(at(30), "removed"), evacuate(at(60), "lost"))
	knowing.Apply(start, Update{Position: at(81), Changes: []Change{withdraw(at(81), "removed")}})
	listRestored(knowing, start, restored(40), fromCopy...)
	parent := knowing
	for i := range 3 {
		now := start.Add(time.Duration(i+1) * 4 * time.Second)
		started := New(Options{})
		listRestored(started, now, restored(45), fromCopy...)
		g.Expect(evacuated(started)).To(Equal([]string{"removed"}))
		g.Expect(follow(started, parent, now)).To(BeTrue())
		g.Expect(evacuated(started)).To(Equal([]string{"lost"}))
		g.Expect(started.Have().Overrides).To(Equal(2))
		parent = started
	}
	end := start.Add(outdatedRecordLimit)
	parent.Apply(end, Update{Position: restored(46)})
	g.Expect(evacuated(parent)).To(Equal([]string{"removed"}), "the time began with the first host")
	knowing.lastContact = start
	g.Expect(follow(parent, knowing, start.Add(time.Second))).To(BeTrue())
	g.Expect(evacuated(parent)).To(Equal([]string{"removed"}), "a host whose clock is behind must not start it again")
}

// TestOverrideOfRemovedRequest covers a host that has read the store after a request of the
// copy was removed, and then a host that still overrides that request. If it took over the
// override, the evacuation would be in force again once the override ends.
func TestOverrideOfRemovedRequest(t *testing.T) {
	for name, known := range map[string][]Change{"request known": {evacuate(at(30), "a")}, "nothing known": nil} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			behind, ahead := New(Options{}), New(Options{})
			applyListing(behind, start, 80, evacuate(at(30), "a"))
			behind.Apply(start, Update{Position: at(81), Changes: []Change{withdraw(at(81), "a")}})
			listRestored(behind, start, restored(40), evacuate(restored(30), "a"))
			applyListing(ahead, start, 80, known...)
			listRestored(ahead, start, restored(41))
			g.Expect(follow(ahead, behind, start)).To(BeTrue())
			g.Expect(ahead.Have().Overrides).To(BeZero())
			g.Expect(follow(behind, ahead, start)).To(BeTrue())
			for _, c := range []*Catalog{behind, ahead} {
				c.expireEntries(start.Add(outdatedRecordLimit))
				g.Expect(evacuated(c)).To(BeEmpty())
			}
		})
	}
}

// TestWriteAfterRestoreEndsWhatAnotherHostKeeps covers a host that took a record of the new
// epoch for one of the copy, or missed a removal, because it read the store later: hosts
// that saw the write tell it.
func TestWriteAfterRestoreEndsWhatAnotherHostKeeps(t *testing.T) {
	t.Run("a request", func(t *testing.T) {
		g := NewWithT(t)
		saw, keeps := New(Options{}), New(Options{})
		listRestored(saw, start, restored(30))
		saw.Apply(start, Update{Position: restored(31), Changes: []Change{evacuate(restored(31), "a")}})
		applyListing(keeps, start, 80, evacuate(at(50), "a"))
		keeps.Apply(start, Update{Position: at(81), Changes: []Change{withdraw(at(81), "a")}})
		listRestored(keeps, start, restored(35), evacuate(restored(31), "a"))
		g.Expect(evacuated(keeps)).To(BeEmpty(), "it looks like the copy's")
		g.Expect(follow(saw, keeps, start)).To(BeTrue())
		g.Expect(evacuated(saw)).To(Equal([]string{"a"}))
		g.Expect(follow(keeps, saw, start)).To(BeTrue())
		g.Expect(evacuated(keeps)).To(Equal([]string{"a"}))
	})
	t.Run("a removal", func(t *testing.T) {
		g := NewWithT(t)
		saw, keeps := New(Options{}), New(Options{})
		listRestored(saw, start, restored(30), evacuate(restored(20), "a"))
		saw.Apply(start, Update{Position: restored(31), Changes: []Change{withdraw(restored(31), "a")}})
		applyListing(keeps, start, 80, evacuate(at(20), "a"))
		listRestored(keeps, start, restored(35))
		g.Expect(evacuated(keeps)).To(Equal([]string{"a"}), "the copy may lack it")
		g.Expect(follow(saw, keeps, start)).To(BeTrue())
		g.Expect(evacuated(saw)).To(BeEmpty())
		g.Expect(follow(keeps, saw, start)).To(BeTrue())
		g.Expect(evacuated(keeps)).To(BeEmpty())
	})
}

// TestRequestSeenInALaterListing guards against a request that is lost in a second restore
// because a host that read it in a listing cannot tell it from a request of the first copy, and
// takes the earlier removal of that one for the later write.
func TestRequestSeenInALaterListing(t *testing.T) {
	g := NewWithT(t)
	saw, missed := New(Options{}), New(Options{})
	for _, c := range []*Catalog{saw, missed} {
		listRestored(c, start, restored(30), evacuate(restored(20), "a"))
	}
	saw.Apply(start, Update{Position: restored(31), Changes: []Change{withdraw(restored(31), "a")}})
	listRestored(missed, start, restored(35))
	listRestored(saw, start, restored(36), evacuate(restored(36), "a"))
	for _, c := range []*Catalog{saw, missed} {
		listRestored(c, start, Position{Epoch: 2, Revision: 35})
	}
	g.Expect(follow(saw, missed, start)).To(BeTrue())
	g.Expect(evacuated(saw)).To(Equal([]string{"a"}))
	g.Expect(follow(missed, saw, start)).To(BeTrue())
	g.Expect(evacuated(missed)).To(Equal([]string{"a"}), "a kept request counts also where only an earlier removal is known")
}

// TestOverrideOfAnEarlierRemoval covers a host that learns of a restore from one which
// overrides a request of the copy and does not know that the request was written again. If
// the request had no position, hosts that read this one would never learn of it.
func TestOverrideOfAnEarlierRemoval(t *testing.T) {
	g := NewWithT(t)
	removed, again, started := New(Options{}), New(Options{}), New(Options{})
	for _, c := range []*Catalog{removed, again} {
		applyListing(c, start, 30, evacuate(at(20), "a"))
		c.Apply(start, Update{Position: at(31), Changes: []Change{withdraw(at(31), "a")}})
	}
	again.Apply(start, Update{Position: at(32), Changes: []Change{evacuate(at(32), "a")}})
	listRestored(removed, start, restored(30), evacuate(restored(20), "a"))
	g.Expect(follow(again, removed, start)).To(BeTrue())
	g.Expect(follow(started, again, start)).To(BeTrue())
	g.Expect(evacuated(started)).To(Equal([]string{"a"}))
}

// TestInferredRemovalIsNoWrite guards against a request that is lost because another host, which
// knows only an earlier removal, has read a later listing of the copy without the request.
func TestInferredRemovalIsNoWrite(t *testing.T) {
	g := NewWithT(t)
	keeps, behind := New(Options{}), New(Options{})
	for _, c := range []*Catalog{keeps, behind} {
		applyListing(c, start, 10, evacuate(at(5), "a"))
		c.Apply(start, Update{Position: at(20), Changes: []Change{withdraw(at(20), "a")}})
	}
	keeps.Apply(start, Update{Position: at(22), Changes: []Change{evacuate(at(22), "a")}})
	listRestored(keeps, start, restored(20))
	listRestored(behind, start, restored(25))
	g.Expect(follow(keeps, behind, start)).To(BeTrue())
	g.Expect(evacuated(keeps)).To(Equal([]string{"a"}))
}
