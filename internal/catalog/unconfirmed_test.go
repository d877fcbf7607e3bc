package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// applySnapshot merges a snapshot that was read from the store.
func applySnapshot(c *Catalog, now time.Time, position uint64, changes ...Change) {
	c.BeginListing()
	c.AddPage(now, Page{Position: at(position), Changes: changes, Unconfirmed: true})
}

// TestSnapshotReplacesNothingNewer checks that a snapshot which is older than what the
// catalog holds changes nothing in it.
func TestSnapshotReplacesNothingNewer(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 20, configuration(15, 4), drainingRegistration(16, "u"), registration(18, "v"))
	c.Apply(start, Update{Position: at(22), Changes: []Change{removal(21, "u")}})
	applySnapshot(c, start, 10, configuration(5, 3), registration(6, "u"))
	g.Expect(c.Have()).To(Equal(Have{Position: at(22), Version: 4, HistoryFrom: at(21)}))
	g.Expect(presenceOf(c, "u")).To(Equal(Departed))
	g.Expect(presenceOf(c, "v")).To(Equal(Registered), "the snapshot is older than the registration that it lacks")
}

func TestSnapshotIsPartialUntilConfirmed(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applySnapshot(c, start, 10, configuration(5, 3), registration(6, "u"))
	view, changed := c.TakeView()
	g.Expect(changed).To(BeTrue())
	g.Expect(view.Partial).To(BeTrue())
	c.Apply(start, Update{Position: at(10)})
	view, changed = c.TakeView()
	g.Expect(changed).To(BeTrue())
	g.Expect(view.Partial).To(BeFalse())
}

func TestStoredSnapshotIsTheLatest(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	written := func(revision, position uint64) Change {
		return Change{Position: at(revision), Snapshot: &StoredSnapshot{Written: at(revision), Have: Have{Position: at(position), Version: 1}}}
	}
	c.Apply(start, Update{Position: at(9), Changes: []Change{written(9, 8), written(7, 6)}})
	g.Expect(c.StoredSnapshot()).To(Equal(StoredSnapshot{Written: at(9), Have: Have{Position: at(8), Version: 1}}))
	c.Apply(start, Update{Position: at(10), Changes: []Change{{Position: at(10), Snapshot: &StoredSnapshot{}}}})
	g.Expect(c.StoredSnapshot()).To(Equal(StoredSnapshot{}), "the snapshot was removed")
	c.SetStoredSnapshot(StoredSnapshot{Written: at(9), Have: Have{Position: at(8)}})
	g.Expect(c.StoredSnapshot()).To(Equal(StoredSnapshot{}), "a read from before the removal")
}
