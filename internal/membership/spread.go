package membership

import (
	"slices"
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

// spreadRecord queues a record for the hosts in contact but the one it came from.
func (n *Node) spreadRecord(e *entry, from host.ID) {
	for _, id := range n.listeners() {
		if id != from && id != e.record.ID {
			n.queue(id, e.record.ID, e.young())
		}
	}
}

// listeners returns the hosts to which records spread: those that this host probes
// and those in contact. A host that many others join by has many contacts; it
// passes records to some and leaves the rest to these.
func (n *Node) listeners() []host.ID {
	ids := sortedIDs(n.contacts)
	if len(ids) > maxListeners {
		n.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		ids = ids[:maxListeners]
	}
	for _, id := range sortedIDs(n.probes) {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
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
	if len(s.records) == 0 {
		wait := time.Duration(n.random.Int64N(int64(spreadInterval)))
		s.notBefore = later(s.notBefore, n.lastStep.Add(wait))
	}
	s.records[member] = s.records[member] || describe
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
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
			if !n.inContact(n.entries[id]) && n.probes[id] == nil {
				delete(n.pending, id)
			}
			continue
		}
		if now.Before(s.notBefore) {
			continue
		}
		s.outstanding++
		sends = append(sends, n.send(now, n.entries[id], false))
	}
	return sends
}

// canSpread reports whether records may be sent to the host.
func (n *Node) canSpread(id host.ID, s *spread) bool {
	e := n.entries[id]
	return n.inContact(e) && e.described && s.outstanding == 0
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
