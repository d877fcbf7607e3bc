package feed

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// restoreStore makes the store come back from a copy in the epoch, with the position and
// the changes.
func (f *testFeed) restoreStore(position catalog.Position, changes ...catalog.Change) {
	f.store.update, f.store.err = catalog.Update{}, ErrCompacted
	f.store.pages[""] = catalog.Page{Position: position, Current: true, Changes: changes}
}

// TestRestoredStoreIsListedOnce checks that a restore costs one listing and that the next
// watch begins at its position, although that is lower than before.
func TestRestoredStoreIsListedOnce(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.poll()
	f.restoreStore(catalog.Position{Epoch: 1, Revision: 5}, f.store.pages[""].Changes[:2]...)
	g.Expect(f.poll()).To(BeZero())
	f.store.err = nil
	g.Expect(f.poll()).To(BeZero())
	f.store.update = catalog.Update{Position: catalog.Position{Epoch: 1, Revision: 6}, Changes: []catalog.Change{
		{Position: catalog.Position{Epoch: 1, Revision: 6}, Configuration: &catalog.Configuration{Version: 2}},
	}}
	g.Expect(f.poll()).To(Equal(restorePause), "what was lost is written again in these seconds")
	g.Expect(f.store.watches).To(Equal([]uint64{7, 5}))
	g.Expect(f.views[len(f.views)-1].Configuration.Version).To(BeEquivalentTo(2))
	f.now = f.now.Add(restoreAttention)
	g.Expect(f.poll()).To(Equal(f.feed.options.Timing.Pause))
}

// TestStoreThatRefusesEachPositionIsNotCalledInALoop covers a store that answers each watch
// with "compacted" and each listing with the same position.
func TestStoreThatRefusesEachPositionIsNotCalledInALoop(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.poll()
	started := f.now
	calls := 0
	for f.now.Sub(started) < 3*time.Second {
		f.store.err = nil
		if f.feed.listed {
			f.store.err = ErrCompacted
		}
		f.now = f.now.Add(f.poll())
		calls++
	}
	g.Expect(calls).To(BeNumerically("<=", 10))
}

// TestHostThatIsBehindIsAbandoned covers a parent that has not seen the restore: this host
// reads the store instead, and does not go back to the parent's epoch.
func TestHostThatIsBehindIsAbandoned(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.feed.selector.self = "a-1"
	f.store.pages[""] = catalog.Page{Position: catalog.Position{Epoch: 1, Revision: 7}, Changes: f.store.pages[""].Changes}
	f.poll()
	f.peer.err = ErrBehind
	f.poll()
	g.Expect(f.peer.watches).To(HaveLen(1))
	f.store.update = catalog.Update{Position: catalog.Position{Epoch: 1, Revision: 8}}
	f.poll()
	g.Expect(f.peer.watches).To(HaveLen(1))
	g.Expect(f.store.watches).To(HaveLen(1))
}

// TestFollowerThatKnowsMoreIsRead covers a host that has started after a restore, while its
// followers ran through it.
func TestFollowerThatKnowsMoreIsRead(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.poll()
	f.feed.NoteFollower("a-1", catalog.Have{Position: at(7), Version: 1})
	f.poll()
	g.Expect(f.peer.watches).To(BeEmpty(), "it knows the same")
	f.peer.update = catalog.Update{Position: at(7), Via: "a-0", Changes: []catalog.Change{
		{Position: at(3), Override: true, Configuration: &catalog.Configuration{Version: 4}},
	}}
	f.feed.NoteFollower("a-1", catalog.Have{Position: at(7), Version: 4})
	f.poll()
	g.Expect(f.peer.watches).To(HaveLen(1))
	g.Expect(f.views[len(f.views)-1].Configuration.Version).To(BeEquivalentTo(4))
	g.Expect(sourceName(f.feed.selector.next(f.now))).To(Equal(storeName), "the store is still the source")
	for range 5 {
		f.feed.NoteFollower("a-1", catalog.Have{Position: at(7), Version: 4, Overrides: 1})
		f.poll()
	}
	g.Expect(f.peer.watches).To(HaveLen(1), "a follower is read at most once a second")
	f.feed.NoteFollower("unknown", catalog.Have{Position: at(7), Version: 9})
	f.now = f.now.Add(consultInterval)
	f.poll()
	g.Expect(f.peer.watches).To(HaveLen(1))
}

// TestFollowerThatKnowsEarlierConfigurationsIsRead covers a first host that has started from
// a listing, which leaves out former services of routes, while its followers ran before.
func TestFollowerThatKnowsEarlierConfigurationsIsRead(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.poll()
	address := netip.MustParseAddrPort("198.18.0.1:443")
	g.Expect(f.feed.have().HistoryFrom).To(Equal(at(8)))
	f.feed.NoteFollower("a-1", catalog.Have{Position: at(6), Version: 1, HistoryFrom: at(2)})
	f.poll()
	g.Expect(f.peer.watches).To(BeEmpty(), "it may have missed what was written between 6 and 7")
	f.feed.NoteFollower("a-1", catalog.Have{Position: at(7), Version: 1})
	f.poll()
	g.Expect(f.peer.watches).To(BeEmpty(), "it does not tell what it knows")
	f.peer.update = catalog.Update{Position: at(7), Via: "a-0", History: &catalog.History{
		From: at(2), Age: time.Minute, Former: []catalog.FormerService{{Address: address, Service: "desk", Dropped: at(3), Age: time.Second}},
	}}
	for range 3 {
		f.feed.NoteFollower("a-1", catalog.Have{Position: at(7), Version: 1, HistoryFrom: at(2)})
		f.now = f.now.Add(consultInterval)
		f.poll()
	}
	g.Expect(f.peer.watches).To(HaveLen(1), "the follower is read until this host knows as much")
	last := f.views[len(f.views)-1]
	g.Expect(last.Former.Has(address, "desk")).To(BeTrue())
}

// TestFollowerWithLostFormerServices covers a follower that saw configurations which the store
// has lost, and guards against calls to one that has nothing to tell.
func TestFollowerWithLostFormerServices(t *testing.T) {
	for former, watches := range map[catalog.FormerDigest]int{{Count: 1, Lost: 1, Sum: 7}: 1, {Count: 1, Sum: 7}: 0, {Lost: 1}: 0} {
		f := newTestFeed(t)
		f.poll()
		have := f.feed.have()
		have.Former = former
		f.feed.NoteFollower("a-1", have)
		f.poll()
		NewWithT(t).Expect(f.peer.watches).To(HaveLen(watches), "%+v", former)
	}
}

// TestFollowerIsNotReadDuringAListing covers a follower that knows more while this host is
// between two pages.
func TestFollowerIsNotReadDuringAListing(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.poll()
	first := f.store.pages[""]
	first.Next = "page-2"
	f.store.pages[""], f.store.pages["page-2"] = first, catalog.Page{Position: at(8)}
	f.store.err = ErrCompacted
	f.poll()
	f.store.err = nil
	f.poll()
	f.feed.NoteFollower("a-1", catalog.Have{Position: at(9), Version: 4})
	f.poll()
	g.Expect(f.peer.watches).To(BeEmpty())
	g.Expect(f.feed.listed).To(BeTrue())
}
