package feed

import (
	"bytes"
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/snapshot"
)

var testPeerKey = bytes.Repeat([]byte{1}, 32)

// fakeSnapshots holds a snapshot that hosts read when they start.
type fakeSnapshots struct {
	record snapshot.Record
	err    error
}

func (s *fakeSnapshots) ReadSnapshot(context.Context) (snapshot.Record, error) {
	return s.record, s.err
}

func (s *fakeSnapshots) WriteSnapshot(context.Context, []byte, uint64, catalog.Position) (catalog.StoredSnapshot, error) {
	return catalog.StoredSnapshot{}, errors.New("not used")
}

// newRestoringFeed returns a feed whose store holds a snapshot of the store's first page.
func newRestoringFeed(t *testing.T) (*testFeed, *fakeSnapshots) {
	f := newTestFeed(t)
	page := f.store.pages[""]
	sealed, err := snapshot.Seal(testPeerKey, &page, 1)
	if err != nil {
		t.Fatal(err)
	}
	snapshots := &fakeSnapshots{record: snapshot.Record{Sealed: sealed, PeerKey: testPeerKey, Written: at(8)}}
	f.feed.options.Snapshots = snapshots
	return f, snapshots
}

func (f *testFeed) restore() { f.feed.restore(context.Background()) }

// TestSnapshotServesBeforeListing checks that a host serves from the snapshot, reads the
// changes since then from the store although it has a parent, and lists nothing.
func TestSnapshotServesBeforeListing(t *testing.T) {
	g := NewWithT(t)
	f, _ := newRestoringFeed(t)
	f.feed.selector.self = "a-1"
	f.restore()
	g.Expect(f.views).To(HaveLen(1))
	g.Expect(f.views[0].Partial).To(BeTrue())
	g.Expect(f.views[0].Upstreams).To(HaveLen(1))
	f.store.update = catalog.Update{Position: at(12), Changes: []catalog.Change{{Position: at(12), Configuration: &catalog.Configuration{Version: 2}}}}
	g.Expect(f.poll()).To(BeZero())
	g.Expect(f.store.watches).To(Equal([]uint64{7}))
	g.Expect(f.peer.watches).To(BeEmpty())
	g.Expect(f.views[1].Partial).To(BeFalse())
	g.Expect(f.views[1].Configuration.Version).To(BeEquivalentTo(2))
	g.Expect(f.store.lists).To(BeEmpty())
	f.poll()
	g.Expect(f.peer.watches).To(HaveLen(1), "the parent is read from then on")
}

// TestSnapshotBeforeTheHistoryIsFollowedByListing covers a snapshot whose changes the
// store no longer has.
func TestSnapshotBeforeTheHistoryIsFollowedByListing(t *testing.T) {
	g := NewWithT(t)
	f, _ := newRestoringFeed(t)
	f.restore()
	f.store.err = ErrCompacted
	g.Expect(f.poll()).To(BeZero())
	f.store.err = nil
	f.store.pages[""] = catalog.Page{Position: at(30), Changes: []catalog.Change{
		{Position: at(20), Configuration: &catalog.Configuration{Version: 6}},
		{Position: at(21), Upstream: &catalog.Upstream{ID: 2, Name: "v", Service: "desk", Slots: 1}},
	}}
	f.poll()
	g.Expect(f.store.lists).To(Equal([]bool{false}), "the listing must not be as old as the snapshot")
	last := f.views[len(f.views)-1]
	g.Expect(last.Partial).To(BeFalse())
	g.Expect(last.Configuration.Version).To(BeEquivalentTo(6))
	g.Expect(last.Upstreams[0].Presence).To(Equal(catalog.Departed))
}

// TestSnapshotServesWhileStoreFails covers a store that fails right after a host has
// read the snapshot: the host serves on, and reads other hosts.
func TestSnapshotServesWhileStoreFails(t *testing.T) {
	g := NewWithT(t)
	f, _ := newRestoringFeed(t)
	f.restore()
	f.store.err = errors.New("refused")
	for range 4 {
		f.now = f.now.Add(f.poll())
	}
	g.Expect(f.views[0].Upstreams).To(HaveLen(1))
	g.Expect(f.peer.watches).NotTo(BeEmpty())
}

func TestListingFollowsUselessSnapshot(t *testing.T) {
	tests := []struct {
		name   string
		damage func(*fakeSnapshots)
	}{
		{"missing", func(s *fakeSnapshots) { s.err = snapshot.ErrNone }},
		{"refused", func(s *fakeSnapshots) { s.err = &StatusError{Status: 429} }},
		{"torn", func(s *fakeSnapshots) { s.record.Sealed = s.record.Sealed[:20] }},
		{"of another deployment", func(s *fakeSnapshots) { s.record.PeerKey = bytes.Repeat([]byte{2}, 32) }},
		{"of a later position than the store's", func(s *fakeSnapshots) { s.record.Written = at(7) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f, snapshots := newRestoringFeed(t)
			test.damage(snapshots)
			f.restore()
			g.Expect(f.views).To(BeEmpty())
			g.Expect(f.poll()).To(BeZero())
			g.Expect(f.store.lists).To(Equal([]bool{true}))
			g.Expect(f.views).To(HaveLen(1))
			g.Expect(f.views[0].Partial).To(BeFalse())
		})
	}
}
