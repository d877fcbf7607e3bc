package flow

import "github.com/oatlatch/oatlatch/internal/host"

// receiveMessage handles a message from another host.
func (e *Engine) receiveMessage(id host.ID, m *Message) {
	e.stats.Received++
	if !m.valid() {
		e.stats.Invalid++
		return
	}
	from := e.registerSender(id, m.Kind == StateRequest)
	if from == noHost || from == selfRef {
		return
	}
	svc := e.service(m.Service)
	if svc == nil {
		e.replyUnknownService(from, m)
		return
	}
	if m.Kind != StateReply {
		svc.maxTerm = max(svc.maxTerm, m.Term)
	}
	switch m.Kind {
	case CollectRequest:
		e.receiveCollectRequest(svc, from, m)
	case CollectReply:
		e.receiveCollectReply(svc, from, m)
	case ReplicateRequest:
		e.receiveReplicateRequest(svc, from, m)
	case ReplicateReply:
		e.receiveReplicateReply(svc, from, m)
	case ReleaseRequest:
		e.receiveReleaseRequest(svc, from, m)
	case ReleaseReply:
		e.receiveReleaseReply(svc, from, m)
	case TakeoverRequest:
		e.receiveTakeoverRequest(svc, m)
	case StateRequest:
		e.receiveStateRequest(svc, from, m)
	case StateReply:
		e.receiveStateReply(svc, from, m)
	case DrainNotice:
		e.receiveDrainNotice(svc, m)
	}
}

// replyUnknownService answers a request about a service that this host does not
// have. This host has no records of the service and asks for its state when it
// adopts a configuration with it.
func (e *Engine) replyUnknownService(from hostRef, m *Message) {
	reply := Message{Service: m.Service, Term: m.Term, Round: m.Round, Attempt: m.Attempt, Slots: m.Slots, Parts: 1}
	switch m.Kind {
	case StateRequest:
		reply.Kind, reply.Unknown, reply.Slots = StateReply, true, SlotSet{}
	case CollectRequest:
		reply.Kind = CollectReply
	case ReleaseRequest:
		reply.Kind = ReleaseReply
	default:
		return
	}
	e.send(from, reply)
}

// overrides reports whether a request that a host sent as the slot's owner in the
// term takes precedence over the slot's state. Between two owners of one term, the
// higher host ID wins.
func (e *Engine) overrides(s *slot, from hostRef, term uint32) bool {
	if term != s.term {
		return term > s.term
	}
	if s.owner == from {
		return s.mode == tracked
	}
	hosts := *e.hosts.Load()
	return s.owner == noHost || hosts[from].id > hosts[s.owner].id
}

// receiveCollectRequest tracks the slots with the sender as their owner and replies
// with the records whose upstream the owner cannot derive. If the state of any of
// the slots takes precedence, it rejects the request by sending its own state.
func (e *Engine) receiveCollectRequest(svc *serviceState, from hostRef, m *Message) {
	t := svc.table.Load()
	for i := range m.Slots.All {
		s := t.slot(i)
		if !e.overrides(&s, from, m.Term) {
			e.sendState(svc, from, false)
			return
		}
	}
	e.removeFromRounds(svc, &m.Slots)
	refs := e.internUpstreams(svc, m.Upstreams)
	e.editTable(svc, func(t *slotTable) {
		for i := range m.Slots.All {
			s := t.editSlot(i)
			if s.owner != from || s.term != m.Term {
				s.previous = s.owner
			}
			s.owner, s.term, s.mode, s.phase, s.backup = from, m.Term, tracked, notOwner, noHost
		}
	})
	e.mergeDefaults(svc, m, refs)
	records := e.collectRecords(svc, &m.Slots, true)
	e.sendCollectReply(svc, from, m, records)
}

// sendCollectReply replies to a CollectRequest in parts of at most MaxRecords
// records. The first part includes the defaults if the sender's are older.
func (e *Engine) sendCollectReply(svc *serviceState, from hostRef, m *Message, records []Record) {
	t := svc.table.Load()
	parts := max(1, (len(records)+MaxRecords-1)/MaxRecords)
	for part := range parts {
		reply := Message{
			Kind: CollectReply, Service: svc.id, Version: svc.version, Term: m.Term, Round: m.Round, Attempt: m.Attempt,
			Slots: m.Slots, Part: uint16(part), Parts: uint16(parts),
		}
		reply.setRecords(t, records[part*MaxRecords:min(len(records), (part+1)*MaxRecords)])
		if part == 0 && !defaultsCurrent(t, m) {
			reply.setDefaults(t)
		}
		e.send(from, reply)
	}
}

// defaultsCurrent reports whether the sender's defaults are at least as new as
// this host's.
func defaultsCurrent(t *slotTable, m *Message) bool {
	n := 0
	for i := range m.Slots.All {
		if n >= len(m.Defaults) || m.Defaults[n].Term < t.slot(i).defaultTerm {
			return false
		}
		n++
	}
	return true
}

// receiveReplicateRequest stores the records and, if the sender is leaving, sends
// them to the owners of their slots.
func (e *Engine) receiveReplicateRequest(svc *serviceState, from hostRef, m *Message) {
	refs := e.internUpstreams(svc, m.Upstreams)
	e.storeRecords(svc, m.Records, refs, &m.Slots)
	// If this host is leaving, it has to hand over the records it just received too.
	e.handedOver = false
	if m.Leaving {
		e.forwardToOwners(svc, m, refs)
	}
	e.send(from, Message{Kind: ReplicateReply, Service: svc.id, Term: m.Term, Round: m.Round, Part: m.Part, Parts: m.Parts})
}

// receiveReleaseRequest makes the slots untracked with their new defaults.
func (e *Engine) receiveReleaseRequest(svc *serviceState, from hostRef, m *Message) {
	refs := e.internUpstreams(svc, m.Upstreams)
	var released SlotSet
	e.editTable(svc, func(t *slotTable) {
		n := 0
		for i := range m.Slots.All {
			s := t.editSlot(i)
			if len(m.Defaults) > 0 && (m.Term > s.term || m.Term == s.term && s.owner == from && s.mode == tracked) {
				t.defaults[i] = refAt(refs, m.Defaults[n].Upstream)
				s.term, s.owner, s.defaultTerm, s.mode, s.phase = m.Term, from, m.Term, untracked, notOwner
				released.Add(i)
			}
			n++
		}
	})
	svc.maxReleaseVersion = max(svc.maxReleaseVersion, m.Version)
	e.removeOffDefault(svc, &released)
	e.send(from, Message{Kind: ReleaseReply, Service: svc.id, Term: m.Term, Round: m.Round})
}

// receiveDrainNotice stops new flows to upstreams that drain in a configuration
// which this host has not adopted yet.
func (e *Engine) receiveDrainNotice(svc *serviceState, m *Message) {
	if m.Version <= svc.version {
		return
	}
	for _, target := range m.Upstreams {
		if ref := svc.table.Load().find(target.Address); ref != noUpstream {
			svc.excludedUntil[ref] = max(svc.excludedUntil[ref], m.Version)
		}
	}
	e.updateTargets(svc)
}
