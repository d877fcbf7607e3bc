package membership

import (
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// recordQueue holds the records to be sent to one host.
type recordQueue struct {
	// records holds the members whose newest record the host may lack. The value is set
	// if the host may also lack the member's host description.
	records map[host.ID]bool
	// notBefore is the earliest time of the next message with queued records.
	notBefore time.Time
	// outstanding is the number of record messages whose outcome is not known yet.
	outstanding int
}

// gossipRecord queues a record for the gossip targets, except the host that sent it and
// the member itself.
func (n *Node) gossipRecord(e *entry, from host.ID) {
	for _, id := range n.gossipTargets() {
		if id != from && id != e.record.ID {
			n.enqueueRecord(id, e.record.ID, e.isNewProcess())
		}
	}
}

// gossipTargets returns the hosts to which new records are passed on: those that this
// host probes, and its contacts. A host through which many others join has many
// contacts; it picks maxGossipContacts of them at random, and these pass the records on
// to the rest.
func (n *Node) gossipTargets() []host.ID {
	ids := sortedIDs(n.contacts)
	if len(ids) > maxGossipContacts {
		n.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		ids = ids[:maxGossipContacts]
	}
	for _, id := range sortedIDs(n.probes) {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// enqueueRecord queues the newest record of a member for a host that may lack it.
func (n *Node) enqueueRecord(to, member host.ID, withDescription bool) {
	if e := n.entries[to]; e == nil || e == n.self {
		return
	}
	q := n.recordQueues[to]
	if q == nil {
		q = &recordQueue{records: make(map[host.ID]bool)}
		n.recordQueues[to] = q
	}
	if len(q.records) == 0 {
		wait := time.Duration(n.random.Int64N(int64(gossipInterval)))
		q.notBefore = later(q.notBefore, n.lastStep.Add(wait))
	}
	q.records[member] = q.records[member] || withDescription
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// nextRecords returns the queued records for the next message to a host. They stay
// queued until the message has been answered.
func (n *Node) nextRecords(now time.Time, to host.ID) []Record {
	q := n.recordQueues[to]
	if q == nil {
		return nil
	}
	q.notBefore = now.Add(gossipInterval)
	var records []Record
	for _, id := range sortedIDs(q.records) {
		if len(records) == maxRecords {
			break
		}
		if e := n.entries[id]; e != nil {
			records = append(records, e.export(q.records[id]))
		}
	}
	return records
}

// maxNewProcessSequence is the highest sequence number at which a record is passed on
// with its host description, because many hosts may not have received that yet.
const maxNewProcessSequence = 16

// isNewProcess reports whether other hosts are likely not to know the member's process
// yet.
func (e *entry) isNewProcess() bool {
	return e.record.Sequence <= maxNewProcessSequence
}

// export returns the record as it is sent to other hosts.
func (e *entry) export(withDescription bool) Record {
	record := e.record
	if withDescription && e.described {
		description := e.host
		record.Host = &description
	}
	return record
}

// sendRecords appends the messages with queued records that are due, and drops the
// queues of hosts that are neither in contact nor probed.
func (n *Node) sendRecords(now time.Time, exchanges []Exchange) []Exchange {
	for _, id := range sortedIDs(n.recordQueues) {
		q := n.recordQueues[id]
		if len(q.records) == 0 || !n.canSendRecords(id, q) {
			if !n.inContact(n.entries[id]) && n.probes[id] == nil {
				delete(n.recordQueues, id)
			}
			continue
		}
		if now.Before(q.notBefore) {
			continue
		}
		q.outstanding++
		exchanges = append(exchanges, n.newExchange(now, n.entries[id], false))
	}
	return exchanges
}

// canSendRecords reports whether a record message may be sent to the host: it is in
// contact, its address is known and no earlier message is outstanding.
func (n *Node) canSendRecords(id host.ID, q *recordQueue) bool {
	e := n.entries[id]
	return n.inContact(e) && e.described && q.outstanding == 0
}

// dequeueRecords removes the records of an answered message from the queue, except
// those that have changed since.
func (n *Node) dequeueRecords(to host.ID, records []Record) {
	q := n.recordQueues[to]
	if q == nil {
		return
	}
	for i := range records {
		e := n.entries[records[i].ID]
		if e == nil || e.record.compare(&records[i]) == 0 {
			delete(q.records, records[i].ID)
		}
	}
}
