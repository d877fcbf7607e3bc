package flow

import "time"

// stage is what a round waits for.
type stage uint8

const (
	// stageCollect waits for the records of every member.
	stageCollect stage = iota
	// stageReplicate waits until the backups have stored the records.
	stageReplicate
	// stageRelease waits until every member has made the slots untracked.
	stageRelease
	// stageStore waits until the receivers have stored records. The state of the
	// slots does not change.
	stageStore
)

const (
	// resendInterval is the time after which an unanswered request is resent for the
	// first time. It doubles with every attempt up to maxResendInterval.
	resendInterval = 300 * time.Millisecond
	// maxResendInterval bounds the interval between two attempts.
	maxResendInterval = 2 * time.Second
)

// round is an exchange with other hosts, run by the owner of slots until all have
// answered: to take over slots, to release them or to store records.
type round struct {
	id    uint64
	term  uint32
	stage stage
	slots SlotSet
	// pendingReplies has the members whose reply is not complete, with the parts
	// received so far.
	pendingReplies map[hostRef]*memberReply
	// unacked has the ReplicateRequests that were not acknowledged, by receiver.
	unacked map[hostRef][]Message
	// attempt counts the requests sent. Parts of replies to different attempts are
	// not combined.
	attempt     uint16
	sentAt      time.Time
	resendAfter time.Duration
}

// memberReply collects the parts of a member's reply to one attempt.
type memberReply struct {
	attempt uint16
	parts   map[uint16]bool
}

func (e *Engine) newRound(svc *serviceState, term uint32, slots SlotSet, s stage) *round {
	r := &round{id: e.random.Uint64(), term: term, stage: s, slots: slots, resendAfter: resendInterval}
	r.pendingReplies = make(map[hostRef]*memberReply)
	for _, ref := range e.peers() {
		r.pendingReplies[ref] = &memberReply{parts: make(map[uint16]bool)}
	}
	svc.rounds = append(svc.rounds, r)
	return r
}

// startRound takes over the slots in a new term. From then on this host decides
// the flows in them that have no record. Once every member has sent its records and
// the backups have stored them, it may assign new flows to other upstreams than the
// default.
func (e *Engine) startRound(svc *serviceState, slots SlotSet) {
	e.removeFromRounds(svc, &slots)
	svc.maxTerm++
	term := svc.maxTerm
	hosts := *e.hosts.Load()
	e.editTable(svc, func(t *slotTable) {
		for i := range slots.All {
			s := t.editSlot(i)
			s.phase = collectingTracked
			if s.mode == untracked {
				s.phase = collectingUntracked
			}
			s.previous, s.owner, s.term, s.mode = s.owner, selfRef, term, tracked
			if s.previous == selfRef {
				s.previous = noHost
			}
			s.backup = hosts.backupOf(svc.id, i, selfRef)
		}
	})
	e.stats.Rounds++
	r := e.newRound(svc, term, slots, stageCollect)
	e.sendRound(svc, r)
	e.advanceRound(svc, r)
}

// removeFromRounds removes the slots from the rounds in progress, because a newer
// round replaces these.
func (e *Engine) removeFromRounds(svc *serviceState, slots *SlotSet) {
	kept := svc.rounds[:0]
	for _, r := range svc.rounds {
		for i := range slots.All {
			r.slots.Remove(i)
		}
		if r.slots != (SlotSet{}) {
			kept = append(kept, r)
		}
	}
	clear(svc.rounds[len(kept):])
	svc.rounds = kept
}

func (svc *serviceState) findRound(id uint64) *round {
	for _, r := range svc.rounds {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (e *Engine) removeRound(svc *serviceState, done *round) {
	kept := svc.rounds[:0]
	for _, r := range svc.rounds {
		if r != done {
			kept = append(kept, r)
		}
	}
	clear(svc.rounds[len(kept):])
	svc.rounds = kept
}

// sendRound sends the round's requests to the members that have not answered.
func (e *Engine) sendRound(svc *serviceState, r *round) {
	r.sentAt = e.now
	r.attempt++
	for _, ref := range e.peers() {
		if r.stage == stageReplicate || r.stage == stageStore {
			for _, m := range r.unacked[ref] {
				e.send(ref, m)
			}
			continue
		}
		if r.pendingReplies[ref] == nil {
			continue
		}
		kind := CollectRequest
		if r.stage == stageRelease {
			kind = ReleaseRequest
		}
		m := Message{Kind: kind, Service: svc.id, Version: svc.version, Term: r.term, Round: r.id, Attempt: r.attempt, Slots: r.slots}
		t := svc.table.Load()
		m.setDefaults(t)
		// Members drop relayed packets that name an upstream they do not know, so
		// the message lists the targets too.
		for i := range r.slots.All {
			m.upstreamIndex(t, t.targets[i])
		}
		e.send(ref, m)
	}
}

// advanceRound moves the round to its next stage once nothing is pending.
func (e *Engine) advanceRound(svc *serviceState, r *round) {
	if len(r.pendingReplies) > 0 || len(r.unacked) > 0 {
		return
	}
	switch r.stage {
	case stageCollect:
		r.stage = stageReplicate
		r.unacked = e.replicateRequests(svc, r)
		e.sendRound(svc, r)
		e.advanceRound(svc, r)
	case stageReplicate:
		e.removeRound(svc, r)
		e.activateSlots(svc, r)
	case stageStore:
		e.removeRound(svc, r)
	case stageRelease:
		e.removeRound(svc, r)
		e.editTable(svc, func(t *slotTable) {
			for i := range r.slots.All {
				s := t.editSlot(i)
				s.mode, s.phase, s.backup = untracked, notOwner, noHost
			}
		})
		svc.needsReconcile = true
	}
}

// activateSlots lets this host assign new flows in the slots that the round collected.
func (e *Engine) activateSlots(svc *serviceState, r *round) {
	e.editTable(svc, func(t *slotTable) {
		for i := range r.slots.All {
			s := t.editSlot(i)
			s.phase, s.previous = active, noHost
			svc.offTargetSeen[i] = e.nowSeconds()
		}
	})
}

// resendRounds resends the requests that were not answered in time.
func (e *Engine) resendRounds(svc *serviceState) {
	for _, r := range svc.rounds {
		if e.now.Sub(r.sentAt) < r.resendAfter {
			continue
		}
		r.resendAfter = min(2*r.resendAfter, maxResendInterval)
		e.sendRound(svc, r)
	}
}

// dropDeadMembers stops waiting for members that are not alive.
func (e *Engine) dropDeadMembers(svc *serviceState) {
	for _, r := range append([]*round(nil), svc.rounds...) {
		for ref := range r.pendingReplies {
			if !e.hostAlive(ref) {
				delete(r.pendingReplies, ref)
			}
		}
		for ref := range r.unacked {
			if !e.hostAlive(ref) {
				delete(r.unacked, ref)
				// If the dead host was the successor, the records it was sent are lost.
				e.handedOver = false
			}
		}
		e.advanceRound(svc, r)
	}
	e.dropDeadStateRequests(svc)
}

// receiveCollectReply stores the records in one part of a member's reply.
func (e *Engine) receiveCollectReply(svc *serviceState, from hostRef, m *Message) {
	r := svc.findRound(m.Round)
	if r == nil || r.stage != stageCollect || r.pendingReplies[from] == nil {
		return
	}
	refs := e.internUpstreams(svc, m.Upstreams)
	e.storeRecords(svc, m.Records, refs, &r.slots)
	e.mergeDefaults(svc, m, refs)
	reply := r.pendingReplies[from]
	if m.Attempt < reply.attempt {
		return
	}
	if m.Attempt > reply.attempt {
		reply.attempt = m.Attempt
		clear(reply.parts)
	}
	reply.parts[m.Part] = true
	if len(reply.parts) < int(m.Parts) {
		return
	}
	delete(r.pendingReplies, from)
	e.advanceRound(svc, r)
}

// receiveReplicateReply records that the sender has stored one part.
func (e *Engine) receiveReplicateReply(svc *serviceState, from hostRef, m *Message) {
	r := svc.findRound(m.Round)
	if r == nil || r.stage != stageReplicate && r.stage != stageStore {
		return
	}
	unacked := r.unacked[from][:0]
	for _, sent := range r.unacked[from] {
		if sent.Part != m.Part {
			unacked = append(unacked, sent)
		}
	}
	r.unacked[from] = unacked
	if len(unacked) == 0 {
		delete(r.unacked, from)
	}
	e.advanceRound(svc, r)
}

// receiveReleaseReply records that the sender has made the slots untracked.
func (e *Engine) receiveReleaseReply(svc *serviceState, from hostRef, m *Message) {
	r := svc.findRound(m.Round)
	if r == nil || r.stage != stageRelease {
		return
	}
	delete(r.pendingReplies, from)
	e.advanceRound(svc, r)
}
