package snapshot

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// at returns the position of the revision in the first epoch.
func at(revision uint64) catalog.Position { return catalog.Position{Revision: revision} }

const testRefreshInterval = 5 * time.Second

// simulatedStore holds a snapshot as the platform's store does: a write replaces the one
// that the writer knows, or fails.
type simulatedStore struct {
	now      time.Time
	revision uint64
	stored   catalog.StoredSnapshot
	writes   int
}

// simulatedHost is a host that reads the store every second.
type simulatedHost struct {
	schedule *Schedule
	rank     int
	own      catalog.Have
	// known is the stored snapshot as the host knows it.
	known catalog.StoredSnapshot
	// down is set while the host neither reads nor writes.
	down bool
}

func newSimulatedHost(rank int) *simulatedHost {
	return &simulatedHost{schedule: NewSchedule(testRefreshInterval), rank: rank}
}

// poll reads the store and writes a snapshot if one is due.
func (h *simulatedHost) poll(s *simulatedStore, version uint64) {
	if h.down {
		return
	}
	h.own = catalog.Have{Position: at(s.revision), Version: version}
	h.known = s.stored
	h.write(s)
}

// write writes a snapshot if one is due by what the host knows.
func (h *simulatedHost) write(s *simulatedStore) {
	if !h.schedule.Due(s.now, Inputs{Rank: h.rank, Own: h.own, Stored: h.known}) || h.known.Written != s.stored.Written {
		return
	}
	s.revision++
	s.writes++
	s.stored = catalog.StoredSnapshot{Written: at(s.revision), Have: h.own}
}

// run advances the time by seconds. Each second the store changes and all hosts read it.
// It returns the longest time for which the stored snapshot was not replaced.
func (s *simulatedStore) run(seconds int, version uint64, hosts ...*simulatedHost) time.Duration {
	var oldest time.Duration
	since, written := s.now, s.stored.Written
	for range seconds {
		s.now = s.now.Add(time.Second)
		s.revision++
		for _, h := range hosts {
			h.poll(s, version)
		}
		if s.stored.Written != written {
			since, written = s.now, s.stored.Written
		}
		oldest = max(oldest, s.now.Sub(since))
	}
	return oldest
}

func newSimulatedStore() *simulatedStore {
	return &simulatedStore{now: time.Unix(1_000_000, 0), revision: 10}
}

func TestFirstHostKeepsSnapshotFresh(t *testing.T) {
	g := NewWithT(t)
	s, first, second := newSimulatedStore(), newSimulatedHost(0), newSimulatedHost(1)
	s.run(1, 1, first, second)
	g.Expect(s.writes).To(Equal(1), "a missing snapshot is written at once")
	g.Expect(s.run(60, 1, first, second)).To(BeNumerically("<=", testRefreshInterval))
	g.Expect(s.writes).To(BeNumerically("<=", 1+60/5))
	g.Expect(second.schedule.lastWrite.IsZero()).To(BeTrue())
	writes := s.writes
	s.run(1, 2, first, second)
	g.Expect(s.writes).To(Equal(writes+1), "a new configuration is written at once")
	g.Expect(s.stored.Version).To(BeEquivalentTo(2))
}

// TestNextHostTakesOver covers a writer that was killed or cut off from the store: the
// snapshot is replaced before the store's history of 20 s has passed.
func TestNextHostTakesOver(t *testing.T) {
	g := NewWithT(t)
	s, first, second, third := newSimulatedStore(), newSimulatedHost(0), newSimulatedHost(1), newSimulatedHost(2)
	s.run(10, 1, first, second, third)
	first.down = true
	g.Expect(s.run(30, 1, first, second, third)).To(BeNumerically("<=", testRefreshInterval+takeoverDelay+time.Second))
	second.down = true
	g.Expect(s.run(30, 1, first, second, third)).To(BeNumerically("<=", testRefreshInterval+2*takeoverDelay+time.Second))
	s.run(takeoverSeconds(2), 7, first, second, third)
	g.Expect(s.stored.Version).To(BeEquivalentTo(7))
}

// takeoverSeconds returns the seconds within which the host of the rank replaces a
// snapshot with an old configuration.
func takeoverSeconds(rank int) int { return rank*int(takeoverDelay/time.Second) + 1 }

// TestPausedWriterReplacesNothingNewer wakes a writer that stood still while others wrote.
func TestPausedWriterReplacesNothingNewer(t *testing.T) {
	g := NewWithT(t)
	s, first, second := newSimulatedStore(), newSimulatedHost(0), newSimulatedHost(1)
	s.run(10, 1, first, second)
	first.down = true
	s.run(20, 2, first, second)
	before := s.stored
	first.write(s)
	g.Expect(s.stored).To(Equal(before))
	// It does not write an older state either when it knows the stored snapshot.
	first.known = s.stored
	g.Expect(first.schedule.Due(s.now.Add(time.Minute), Inputs{Own: first.own, Stored: first.known})).To(BeFalse())
}

// TestTwoWritersOfTheSameRank checks that two hosts which both believe to be first do
// not write more often than twice the refresh interval.
func TestTwoWritersOfTheSameRank(t *testing.T) {
	g := NewWithT(t)
	s, a, b := newSimulatedStore(), newSimulatedHost(0), newSimulatedHost(0)
	g.Expect(s.run(60, 1, a, b)).To(BeNumerically("<=", testRefreshInterval))
	g.Expect(s.writes).To(BeNumerically("<=", 2*60/5))
}

func TestRankCountsDataCentresBeforeOwn(t *testing.T) {
	g := NewWithT(t)
	hosts := []catalog.Host{{Name: "b1", DataCentre: "b"}, {Name: "b2", DataCentre: "b"}, {Name: "a1", DataCentre: "a"}, {Name: "c1", DataCentre: "c"}}
	g.Expect(Rank(hosts, "b")).To(Equal(0))
	g.Expect(Rank(hosts, "a")).To(Equal(1))
	g.Expect(Rank(hosts, "c")).To(Equal(2))
	g.Expect(Rank(hosts, "d")).To(Equal(3), "a data centre without registered hosts comes last")
	g.Expect(Rank(nil, "a")).To(Equal(0))
}

// TestFalseVersionIsReplaced covers a snapshot that states a version which the operator
// has not published. Its position, which the store checks, decides.
func TestFalseVersionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	s, first := newSimulatedStore(), newSimulatedHost(0)
	s.stored = catalog.StoredSnapshot{Written: at(9), Have: catalog.Have{Position: at(8), Version: 1 << 60}}
	s.run(6, 3, first)
	g.Expect(s.stored.Version).To(BeEquivalentTo(3))
}
