package edge

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/registration"
	"github.com/oatlatch/oatlatch/internal/snapshot"
)

// at returns the position of the revision in the first epoch.
func at(revision uint64) catalog.Position { return catalog.Position{Revision: revision} }

// fakeSnapshotStore holds a snapshot like the platform's store. It fails with err, if
// set, after it has executed the write.
type fakeSnapshotStore struct {
	current catalog.StoredSnapshot
	leases  []uint64
	err     error
}

func (s *fakeSnapshotStore) ReadSnapshot(context.Context) (snapshot.Record, error) {
	return snapshot.Record{}, snapshot.ErrNone
}

func (s *fakeSnapshotStore) WriteSnapshot(_ context.Context, sealed []byte, lease uint64, previous catalog.Position) (catalog.StoredSnapshot, error) {
	if s.current.Written != previous {
		return s.current, snapshot.ErrConflict
	}
	header, err := snapshot.Header(sealed)
	if err != nil {
		return catalog.StoredSnapshot{}, err
	}
	s.leases = append(s.leases, lease)
	s.current = catalog.StoredSnapshot{Written: at(header.Position.Revision + 1), Have: header}
	return s.current, s.err
}

// fakeCatalog is a catalog at a position.
type fakeCatalog struct {
	own    catalog.Have
	stored catalog.StoredSnapshot
}

func (c *fakeCatalog) SnapshotState() (catalog.Have, catalog.StoredSnapshot) { return c.own, c.stored }
func (c *fakeCatalog) SetStoredSnapshot(s catalog.StoredSnapshot)            { c.stored = s }
func (c *fakeCatalog) Snapshot() (catalog.Page, bool) {
	return catalog.Page{Position: c.own.Position}, true
}

// testPublisher is a publisher of rank 0 with a virtual clock.
type testPublisher struct {
	*snapshotPublisher
	catalog *fakeCatalog
	clock   time.Time
	lease   registration.Lease
}

func newTestPublisher(store snapshot.Store) *testPublisher {
	p := &testPublisher{catalog: &fakeCatalog{own: catalog.Have{Position: at(10), Version: 1}}, clock: time.Unix(1_000_000, 0), lease: registration.Lease{ID: 5}}
	p.snapshotPublisher = &snapshotPublisher{
		catalog: p.catalog, store: store, schedule: snapshot.NewSchedule(5 * time.Second), wake: make(chan struct{}, 1),
		lease: func() registration.Lease { return p.lease }, now: func() time.Time { return p.clock }, logger: zerolog.Nop(),
	}
	p.setView(&catalog.View{PeerKey: bytes.Repeat([]byte{1}, 32)}, "quay")
	return p
}

// advance moves the clock and the catalog's position.
func (p *testPublisher) advance(d time.Duration, position uint64) {
	p.clock = p.clock.Add(d)
	p.catalog.own.Position.Revision = position
	p.publishIfDue(context.Background())
}

func TestSnapshotIsWrittenUnderTheLeaseOfTheRegistration(t *testing.T) {
	g := NewWithT(t)
	store := &fakeSnapshotStore{}
	p := newTestPublisher(store)
	p.lease.ID = 0
	p.advance(0, 10)
	g.Expect(store.leases).To(BeEmpty(), "a host without a registration writes no snapshot")
	p.lease.ID = 5
	p.advance(time.Second, 11)
	g.Expect(store.leases).To(Equal([]uint64{5}))
	g.Expect(p.catalog.stored.Position).To(Equal(at(11)))
}

// TestSnapshotOfAnotherHostStays covers two hosts that write at the same time: the second
// learns what the first wrote and replaces it only when it is due again.
func TestSnapshotOfAnotherHostStays(t *testing.T) {
	g := NewWithT(t)
	store := &fakeSnapshotStore{current: catalog.StoredSnapshot{Written: at(9), Have: catalog.Have{Position: at(8), Version: 1}}}
	p := newTestPublisher(store)
	p.advance(0, 10)
	g.Expect(store.leases).To(BeEmpty())
	g.Expect(p.catalog.stored).To(Equal(store.current))
	p.advance(time.Second, 12)
	g.Expect(store.leases).To(BeEmpty())
	p.advance(5*time.Second, 14)
	g.Expect(store.current.Position).To(Equal(at(14)))
}

// TestUselessSnapshotIsReplaced covers bytes of another writer in the place of the
// snapshot.
func TestUselessSnapshotIsReplaced(t *testing.T) {
	g := NewWithT(t)
	store := &fakeSnapshotStore{current: catalog.StoredSnapshot{Written: at(9)}}
	p := newTestPublisher(store)
	p.advance(0, 10)
	g.Expect(p.catalog.stored).To(Equal(store.current), "the first write tells which revision to replace")
	p.advance(time.Second, 11)
	g.Expect(store.current.Position).To(Equal(at(11)))
}

// TestLostAnswerOfSnapshotWrite covers a write that was executed although its answer was
// lost: the next write fails and tells the host so.
func TestLostAnswerOfSnapshotWrite(t *testing.T) {
	g := NewWithT(t)
	store := &fakeSnapshotStore{err: errors.New("no answer")}
	p := newTestPublisher(store)
	p.advance(0, 10)
	g.Expect(p.catalog.stored).To(Equal(catalog.StoredSnapshot{}))
	store.err = nil
	p.advance(time.Second, 11)
	g.Expect(p.catalog.stored).To(Equal(store.current))
	g.Expect(store.leases).To(HaveLen(1))
}

// TestNoSnapshotIsWrittenAcrossARestore covers a host that holds a lease of the epoch before
// the store was restored, and one whose store holds a snapshot from before.
func TestNoSnapshotIsWrittenAcrossARestore(t *testing.T) {
	g := NewWithT(t)
	store := &fakeSnapshotStore{}
	p := newTestPublisher(store)
	p.catalog.own.Position.Epoch = 1
	p.advance(0, 10)
	g.Expect(store.leases).To(BeEmpty(), "the lease may belong to another host")
	p.lease.Registered.Epoch = 1
	store.current = catalog.StoredSnapshot{Written: catalog.Position{Epoch: 1, Revision: 9}, Have: catalog.Have{Position: at(8), Version: 1}}
	p.catalog.stored = store.current
	p.advance(time.Second, 11)
	g.Expect(store.leases).To(Equal([]uint64{5}), "a snapshot of the earlier epoch is replaced at once")
}
