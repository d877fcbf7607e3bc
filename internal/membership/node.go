package membership

import (
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// ErrReplaced means that a later process uses this host's ID.
var ErrReplaced = errors.New("membership: a later process uses this host ID: stop this one, or give each host its own ID")

// Config configures a Node.
type Config struct {
	Self host.Host
	// Seeds are peer addresses of hosts to join through.
	Seeds []netip.AddrPort
	// Seed seeds the node's random number generator.
	Seed uint64
}

// Node is the membership state machine of one host. It performs no I/O: its owner
// carries out the exchanges that Step returns and reports their outcomes. It is not
// safe for concurrent use.
type Node struct {
	seeds  []netip.AddrPort
	random *rand.Rand
	self   *entry
	// replaced is set once a record shows that a later process uses this host's ID.
	replaced bool

	entries map[host.ID]*entry
	// sortedEntries holds the entries sorted by host ID.
	sortedEntries []*entry
	byKey         map[Key]*entry
	// undescribed holds the members whose host description has not been received.
	undescribed map[host.ID]*entry

	// contacts holds the members in contact with this host: those from which a probe or
	// a probe's answer has arrived within contactTimeout.
	contacts map[host.ID]*entry
	// contactsPublishDue is when the contacts are due for publication in this host's
	// record; zero if nothing is due.
	contactsPublishDue time.Time

	// probes holds the state of each probed host and recordQueues the records to be
	// sent to each host.
	probes       map[host.ID]*probeState
	recordQueues map[host.ID]*recordQueue

	// viewStale is set if reachability and the view must be recomputed. nextUpdate is
	// the earliest time for that.
	viewStale  bool
	nextUpdate time.Time
	// retargetDue is when the probe targets are to be recomputed because members have
	// become reachable or unreachable or were restarted; zero if the targets are up to
	// date.
	retargetDue time.Time
	// viewChanged is set if the view has changed since the last call of TakeChanged.
	viewChanged bool
	view        View
	// summary is the hash of the record versions of all members that are alive.
	summary uint32

	// lastStep is when Step was last called.
	lastStep time.Time
	nextJoin time.Time
	// joinAttempt counts the join attempts and selects the next address to try.
	joinAttempt int
	nextCleanup time.Time
	// nextSync is the earliest time of the next sync.
	nextSync      time.Time
	startedAt     time.Time
	platformHosts []PlatformHost
	// listedLeavingSince is when the platform's host list first reported a host as
	// leaving.
	listedLeavingSince map[host.ID]time.Time
}

// New returns a node whose view holds only itself.
func New(now time.Time, config Config) *Node {
	n := &Node{
		seeds:              config.Seeds,
		random:             rand.New(rand.NewPCG(config.Seed, hashID(config.Self.ID, 0))),
		entries:            make(map[host.ID]*entry),
		byKey:              make(map[Key]*entry),
		undescribed:        make(map[host.ID]*entry),
		probes:             make(map[host.ID]*probeState),
		contacts:           make(map[host.ID]*entry),
		recordQueues:       make(map[host.ID]*recordQueue),
		lastStep:           now,
		nextJoin:           now,
		startedAt:          now,
		listedLeavingSince: make(map[host.ID]time.Time),
	}
	description := config.Self
	n.self = n.addEntry(Record{
		ID:          description.ID,
		Generation:  uint64(now.UnixMilli()),
		Incarnation: description.Incarnation,
		Sequence:    1,
		Phase:       Active,
		Host:        &description,
	})
	n.joinAttempt = n.random.IntN(math.MaxInt16)
	n.self.reachable, n.self.reachableSince = true, now
	n.viewStale = true
	n.update(now)
	return n
}

// addEntry inserts an entry for a host that is not known yet.
func (n *Node) addEntry(record Record) *entry {
	e := &entry{record: record, key: record.key()}
	n.entries[record.ID] = e
	n.byKey[e.key] = e
	index, _ := slices.BinarySearchFunc(n.sortedEntries, record.ID, func(e *entry, id host.ID) int {
		return strings.Compare(string(e.record.ID), string(id))
	})
	n.sortedEntries = slices.Insert(n.sortedEntries, index, e)
	n.setDescription(e, record.Host)
	return e
}

// setDescription moves the host description, if there is one, from the record to the
// entry.
func (n *Node) setDescription(e *entry, description *host.Host) {
	e.record.Host = nil
	if description != nil {
		e.host, e.described = *description, true
	}
	if e.described {
		delete(n.undescribed, e.record.ID)
	} else {
		n.undescribed[e.record.ID] = e
	}
}

// removeEntry deletes all state kept for a member.
func (n *Node) removeEntry(e *entry) {
	delete(n.entries, e.record.ID)
	if n.byKey[e.key] == e {
		delete(n.byKey, e.key)
	}
	delete(n.probes, e.record.ID)
	delete(n.recordQueues, e.record.ID)
	delete(n.contacts, e.record.ID)
	delete(n.undescribed, e.record.ID)
	n.sortedEntries = slices.DeleteFunc(n.sortedEntries, func(other *entry) bool { return other == e })
}

// View returns the current view.
func (n *Node) View() View {
	return n.view
}

// Err returns ErrReplaced once a record has shown that a later process uses this host's
// ID.
func (n *Node) Err() error {
	if n.replaced {
		return ErrReplaced
	}
	return nil
}

// Step performs everything that is due and returns the exchanges to carry out.
func (n *Node) Step(now time.Time) []Exchange {
	n.compensatePause(now)
	n.expire(now)
	n.update(now)
	var exchanges []Exchange
	exchanges = n.sendProbes(now, exchanges)
	exchanges = n.sendRecords(now, exchanges)
	exchanges = n.sendSync(now, exchanges)
	return n.sendJoins(now, exchanges)
}

// NextStep returns when Step is due next.
func (n *Node) NextStep() time.Time {
	next := n.nextJoin
	if n.viewStale {
		next = earlier(next, n.nextUpdate)
	}
	for _, p := range n.probes {
		next = earlier(next, p.nextDue())
	}
	for id, q := range n.recordQueues {
		if len(q.records) > 0 && n.canSendRecords(id, q) {
			next = earlier(next, q.notBefore)
		}
	}
	for _, e := range n.contacts {
		next = earlier(next, e.lastSeen.Add(contactTimeout))
	}
	if !n.retargetDue.IsZero() {
		next = earlier(next, n.retargetDue)
	}
	if !n.contactsPublishDue.IsZero() {
		next = earlier(next, n.contactsPublishDue)
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// compensatePause extends the contacts by the time for which this process was paused,
// because it could receive nothing during that time.
func (n *Node) compensatePause(now time.Time) {
	gap := now.Sub(n.lastStep)
	n.lastStep = now
	if gap < pauseThreshold {
		return
	}
	for _, e := range n.contacts {
		e.lastSeen = e.lastSeen.Add(gap)
	}
}

// expire ends the contacts that have timed out and, every cleanupInterval, removes
// hosts that have been dead for deadRetention.
func (n *Node) expire(now time.Time) {
	for _, e := range n.contacts {
		if now.Sub(e.lastSeen) >= contactTimeout {
			n.endContact(e)
		}
	}
	if !now.Before(n.nextCleanup) {
		n.nextCleanup = now.Add(cleanupInterval)
		n.removeExpired(now)
	}
}

// removeExpired removes the hosts that have been dead for deadRetention.
func (n *Node) removeExpired(now time.Time) {
	var expired []*entry
	for _, e := range n.sortedEntries {
		if !e.reachable && !e.unreachableSince.IsZero() && now.Sub(e.unreachableSince) >= deadRetention {
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		n.removeEntry(e)
		n.viewStale = true
	}
}

// Leave announces that this host hands over its slots.
func (n *Node) Leave(now time.Time) {
	n.advancePhase(now, Departing)
}

// Stop announces that this host has left and returns the final exchanges. Their
// outcomes need not be reported.
func (n *Node) Stop(now time.Time) []Exchange {
	n.advancePhase(now, Left)
	for _, q := range n.recordQueues {
		q.notBefore = now
		q.outstanding = 0
	}
	return n.sendRecords(now, nil)
}

// advancePhase moves this host to a later phase and publishes it.
func (n *Node) advancePhase(now time.Time, phase Phase) {
	if n.self.record.Phase >= phase {
		return
	}
	n.self.record.Phase = phase
	n.publishOwnRecord()
	n.nextUpdate = now
	n.update(now)
}

// AnnouncementConfirmed reports whether all hosts in contact have confirmed the newest
// version of this host's record.
func (n *Node) AnnouncementConfirmed() bool {
	for id, q := range n.recordQueues {
		if _, waiting := q.records[n.self.record.ID]; waiting && n.inContact(n.entries[id]) {
			return false
		}
	}
	return true
}

// publishOwnRecord increments the sequence number of this host's record and queues the
// record for gossip.
func (n *Node) publishOwnRecord() {
	n.self.record.Sequence++
	n.viewStale = true
	n.gossipRecord(n.self, "")
}
