package catalog

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// restored returns the position of the revision in the epoch after the first restore.
func restored(revision uint64) Position { return Position{Epoch: 1, Revision: revision} }

// record returns the sequence-th record of the upstream's process that started at the
// time, which is given in seconds after start.
func record(name string, started int, sequence uint64) *Upstream {
	u := upstream(name)
	u.RecordID = RecordID{Started: start.Add(time.Duration(started) * time.Second), Sequence: sequence}
	return u
}

// draining returns the record as that of an upstream that drains.
func draining(u *Upstream) *Upstream {
	u.Draining = true
	return u
}

// listRestored merges the first listing after a restore.
func listRestored(c *Catalog, now time.Time, position Position, changes ...Change) {
	c.BeginListing()
	if err := c.AddPage(now, Page{Position: position, Current: true, Changes: changes}); err != nil {
		panic(err)
	}
}

// TestRecordsAfterRestore covers the records of an upstream that a host may find in a
// store that came back from a copy, by what the host knew before.
func TestRecordsAfterRestore(t *testing.T) {
	ready := Change{Position: at(50), Upstream: record("u", 0, 5)}
	drains := Change{Position: at(60), Upstream: draining(record("u", 0, 9))}
	gone := Change{Position: at(70), Removed: "u"}
	fromCopy := func(u *Upstream) []Change { return []Change{{Position: restored(30), Upstream: u}} }
	tests := []struct {
		name         string
		known, found []Change
		presence     Presence
		draining     bool
		overrides    int
	}{
		{"the same record", []Change{ready}, fromCopy(record("u", 0, 5)), Registered, false, 0},
		{"an older record that says the same", []Change{ready}, fromCopy(record("u", 0, 2)), Registered, false, 0},
		{"ready, but known to drain", []Change{ready, drains}, fromCopy(record("u", 0, 5)), Registered, true, 1},
		{"ready without a sequence, but known to drain", []Change{{Position: at(60), Upstream: draining(record("u", 0, 0))}},
			fromCopy(record("u", 0, 0)), Registered, true, 1},
		{"ready, but known to have left", []Change{ready, gone}, fromCopy(record("u", 0, 5)), Departed, false, 1},
		{"draining, but known to have left", []Change{ready, drains, gone}, fromCopy(draining(record("u", 0, 7))), Departed, true, 1},
		{"an earlier process", []Change{{Position: at(50), Upstream: record("u", 8, 1)}}, fromCopy(record("u", 0, 70)), Registered, false, 1},
		{"written after the restore", []Change{ready, drains}, fromCopy(draining(record("u", 0, 12))), Registered, true, 0},
		{"started again after the restore", []Change{ready, drains, gone}, fromCopy(record("u", 8, 1)), Registered, false, 0},
		{"missing", []Change{ready}, nil, Lapsed, false, 0},
		{"missing, and known to have left", []Change{ready, gone}, nil, Departed, false, 0},
		{"only the removal was known", []Change{gone}, fromCopy(record("u", 0, 5)), Departed, false, 1},
		{"unknown before", nil, fromCopy(record("u", 0, 5)), Registered, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			c := New(Options{})
			applyListing(c, start, 80, test.known...)
			c.Apply(start, Update{Position: at(80), Changes: test.known})
			listRestored(c, start, restored(40), test.found...)
			g.Expect(presenceOf(c, "u")).To(Equal(test.presence))
			g.Expect(c.upstreams["u"].Draining).To(Equal(test.draining))
			g.Expect(c.Have()).To(Equal(Have{Position: restored(40), Overrides: test.overrides, HistoryFrom: restored(1)}))
		})
	}
}

// TestLapsedUpstreamAfterRestore covers upstreams whose registrations had lapsed in an outage
// when the store came back from a copy that has an older record of them.
func TestLapsedUpstreamAfterRestore(t *testing.T) {
	lapsed := func(u *Upstream) *Catalog {
		c := New(Options{OutageThreshold: 2 * time.Second})
		applyListing(c, start, 60, Change{Position: at(60), Upstream: u})
		applyListing(c, start.Add(6*time.Second), 80)
		listRestored(c, start.Add(7*time.Second), restored(40), Change{Position: restored(30), Upstream: record("u", 0, 5)})
		return c
	}
	t.Run("known to drain", func(t *testing.T) {
		g := NewWithT(t)
		c := lapsed(draining(record("u", 0, 9)))
		g.Expect(presenceOf(c, "u")).To(Equal(Registered), "its open flows stay until the store removes the record")
		g.Expect(c.upstreams["u"].Draining).To(BeTrue())
		g.Expect(c.overrides).To(Equal(1))
		c.Apply(start.Add(7*time.Second+2*RecoveryGracePeriod), Update{Position: restored(41)})
		g.Expect(presenceOf(c, "u")).To(Equal(Registered))
	})
	t.Run("ready", func(t *testing.T) {
		g := NewWithT(t)
		c := lapsed(record("u", 0, 9))
		g.Expect(presenceOf(c, "u")).To(Equal(Registered))
		g.Expect(c.upstreams["u"].Sequence).To(BeEquivalentTo(9))
		g.Expect(c.overrides).To(BeZero())
	})
}

// TestOverrideEnds covers what ends the disbelief in a record of the store.
func TestOverrideEnds(t *testing.T) {
	known := func() *Catalog {
		c := New(Options{})
		applyListing(c, start, 80, Change{Position: at(50), Upstream: draining(record("u", 0, 9))})
		listRestored(c, start, restored(40), Change{Position: restored(30), Upstream: record("u", 0, 5)})
		return c
	}
	t.Run("a new record of the upstream", func(t *testing.T) {
		g := NewWithT(t)
		c := known()
		c.Apply(start, Update{Position: restored(41), Changes: []Change{{Position: restored(41), Upstream: record("u", 0, 8)}}})
		g.Expect(c.upstreams["u"].Draining).To(BeTrue(), "the record is older than the one that announced the drain")
		c.Apply(start, Update{Position: restored(42), Changes: []Change{{Position: restored(42), Upstream: record("u", 0, 10)}}})
		g.Expect(c.upstreams["u"].Draining).To(BeFalse())
		g.Expect(c.overrides).To(BeZero())
	})
	t.Run("its removal", func(t *testing.T) {
		g := NewWithT(t)
		c := known()
		c.Apply(start.Add(RecoveryGracePeriod), Update{Position: restored(41), Changes: []Change{{Position: restored(41), Removed: "u"}}})
		g.Expect(presenceOf(c, "u")).To(Equal(Departed))
		g.Expect(c.overrides).To(BeZero())
	})
	t.Run("the time that a live upstream needs to keep it", func(t *testing.T) {
		g := NewWithT(t)
		c := known()
		c.Apply(start.Add(outdatedRecordLimit-time.Millisecond), Update{Position: restored(41)})
		g.Expect(c.upstreams["u"].Draining).To(BeTrue())
		c.Apply(start.Add(outdatedRecordLimit), Update{Position: restored(42)})
		g.Expect(c.upstreams["u"].Draining).To(BeFalse())
		g.Expect(c.overrides).To(BeZero())
		c.Apply(start.Add(outdatedRecordLimit), Update{Position: restored(42), Changes: []Change{
			{Position: restored(30), Override: true, Upstream: draining(record("u", 0, 9))},
		}})
		g.Expect(c.upstreams["u"].Draining).To(BeFalse(), "a host whose clock is behind must not restart the disbelief")
	})
	t.Run("another restore keeps it", func(t *testing.T) {
		g := NewWithT(t)
		c := known()
		listRestored(c, start, Position{Epoch: 2, Revision: 35}, Change{Position: Position{Epoch: 2, Revision: 30}, Upstream: record("u", 0, 5)})
		g.Expect(c.upstreams["u"].Draining).To(BeTrue())
		g.Expect(c.overrides).To(Equal(1))
	})
}

// TestStartedHostLearnsFromOthers covers a host that starts after a restore and has read
// the copy alone. The hosts that it reads tell it what the copy lacks, and so does each
// further host in a row.
func TestStartedHostLearnsFromOthers(t *testing.T) {
	g := NewWithT(t)
	fromCopy := []Change{
		{Position: restored(20), Configuration: &Configuration{Version: 5}},
		{Position: restored(30), Upstream: record("leaves", 0, 5)}, {Position: restored(31), Upstream: record("left", 0, 5)},
	}
	knowing := New(Options{})
	applyListing(knowing, start, 80, configuration(60, 7), Change{Position: at(61), Upstream: draining(record("leaves", 0, 9))},
		Change{Position: at(62), Upstream: record("left", 0, 6)})
	knowing.Apply(start, Update{Position: at(81), Changes: []Change{removal(81, "left")}})
	listRestored(knowing, start, restored(40), fromCopy...)
	parent := knowing
	for range 3 {
		started := New(Options{})
		listRestored(started, start, restored(45), fromCopy...)
		g.Expect(started.Version()).To(BeEquivalentTo(5))
		g.Expect(follow(started, parent, start)).To(BeTrue())
		g.Expect(started.Version()).To(BeEquivalentTo(7))
		g.Expect(started.upstreams["leaves"].Draining).To(BeTrue())
		g.Expect(presenceOf(started, "left")).To(Equal(Departed))
		g.Expect(started.Have().Overrides).To(Equal(2))
		parent = started
	}
}

// TestOverrideCarriesTheStoredRecord covers a host that learns from another one that an
// upstream has left, and never reads the store's record itself: it has the record once the
// override ends.
func TestOverrideCarriesTheStoredRecord(t *testing.T) {
	g := NewWithT(t)
	knowing, following := New(Options{}), New(Options{})
	applyListing(knowing, start, 80, Change{Position: at(50), Upstream: record("u", 0, 5)})
	knowing.Apply(start, Update{Position: at(81), Changes: []Change{removal(81, "u")}})
	listRestored(knowing, start, restored(40), Change{Position: restored(30), Upstream: record("u", 0, 5)})
	g.Expect(follow(following, knowing, start)).To(BeTrue())
	g.Expect(presenceOf(following, "u")).To(Equal(Departed))
	following.Apply(start.Add(outdatedRecordLimit), Update{Position: restored(41)})
	g.Expect(presenceOf(following, "u")).To(Equal(Registered))
	g.Expect(following.upstreams["u"].Upstream).To(Equal(*record("u", 0, 5)))
}

// TestOverrideOfRemovedRecord covers a host that has read the store after the removal of an
// outdated record, and then a host that still overrides that record. If it took over the
// override, both would use the upstream again once the override ends.
func TestOverrideOfRemovedRecord(t *testing.T) {
	for name, last := range map[string]Change{"left": removal(81, "u"), "drains": {Position: at(81), Upstream: draining(record("u", 0, 9))}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			behind, ahead := New(Options{}), New(Options{})
			applyListing(behind, start, 80, Change{Position: at(50), Upstream: record("u", 0, 5)})
			behind.Apply(start, Update{Position: at(81), Changes: []Change{last}})
			listRestored(behind, start, restored(40), Change{Position: restored(30), Upstream: record("u", 0, 5)})
			listRestored(ahead, start, restored(41))
			for range 2 {
				g.Expect(follow(ahead, behind, start)).To(BeTrue())
				g.Expect(ahead.overrides).To(BeZero())
			}
			g.Expect(follow(behind, ahead, start.Add(RecoveryGracePeriod))).To(BeTrue())
			g.Expect(behind.overrides).To(BeZero())
			for _, c := range []*Catalog{behind, ahead} {
				c.expireEntries(start.Add(outdatedRecordLimit))
				g.Expect(presenceOf(c, "u")).To(Equal(Departed))
				g.Expect(c.upstreams["u"].ID).NotTo(BeZero(), "packets of its flows are those of a known upstream")
			}
		})
	}
}

func TestConfigurationAfterRestore(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 80, configuration(60, 7))
	listRestored(c, start, restored(40), Change{Position: restored(20), Configuration: &Configuration{Version: 5}})
	g.Expect(c.Version()).To(BeEquivalentTo(7), "the copy's version is older")
	c.TakeView()
	c.Apply(start, Update{Position: restored(41), Changes: []Change{{Position: restored(41), Configuration: &Configuration{Version: 7}}}})
	_, changed := c.TakeView()
	g.Expect(changed).To(BeFalse(), "the same version changes nothing")
	c.Apply(start, Update{Position: restored(42), Changes: []Change{{Position: restored(42), Configuration: &Configuration{Version: 9}}}})
	g.Expect(c.Version()).To(BeEquivalentTo(9), "its revision is lower than that of version 7")
}

func TestRestoreIsSeenByTheEpochOrByTheRevision(t *testing.T) {
	tests := []struct {
		name     string
		page     Page
		restored bool
		err      error
	}{
		{"a later epoch", Page{Position: restored(90)}, true, nil},
		{"a lower revision, read from a store without epochs", Page{Position: at(70), Current: true}, true, nil},
		{"a lower revision that may be stale", Page{Position: at(70)}, false, nil},
		{"the same position", Page{Position: at(80), Current: true}, false, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			c := New(Options{})
			applyListing(c, start, 80, registration(50, "u"))
			c.BeginListing()
			g.Expect(c.AddPage(start, test.page)).To(Succeed())
			events := c.TakeEvents()
			g.Expect(len(events) > 0 && events[0].Kind == StoreRestored).To(Equal(test.restored))
			if test.restored {
				g.Expect(c.Position()).To(Equal(test.page.Position))
				g.Expect(events[0].PreviousPosition).To(Equal(at(80)))
			}
		})
	}
}

// TestRestoreDuringListing covers pages from both sides of a restore: they are not one
// listing.
func TestRestoreDuringListing(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 80, registration(50, "a"), registration(51, "b"))
	c.BeginListing()
	g.Expect(c.AddPage(start, Page{Position: at(80), Next: "a", Changes: []Change{registration(50, "a")}})).To(Succeed())
	g.Expect(c.AddPage(start, Page{Position: restored(60)})).To(MatchError(ErrOutdated))
	g.Expect(presenceOf(c, "b")).To(Equal(Registered))
	c.BeginListing()
	g.Expect(c.AddPage(start, Page{Position: restored(60), Next: "a", Changes: []Change{{Position: restored(50), Upstream: upstream("a")}}})).To(Succeed())
	g.Expect(c.Position()).To(Equal(at(80)), "other hosts read the catalog of the earlier epoch until the listing is complete")
	g.Expect(c.AddPage(start, Page{Position: restored(61)})).To(Succeed())
	g.Expect(c.Position()).To(Equal(restored(60)))
	g.Expect(presenceOf(c, "b")).To(Equal(Lapsed))
	c.BeginListing()
	g.Expect(c.AddPage(start, Page{Position: at(99)})).To(MatchError(ErrOutdated), "an answer from before the restore")
	g.Expect(c.Apply(start, Update{Position: at(99)})).To(BeFalse())
	g.Expect(c.Position()).To(Equal(restored(60)))
}

// TestFollowerOfAnotherEpoch checks that changes are offered only within an epoch.
func TestFollowerOfAnotherEpoch(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 80, registration(50, "a"))
	listRestored(c, start, restored(60), Change{Position: restored(50), Upstream: upstream("a")})
	_, ok := c.ChangesSince(start, Have{Position: at(79)})
	g.Expect(ok).To(BeFalse())
	_, ok = c.ChangesSince(start, Have{Position: Position{Epoch: 2, Revision: 61}})
	g.Expect(ok).To(BeFalse())
	_, ok = c.ChangesSince(start, Have{Position: restored(60)})
	g.Expect(ok).To(BeTrue())
}

func TestPeerKeyAfterRestore(t *testing.T) {
	key := func(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }
	keyAt := func(position Position, b byte) Change { return Change{Position: position, PeerKey: key(b)} }
	tests := []struct {
		name         string
		known        []Change
		found        []Change
		want, former []byte
		lost         *LostPeerKey
	}{
		{"in the copy", []Change{keyAt(at(20), 1)}, []Change{keyAt(restored(20), 1)}, key(1), nil, nil},
		{"younger than the copy", []Change{keyAt(at(70), 1)}, nil, key(1), nil, &LostPeerKey{Stored: restored(0)}},
		{"created again by another host", []Change{keyAt(at(70), 1)}, []Change{keyAt(restored(41), 2)}, key(2), key(1), nil},
		{"withdrawn before", []Change{keyAt(at(20), 1), keyAt(at(70), 2)}, []Change{keyAt(restored(20), 1)}, key(2), nil, &LostPeerKey{Stored: restored(20)}},
		{"unknown before", nil, []Change{keyAt(restored(20), 1)}, key(1), nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			c := New(Options{})
			applyListing(c, start, 80, test.known...)
			listRestored(c, start, restored(42), test.found...)
			view, _ := c.TakeView()
			g.Expect(view.PeerKey).To(Equal(test.want))
			g.Expect(view.FormerPeerKey).To(Equal(test.former))
			g.Expect(view.LostPeerKey).To(Equal(test.lost))
			c.Apply(start, Update{Position: restored(50), Changes: []Change{{Position: restored(50), PeerKey: test.want}}})
			view, _ = c.TakeView()
			g.Expect(view.PeerKey == nil || view.LostPeerKey == nil).To(BeTrue(), "the key was written again")
		})
	}
}

func TestStoredSnapshotAfterRestore(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	applyListing(c, start, 80)
	c.SetStoredSnapshot(StoredSnapshot{Written: at(79), Have: Have{Position: at(78)}})
	listRestored(c, start, restored(42))
	g.Expect(c.StoredSnapshot()).To(Equal(StoredSnapshot{}), "a revision of the earlier epoch is no precondition")
	c.SetStoredSnapshot(StoredSnapshot{Written: restored(41), Have: Have{Position: at(30)}})
	g.Expect(c.StoredSnapshot().Written).To(Equal(restored(41)))
}
