package flow

import "github.com/oatlatch/oatlatch/internal/host"

// receive handles a message of another host.
func (e *Engine) receive(id host.ID, m *Message) {
	e.stats.Received++
	if !m.valid() {
		e.stats.Invalid++
		return
	}
	from := e.learnHost(id, m.Kind == Hello)
	if from == noHost || from == selfRef {
		return
	}
	en := e.entry(m.Service)
	if en == nil {
		e.answerUnknown(from, m)
		return
	}
	if m.Kind != State {
		en.maxTerm = max(en.maxTerm, m.Term)
	}
	switch m.Kind {
	case Collect:
		e.receiveCollect(en, from, m)
	case Collected:
		e.receiveCollected(en, from, m)
	case Replicate:
		e.receiveReplicate(en, from, m)
	case Replicated:
		e.receiveReplicated(en, from, m)
	case Release:
		e.receiveRelease(en, from, m)
	case Released:
		e.receiveReleased(en, from, m)
	case Orphaned:
		e.receiveOrphaned(en, m)
	case Hello:
		e.receiveHello(en, from, m)
	case State:
		e.receiveState(en, from, m)
	case Draining:
		e.receiveDraining(en, m)
	}
}

// answerUnknown answers requests about a service that this host does not have.
// It holds no records of it and will ask for its state when it adopts it.
func (e *Engine) answerUnknown(from hostRef, m *Message) {
	answer := Message{Service: m.Service, Term: m.Term, Round: m.Round, Attempt: m.Attempt, Slots: m.Slots, Parts: 1}
	switch m.Kind {
	case Hello:
		answer.Kind, answer.Unknown, answer.Slots = State, true, SlotSet{}
	case Collect:
		answer.Kind = Collected
	case Release:
		answer.Kind = Released
	default:
		return
	}
	e.send(from, answer)
}

// accepts reports whether a request of the owner under the term overrides the slot's state.
func (e *Engine) accepts(s *slot, from hostRef, term uint32) bool {
	if term != s.term {
		return term > s.term
	}
	if s.owner == from {
		return s.mode == tracked
	}
	hosts := *e.hosts.Load()
	return s.owner == noHost || hosts[from].id > hosts[s.owner].id
}

// receiveCollect tracks the slots under their new owner and tells it the
// records that it cannot guess.
func (e *Engine) receiveCollect(en *entry, from hostRef, m *Message) {
	t := en.table.Load()
	for i := range m.Slots.All {
		s := t.slot(i)
		if !e.accepts(&s, from, m.Term) {
			e.sendState(en, from, false)
			return
		}
	}
	e.withdraw(en, &m.Slots)
	refs := e.internTargets(en, m.Upstreams)
	e.edit(en, func(t *slotTable) {
		for i := range m.Slots.All {
			s := t.edit(i)
			if s.owner != from || s.term != m.Term {
				s.previous = s.owner
			}
			s.owner, s.term, s.mode, s.phase, s.backup = from, m.Term, tracked, notOwner, noHost
		}
	})
	e.mergeDefaults(en, m, refs)
	records := e.collect(en, &m.Slots, true)
	e.sendRecords(en, from, m, records)
}

// sendRecords answers a Collect message in parts of bounded size.
func (e *Engine) sendRecords(en *entry, from hostRef, m *Message, records []Record) {
	t := en.table.Load()
	parts := max(1, (len(records)+MaxRecords-1)/MaxRecords)
	for part := range parts {
		answer := Message{
			Kind: Collected, Service: en.id, Version: en.version, Term: m.Term, Round: m.Round, Attempt: m.Attempt,
			Slots: m.Slots, Part: uint16(part), Parts: uint16(parts),
		}
		answer.nameRecords(t, records[part*MaxRecords:min(len(records), (part+1)*MaxRecords)])
		if part == 0 && !agrees(t, m) {
			answer.nameDefaults(t)
		}
		e.send(from, answer)
	}
}

// agrees reports whether the sender's defaults are at least as new as the host's own.
func agrees(t *slotTable, m *Message) bool {
	n := 0
	for i := range m.Slots.All {
		if n >= len(m.Defaults) || m.Defaults[n].Term < t.slot(i).defaultTerm {
			return false
		}
		n++
	}
	return true
}

// receiveReplicate stores records for the owner.
func (e *Engine) receiveReplicate(en *entry, from hostRef, m *Message) {
	refs := e.internTargets(en, m.Upstreams)
	e.storeRecords(en, m.Records, refs, &m.Slots)
	// A leaving host passes on what it gets after it has handed over.
	e.handedOver = false
	if m.Leaving {
		e.tellOwners(en, m, refs)
	}
	e.send(from, Message{Kind: Replicated, Service: en.id, Term: m.Term, Round: m.Round, Part: m.Part, Parts: m.Parts})
}

// receiveRelease makes the slots plain under their new defaults.
func (e *Engine) receiveRelease(en *entry, from hostRef, m *Message) {
	refs := e.internTargets(en, m.Upstreams)
	var released SlotSet
	e.edit(en, func(t *slotTable) {
		n := 0
		for i := range m.Slots.All {
			s := t.edit(i)
			if len(m.Defaults) > 0 && (m.Term > s.term || m.Term == s.term && s.owner == from && s.mode == tracked) {
				t.defaults[i] = refOf(refs, m.Defaults[n].Upstream)
				s.term, s.owner, s.defaultTerm, s.mode, s.phase = m.Term, from, m.Term, plain, notOwner
				released.Add(i)
			}
			n++
		}
	})
	en.heard = max(en.heard, m.Version)
	e.forgetDeviations(en, &released)
	e.send(from, Message{Kind: Released, Service: en.id, Term: m.Term, Round: m.Round})
}

// receiveDraining stops new flows to upstreams that a newer configuration drains.
func (e *Engine) receiveDraining(en *entry, m *Message) {
	if m.Version <= en.version {
		return
	}
	for _, target := range m.Upstreams {
		if ref := en.table.Load().find(target.Address); ref != noUpstream {
			en.excluded[ref] = max(en.excluded[ref], m.Version)
		}
	}
	e.retarget(en)
}
