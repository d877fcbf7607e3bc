package membership

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// spread is what one host in contact has yet to be told.
type spread struct {
	// records are the members whose newest record the host may lack; the value is
	// set if it may lack their description too.
	records map[host.ID]bool
	// notBefore is the earliest time of the next message.
	notBefore time.Time
	// outstanding is the number of record messages without outcome.
	outstanding int
}

// spreadRecord queues a record for every host in contact but the one it came from.
func (n *Node) spreadRecord(e *entry, from host.ID) {
	for _, neighbour := range n.order {
		id := neighbour.record.ID
		if neighbour == n.self || neighbour == e || id == from {
			continue
		}
		if neighbour.contact || n.probes[id] != nil {
			n.queue(id, e.record.ID, e.young())
		}
	}
}

// queue notes that a host may lack the newest record of a member.
func (n *Node) queue(to, member host.ID, describe bool) {
	if e := n.entries[to]; e == nil || e == n.self {
		return
	}
	s := n.pending[to]
	if s == nil {
		s = &spread{records: make(map[host.ID]bool)}
		n.pending[to] = s
	}
	s.records[member] = s.records[member] || describe
}

// takeRecords returns records for a message to the host. They stay queued until
// the message has been answered.
func (n *Node) takeRecords(now time.Time, to host.ID) []Record {
	s := n.pending[to]
	if s == nil {
		return nil
	}
	s.notBefore = now.Add(spreadInterval)
	var records []Record
	for _, id := range sortedIDs(s.records) {
		if len(records) == maxRecords {
			break
		}
		if e := n.entries[id]; e != nil {
			records = append(records, e.export(s.records[id]))
		}
	}
	return records
}

// youngSequence is the version up to which a record is passed on with the
// description of its host, because many may not know it yet.
const youngSequence = 16

// young reports whether the member's process is likely to be new to others.
func (e *entry) young() bool {
	return e.record.Sequence <= youngSequence
}

// export returns the record as it is sent.
func (e *entry) export(describe bool) Record {
	record := e.record
	if describe && e.described {
		description := e.host
		record.Host = &description
	}
	return record
}

// sendRecords appends messages of queued records to hosts in contact.
func (n *Node) sendRecords(now time.Time, sends []Send) []Send {
	for _, id := range sortedIDs(n.pending) {
		s := n.pending[id]
		if len(s.records) == 0 || !n.canSpread(id, s) {
			if !n.entries[id].contact && n.probes[id] == nil {
				delete(n.pending, id)
			}
			continue
		}
		if now.Before(s.notBefore) {
			continue
		}
		s.outstanding++
		sends = append(sends, n.send(now, n.entries[id], true))
	}
	return sends
}

// canSpread reports whether records may be sent to the host.
func (n *Node) canSpread(id host.ID, s *spread) bool {
	e := n.entries[id]
	return e.contact && e.described && s.outstanding == 0
}

// delivered removes the records of an answered message from the queue, unless
// they have changed since.
func (n *Node) delivered(to host.ID, records []Record) {
	s := n.pending[to]
	if s == nil {
		return
	}
	for i := range records {
		e := n.entries[records[i].ID]
		if e == nil || e.record.compare(&records[i]) == 0 {
			delete(s.records, records[i].ID)
		}
	}
}
