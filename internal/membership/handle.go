package membership

import (
	"math"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// takeoverWindow is the time after start during which a host that finds its ID in use
// by an earlier process supersedes that process. After that it considers itself
// replaced.
const takeoverWindow = 5 * time.Second

// HandleRequest processes another host's request and returns the answer.
func (n *Node) HandleRequest(now time.Time, request Message) Message {
	n.mergeRecords(now, request.From, request.Records)
	n.queueDescriptions(request.From, request.Want)
	known := n.markSeen(now, request.From, request.Process, request.Probe)
	if request.Last && n.entries[request.From] != nil && n.probes[request.From] == nil {
		n.releaseContact(now, n.entries[request.From])
	}
	n.update(now)
	answer := n.newMessage()
	answer.From = ""
	if request.Introduce {
		answer.From = n.self.record.ID
		answer.Records = append(answer.Records, n.self.export(true))
	}
	if request.Sync {
		n.answerDigest(request.Digest, &answer)
	}
	if !known {
		answer.WantSender = true
	}
	return answer
}

// HandleAnswer processes the answer to an exchange that Step returned.
func (n *Node) HandleAnswer(now time.Time, exchange Exchange, answer Message) {
	from := exchange.To.ID
	if from == "" {
		from = answer.From
	}
	n.completeExchange(exchange, true)
	n.mergeRecords(now, from, answer.Records)
	n.markSeen(now, from, answer.Process, exchange.Message.Probe)
	n.update(now)
	e := n.entries[from]
	if e == nil || e == n.self {
		return
	}
	n.dequeueRecords(from, exchange.Message.Records)
	if exchange.Message.Introduce {
		n.probeTemporarily(now, e)
		n.requestSync(now, from, answer.Summary)
	}
	if answer.WantSender {
		n.enqueueRecord(from, n.self.record.ID, true)
	}
	n.queueDescriptions(from, answer.Want)
	n.trackSummary(now, from, answer.Summary)
}

// HandleFailure records that an exchange that Step returned got no answer.
func (n *Node) HandleFailure(now time.Time, exchange Exchange) {
	n.completeExchange(exchange, false)
}

// completeExchange updates the probe state or the record queue of a host once the
// outcome of an exchange with it is known.
func (n *Node) completeExchange(exchange Exchange, answered bool) {
	if p := n.probes[exchange.To.ID]; p != nil && exchange.Message.Probe {
		p.outstanding = max(0, p.outstanding-1)
		p.answered = answered || p.answered
	}
	if q := n.recordQueues[exchange.To.ID]; q != nil && !exchange.Message.Probe {
		q.outstanding = max(0, q.outstanding-1)
	}
}

// markSeen records that a process took part in an exchange and, if the exchange is a
// probe, renews or begins the contact with it. It reports whether the process is known.
func (n *Node) markSeen(now time.Time, from host.ID, process uint32, probe bool) bool {
	e := n.entries[from]
	if e == n.self || e == nil || !e.described || processHash(e.record.Incarnation) != process {
		return false
	}
	if e.record.Phase == Left || !probe {
		return true
	}
	e.lastSeen = now
	if !n.inContact(e) {
		n.beginContact(now, e)
	}
	return true
}

// mergeRecords applies the valid records among those received from another host.
func (n *Node) mergeRecords(now time.Time, from host.ID, records []Record) {
	for i := range records {
		record := records[i]
		if !validRecord(&record) {
			continue
		}
		if record.ID == n.self.record.ID {
			n.mergeOwnRecord(now, from, record)
			continue
		}
		n.mergeOtherRecord(from, record)
	}
}

// validRecord reports whether a received record is well-formed.
func validRecord(record *Record) bool {
	return record.ID != "" && len(record.Contacts) <= maxContacts &&
		record.Phase >= Active && record.Phase <= Left &&
		record.Generation < math.MaxUint64 &&
		(record.Host == nil || record.Host.ID == record.ID && record.Host.Incarnation == record.Incarnation)
}

// mergeOtherRecord applies a received record of another host. If the local record is
// newer, it is queued for the sender.
func (n *Node) mergeOtherRecord(from host.ID, record Record) {
	e := n.entries[record.ID]
	if e == nil {
		e = n.addEntry(record)
		n.viewStale = true
		n.gossipRecord(e, from)
		return
	}
	order := record.compare(&e.record)
	switch {
	case order < 0:
		n.enqueueRecord(from, e.record.ID, true)
		return
	case order == 0:
		if !e.described {
			n.replaceRecord(e, record)
		}
		if q := n.recordQueues[from]; q != nil {
			delete(q.records, record.ID)
		}
		return
	}
	n.replaceRecord(e, record)
	n.gossipRecord(e, from)
}

// replaceRecord replaces a member's record by a newer version.
func (n *Node) replaceRecord(e *entry, record Record) {
	n.viewStale = true
	if !record.sameProcess(&e.record) {
		n.resetProcess(e, &record)
	}
	description := record.Host
	e.record = record
	n.setDescription(e, description)
	if record.Phase == Left && n.inContact(e) {
		n.endContact(e)
	}
}

// resetProcess discards the state kept for the member's previous process.
func (n *Node) resetProcess(e *entry, record *Record) {
	if n.byKey[e.key] == e {
		delete(n.byKey, e.key)
	}
	e.key = record.key()
	n.byKey[e.key] = e
	e.described, e.reachableSince = false, n.lastStep
	delete(n.probes, e.record.ID)
	delete(n.recordQueues, e.record.ID)
	n.scheduleRetarget(n.lastStep)
	if n.inContact(e) {
		n.endContact(e)
	}
}

// mergeOwnRecord handles a received record that carries this host's ID. A newer version
// of the same process's record is superseded by a still higher sequence number. A
// record of another process with precedence is overridden within takeoverWindow; after
// that, this process counts as replaced.
func (n *Node) mergeOwnRecord(now time.Time, from host.ID, record Record) {
	own := &n.self.record
	order := record.compare(own)
	switch {
	case order < 0:
		n.enqueueRecord(from, own.ID, true)
	case order > 0 && record.sameProcess(own):
		own.Sequence = record.Sequence
		n.publishOwnRecord()
	case order > 0 && now.Sub(n.startedAt) < takeoverWindow:
		own.Generation = record.Generation + 1
		n.publishOwnRecord()
	case order > 0:
		n.replaced = true
	}
}

// queueDescriptions queues the records with the given keys, including their host
// descriptions, for a host.
func (n *Node) queueDescriptions(to host.ID, want []Key) {
	for _, key := range want {
		if e := n.byKey[key]; e != nil {
			n.enqueueRecord(to, e.record.ID, true)
		}
	}
}

// wantedKeys returns the keys of members whose host description is missing. Every
// message asks for them, because the host that passed on a record may lack the
// description as well.
func (n *Node) wantedKeys() []Key {
	var want []Key
	for _, id := range sortedIDs(n.undescribed) {
		if len(want) == maxRecords {
			break
		}
		want = append(want, n.undescribed[id].key)
	}
	return want
}
