package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// maxDetectionTime is the time within which a crashed host must be dead in all views.
const maxDetectionTime = 3 * time.Second

// waitForAgreement advances the clock until the views of the hosts agree and returns
// the time that passed. It fails the test after the limit.
func waitForAgreement(t *testing.T, c *testCluster, hosts []*testHost, limit time.Duration) time.Duration {
	t.Helper()
	took, ok := c.runUntil(limit, func() bool { return viewsAgree(hosts) })
	if ok {
		return took
	}
	for _, h := range hosts {
		if n := len(h.aliveMembers()); n != len(hosts) {
			t.Logf("%s sees %d of %d", h.host.ID, n, len(hosts))
		}
	}
	t.Fatalf("%d hosts do not agree after %v", len(hosts), limit)
	return 0
}

// failOnMemberLoss returns a check that fails the test if an observer's view loses one
// of the members.
func failOnMemberLoss(t *testing.T, observers, members []*testHost) func() {
	return func() {
		for _, h := range observers {
			if h.viewChanges == 0 {
				continue
			}
			h.viewChanges = 0
			alive := h.aliveMembers()
			for _, m := range members {
				if _, ok := alive[m.host.ID]; !ok {
					t.Fatalf("the view of %s lost %s", h.host.ID, m.host.ID)
				}
			}
		}
	}
}

func TestHostsFindEachOther(t *testing.T) {
	for _, size := range []int{1, 2, 3, 5, 8, 50} {
		c := newCluster(uint64(size))
		c.startAll(size, min(7, size))
		took := waitForAgreement(t, c, c.hosts, 5*time.Second)
		t.Logf("%d hosts agree after %v", size, took)
	}
}

func TestCrashedHostIsDeadWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	for _, size := range []int{2, 3, 5, 8, 50, 150, 430} {
		for seed := range uint64(min(20, (430+size/2)/size)) {
			c := newConvergedCluster(seed, size, min(7, size))
			waitForAgreement(t, c, c.hosts, time.Second)
			c.hosts[size-1].running = false
			took := waitForAgreement(t, c, c.runningHosts(), maxDetectionTime)
			t.Logf("size %d seed %d: dead in all views after %v", size, seed, took)
		}
	}
}

func TestCrashedHostIsDeadWithinThreeSecondsUnderLoss(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5, 8, 50} {
		for seed := range uint64(10) {
			c := newConvergedCluster(seed, size, min(4, size))
			c.loss = 0.2
			c.run(2*time.Second, nil)
			c.hosts[size-1].running = false
			waitForAgreement(t, c, c.runningHosts(), maxDetectionTime)
		}
	}
}

func TestNoFlappingUnderLoss(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ size, seeds int }{{2, 60}, {3, 40}, {4, 40}, {5, 40}, {8, 20}, {50, 3}, {150, 1}} {
		t.Run(fmt.Sprint(test.size), func(t *testing.T) {
			for seed := range uint64(test.seeds) {
				c := newConvergedCluster(seed, test.size, min(4, test.size))
				c.loss = 0.2
				c.run(30*time.Second, failOnMemberLoss(t, c.hosts, c.hosts))
			}
		})
	}
}

// splitByDataCentre returns the hosts inside and outside a data centre.
func splitByDataCentre(hosts []*testHost, dataCentre string) (inside, outside []*testHost) {
	for _, h := range hosts {
		if h.host.DataCentre == dataCentre {
			inside = append(inside, h)
		} else {
			outside = append(outside, h)
		}
	}
	return inside, outside
}

func TestPartitionedDataCentreKeepsItsViewAndMerges(t *testing.T) {
	t.Parallel()
	for _, size := range []int{4, 5, 50, 150} {
		for seed := range uint64(1 + 150/size/3) {
			c := newConvergedCluster(seed, size, min(7, size-1))
			inside, outside := splitByDataCentre(c.hosts, "dc-0")
			c.partitioned = func(a, b *testHost) bool {
				return (a.host.DataCentre == "dc-0") != (b.host.DataCentre == "dc-0")
			}
			check := func() {
				failOnMemberLoss(t, inside, inside)()
				failOnMemberLoss(t, outside, outside)()
			}
			c.run(maxDetectionTime, check)
			if !viewsAgree(inside) || !viewsAgree(outside) {
				t.Fatalf("size %d seed %d: views still span the partition after %v", size, seed, maxDetectionTime)
			}
			c.run(20*time.Second, check)
			c.partitioned = nil
			took, ok := c.runUntilChecked(10*time.Second, check, func() bool { return viewsAgree(c.hosts) })
			if !ok {
				t.Fatalf("size %d seed %d: views not merged after the partition ended", size, seed)
			}
			t.Logf("size %d seed %d: merged after %v", size, seed, took)
			c.run(10*time.Second, failOnMemberLoss(t, c.hosts, c.hosts))
		}
	}
}

func TestCrashOfADataCentreLosesNoOtherHost(t *testing.T) {
	t.Parallel()
	c := newConvergedCluster(1, 150, 7)
	crashed, rest := splitByDataCentre(c.hosts, "dc-3")
	for _, h := range crashed {
		h.running = false
	}
	c.run(maxDetectionTime, failOnMemberLoss(t, rest, rest))
	if !viewsAgree(rest) {
		t.Fatal("the remaining hosts do not agree")
	}
	c.run(20*time.Second, failOnMemberLoss(t, rest, rest))
}

func TestNewProcessReplacesTheOldOne(t *testing.T) {
	for _, pause := range []time.Duration{0, 200 * time.Millisecond, 10 * time.Second} {
		c := newConvergedCluster(1, 8, 4)
		old := c.hosts[5]
		old.running = false
		c.run(pause, nil)
		c.start(5, 4)
		waitForAgreement(t, c, c.runningHosts(), 3*time.Second)
	}
}

func TestNewProcessWithASlowClockReplacesTheOldOne(t *testing.T) {
	c := newConvergedCluster(1, 5, 3)
	c.hosts[4].running = false
	c.now = c.now.Add(-time.Hour)
	replacement := c.create(4, 3)
	c.now = c.now.Add(time.Hour)
	replacement.node.startedAt = c.now
	c.hosts = append(c.hosts, replacement)
	c.step(replacement)
	waitForAgreement(t, c, c.runningHosts(), 3*time.Second)
}

func TestReplacedProcessReportsErrReplaced(t *testing.T) {
	c := newConvergedCluster(1, 5, 3)
	old := c.hosts[4]
	c.run(10*time.Second, nil)
	c.start(4, 3)
	took, ok := c.runUntil(5*time.Second, func() bool { return errors.Is(old.node.Err(), ErrReplaced) })
	if !ok {
		t.Fatal("the old process does not report ErrReplaced")
	}
	t.Logf("ErrReplaced reported after %v", took)
}

func TestLeavingHostIsAnnouncedAndLeavesWithoutDetection(t *testing.T) {
	c := newConvergedCluster(1, 50, 4)
	leaving := c.hosts[9]
	leaving.node.Leave(c.now)
	c.step(leaving)
	c.run(500*time.Millisecond, nil)
	if !leaving.node.AnnouncementConfirmed() {
		t.Fatal("the announcement is not confirmed")
	}
	for _, h := range c.hosts {
		if state := h.stateOf(leaving); state != Leaving {
			t.Fatalf("%s sees state %v", h.host.ID, state)
		}
	}
	for _, exchange := range leaving.node.Stop(c.now) {
		c.send(leaving, exchange)
	}
	c.run(10*time.Millisecond, nil)
	leaving.running = false
	waitForAgreement(t, c, c.runningHosts(), time.Second)
}

// stateOf returns the state of another process in the host's view, or zero if the view
// does not hold it.
func (h *testHost) stateOf(other *testHost) State {
	for _, member := range h.node.View().Members {
		if member.Host == other.host {
			return member.State
		}
	}
	return 0
}

func TestPlatformHostListIsAdvisory(t *testing.T) {
	c := newConvergedCluster(1, 4, 2)
	observer, listed := c.hosts[0], c.hosts[3]
	listedHosts := []PlatformHost{{ID: listed.host.ID, Address: listed.host.PeerAddress}, {ID: listed.host.ID, Leaving: true}, {ID: "dc-9/none", Address: testAddress(99)}}
	observer.node.SetPlatformHosts(c.now, listedHosts)
	c.run(time.Second, nil)
	if state := observer.stateOf(listed); state != Leaving {
		t.Fatalf("host listed as live and as leaving: state %v", state)
	}
	if len(observer.aliveMembers()) != 4 {
		t.Fatal("a host that is only listed by the platform is in the view")
	}
	// A process that started after the list first named its ID is not the one meant by
	// the list.
	listed.running = false
	c.run(100*time.Millisecond, nil)
	successor := c.start(3, 2)
	observer.node.SetPlatformHosts(c.now, listedHosts)
	waitForAgreement(t, c, c.runningHosts(), 3*time.Second)
	if state := observer.stateOf(successor); state != Live {
		t.Fatalf("successor of the listed process: state %v", state)
	}
}

func TestPausedHostKeepsOtherMembers(t *testing.T) {
	c := newConvergedCluster(1, 5, 3)
	paused, others := c.hosts[2], append(append([]*testHost(nil), c.hosts[:2]...), c.hosts[3:]...)
	paused.paused = true
	c.run(maxDetectionTime, nil)
	if !viewsAgree(others) {
		t.Fatal("the paused host is not dead in all views")
	}
	c.run(5*time.Second, nil)
	paused.paused = false
	c.step(paused)
	c.runUntilChecked(3*time.Second, failOnMemberLoss(t, []*testHost{paused}, c.hosts), func() bool { return viewsAgree(c.hosts) })
	waitForAgreement(t, c, c.hosts, 3*time.Second)
}

func TestMessageRateDoesNotGrowWithClusterSize(t *testing.T) {
	t.Parallel()
	const seconds = 10
	for _, size := range []int{50, 150, 430} {
		c := newConvergedCluster(1, size, 7)
		c.countTraffic = true
		c.run(seconds*time.Second, nil)
		var messages, bytes int
		for _, h := range c.hosts {
			messages += h.messages
			bytes += h.bytes
		}
		perHost := float64(messages) / float64(size*seconds)
		if perHost > 4*maxProbeTargets+1 {
			t.Errorf("size %d: %.1f messages per second and host", size, perHost)
		}
		t.Logf("size %d: %.1f messages and %d B per second and host", size, perHost, bytes/(size*seconds))
	}
}

func TestMalformedRecordsAreIgnored(t *testing.T) {
	c := newConvergedCluster(1, 3, 3)
	node := c.hosts[0].node
	valid := c.hosts[1].node.self.export(true)
	tooManyContacts := valid
	tooManyContacts.Sequence, tooManyContacts.Contacts = 1000, make([]Key, maxContacts+1)
	otherID := valid
	otherID.Sequence, otherID.Host = 1000, &host.Host{ID: "dc-0/other"}
	unknownPhase := valid
	unknownPhase.Sequence, unknownPhase.Phase = 1000, Left+1
	node.HandleRequest(c.now, Message{From: c.hosts[1].host.ID, Records: []Record{tooManyContacts, otherID, unknownPhase, {}}})
	if node.entries[c.hosts[1].host.ID].record.Sequence != valid.Sequence {
		t.Fatal("a malformed record was applied")
	}
}

// An isolated host must try its addresses in rotation. With a random choice for each
// attempt, it could miss the only address that answers for more than 12 s. Found by
// TestViewsUnderRandomFaults with -rapid.seed=114923123.
func TestIsolatedHostTriesEveryAddressInTurn(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(seed)
		c.seeds = nil
		for i := range 7 {
			c.seeds = append(c.seeds, testAddress(i))
		}
		c.start(6, 3)
		c.run(10*time.Second, nil)
		c.start(3, 3)
		waitForAgreement(t, c, c.hosts, 2*time.Second)
	}
}

// A host must ask for a missing host description until it arrives. When 150 hosts started
// at once (seed 150), two hosts received the newest version of a record without the
// description and never asked for it again.
func TestMissingDescriptionIsRequestedUntilItArrives(t *testing.T) {
	c := newConvergedCluster(1, 50, 3)
	node := c.hosts[0].node
	// The member must be neither a contact, which would send its own record, nor a
	// seed.
	strangers := slices.DeleteFunc(slices.Clone(c.hosts[2:]), func(h *testHost) bool {
		return node.inContact(node.entries[h.host.ID]) || node.probes[h.host.ID] != nil
	})
	undescribed := strangers[0]
	stripped := node.entries[undescribed.host.ID].record
	node.removeEntry(node.entries[undescribed.host.ID])
	node.mergeRecords(c.now, c.hosts[1].host.ID, []Record{stripped})
	if node.entries[undescribed.host.ID].described {
		t.Fatal("the description is not missing")
	}
	c.run(updateInterval, nil)
	waitForAgreement(t, c, c.hosts, maxDetectionTime)
}

// A new host must keep the other members in its view if the host through which it joined
// stops. The fault: until its probe targets were computed 300 ms after joining, the new
// host was in contact only with the host that had answered it, and lost all others if that
// host stopped in the meantime. Found by TestViewsUnderRandomFaults with
// -rapid.seed=889188.
func TestNewHostStaysAfterTheHostItJoinedThroughStops(t *testing.T) {
	for seed := range uint64(30) {
		c := newConvergedCluster(seed, 3, 3)
		c.seeds = []netip.AddrPort{testAddress(0)}
		joined := c.start(3, 3)
		waitForAgreement(t, c, c.hosts, time.Second)
		c.run(40*time.Millisecond, nil)
		for _, exchange := range c.hosts[0].node.Stop(c.now) {
			c.send(c.hosts[0], exchange)
		}
		c.run(5*time.Millisecond, nil)
		c.hosts[0].running = false
		c.run(5*time.Second, failOnMemberLoss(t, []*testHost{joined}, c.hosts[1:]))
	}
}
