package flow

import "time"

// stage is the progress of a round.
type stage uint8

const (
	// stageCollect waits for every member's records.
	stageCollect stage = iota
	// stageReplicate waits for the backups to store the records.
	stageReplicate
	// stageRelease waits for every member to make the slots plain.
	stageRelease
	// stageStore waits for hosts to store records; it decides nothing.
	stageStore
)

const (
	// resendInterval is the time after which an unanswered request is first repeated.
	resendInterval = 300 * time.Millisecond
	// maxResendInterval bounds the growth of the interval between repetitions.
	maxResendInterval = 2 * time.Second
)

// round is one agreement that an owner runs over some of its slots.
type round struct {
	id    uint64
	term  uint32
	stage stage
	slots SlotSet
	// waiting has the parts still expected from each member; zero stands for
	// a number of parts that is not known yet.
	waiting map[hostRef]*answer
	// replicas has the messages that backups have not acknowledged.
	replicas map[hostRef][]Message
	// attempt counts the requests sent; only parts of the same attempt add up.
	attempt uint16
	sentAt  time.Time
	resend  time.Duration
}

// answer collects the parts of one member's answer.
type answer struct {
	attempt uint16
	parts   map[uint16]bool
}

func (e *Engine) newRound(en *entry, term uint32, slots SlotSet, s stage) *round {
	r := &round{id: e.random.Uint64(), term: term, stage: s, slots: slots, resend: resendInterval}
	r.waiting = make(map[hostRef]*answer)
	for _, ref := range e.peers() {
		r.waiting[ref] = &answer{parts: make(map[uint16]bool)}
	}
	en.rounds = append(en.rounds, r)
	return r
}

// startRound takes the slots over under a new term: from now on this host
// keeps their unrecorded flows together, and once every member has told its
// records it may assign new flows elsewhere.
func (e *Engine) startRound(en *entry, slots SlotSet) {
	e.withdraw(en, &slots)
	en.maxTerm++
	term := en.maxTerm
	hosts := *e.hosts.Load()
	e.edit(en, func(t *slotTable) {
		for i := range slots.All {
			s := t.edit(i)
			s.phase = collectingTracked
			if s.mode == plain {
				s.phase = collectingPlain
			}
			s.previous, s.owner, s.term, s.mode = s.owner, selfRef, term, tracked
			if s.previous == selfRef {
				s.previous = noHost
			}
			s.backup = hosts.backupOf(en.id, i, selfRef)
		}
	})
	e.stats.Rounds++
	r := e.newRound(en, term, slots, stageCollect)
	e.sendRound(en, r)
	e.advance(en, r)
}

// withdraw takes the slots out of the rounds in progress: a newer round replaces them.
func (e *Engine) withdraw(en *entry, slots *SlotSet) {
	kept := en.rounds[:0]
	for _, r := range en.rounds {
		for i := range slots.All {
			r.slots.Remove(i)
		}
		if r.slots != (SlotSet{}) {
			kept = append(kept, r)
		}
	}
	clear(en.rounds[len(kept):])
	en.rounds = kept
}

func (en *entry) findRound(id uint64) *round {
	for _, r := range en.rounds {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (e *Engine) finishRound(en *entry, done *round) {
	kept := en.rounds[:0]
	for _, r := range en.rounds {
		if r != done {
			kept = append(kept, r)
		}
	}
	clear(en.rounds[len(kept):])
	en.rounds = kept
}

// sendRound sends the round's request to the members that have not answered.
func (e *Engine) sendRound(en *entry, r *round) {
	r.sentAt = e.now
	r.attempt++
	for _, ref := range e.peers() {
		if r.stage == stageReplicate || r.stage == stageStore {
			for _, m := range r.replicas[ref] {
				e.send(ref, m)
			}
			continue
		}
		if r.waiting[ref] == nil {
			continue
		}
		kind := Collect
		if r.stage == stageRelease {
			kind = Release
		}
		m := Message{Kind: kind, Service: en.id, Version: en.version, Term: r.term, Round: r.id, Attempt: r.attempt, Slots: r.slots}
		t := en.table.Load()
		m.nameDefaults(t)
		for i := range r.slots.All {
			m.name(t, t.targets[i])
		}
		e.send(ref, m)
	}
}

// advance moves the round on when nothing is waited for any more.
func (e *Engine) advance(en *entry, r *round) {
	if len(r.waiting) > 0 || len(r.replicas) > 0 {
		return
	}
	switch r.stage {
	case stageCollect:
		r.stage = stageReplicate
		r.replicas = e.replicas(en, r)
		e.sendRound(en, r)
		e.advance(en, r)
	case stageReplicate:
		e.finishRound(en, r)
		e.activate(en, r)
	case stageStore:
		e.finishRound(en, r)
	case stageRelease:
		e.finishRound(en, r)
		e.edit(en, func(t *slotTable) {
			for i := range r.slots.All {
				s := t.edit(i)
				s.mode, s.phase, s.backup = plain, notOwner, noHost
			}
		})
		en.dirty = true
	}
}

// activate lets the owner assign new flows in the slots that the round collected.
func (e *Engine) activate(en *entry, r *round) {
	e.edit(en, func(t *slotTable) {
		for i := range r.slots.All {
			s := t.edit(i)
			s.phase, s.previous = active, noHost
			en.quietSince[i] = e.nowSeconds()
		}
	})
}

// resendRounds repeats the requests that were not answered in time.
func (e *Engine) resendRounds(en *entry) {
	for _, r := range en.rounds {
		if e.now.Sub(r.sentAt) < r.resend {
			continue
		}
		r.resend = min(2*r.resend, maxResendInterval)
		e.sendRound(en, r)
	}
}

// dropDead stops waiting for members that are no longer alive.
func (e *Engine) dropDead(en *entry) {
	for _, r := range append([]*round(nil), en.rounds...) {
		for ref := range r.waiting {
			if !e.hostAlive(ref) {
				delete(r.waiting, ref)
			}
		}
		for ref := range r.replicas {
			if !e.hostAlive(ref) {
				delete(r.replicas, ref)
				// An heir that has gone did not keep what it was given.
				e.handedOver = false
			}
		}
		e.advance(en, r)
	}
	e.dropDeadGreetings(en)
}

// receiveCollected takes in a part of a member's records.
func (e *Engine) receiveCollected(en *entry, from hostRef, m *Message) {
	r := en.findRound(m.Round)
	if r == nil || r.stage != stageCollect || r.waiting[from] == nil {
		return
	}
	refs := e.internTargets(en, m.Upstreams)
	e.storeRecords(en, m.Records, refs, &r.slots)
	e.mergeDefaults(en, m, refs)
	a := r.waiting[from]
	if m.Attempt < a.attempt {
		return
	}
	if m.Attempt > a.attempt {
		a.attempt = m.Attempt
		clear(a.parts)
	}
	a.parts[m.Part] = true
	if len(a.parts) < int(m.Parts) {
		return
	}
	delete(r.waiting, from)
	e.advance(en, r)
}

// receiveReplicated notes that a backup stored a part.
func (e *Engine) receiveReplicated(en *entry, from hostRef, m *Message) {
	r := en.findRound(m.Round)
	if r == nil || r.stage != stageReplicate && r.stage != stageStore {
		return
	}
	rest := r.replicas[from][:0]
	for _, sent := range r.replicas[from] {
		if sent.Part != m.Part {
			rest = append(rest, sent)
		}
	}
	r.replicas[from] = rest
	if len(rest) == 0 {
		delete(r.replicas, from)
	}
	e.advance(en, r)
}

// receiveReleased notes that a member made the slots plain.
func (e *Engine) receiveReleased(en *entry, from hostRef, m *Message) {
	r := en.findRound(m.Round)
	if r == nil || r.stage != stageRelease {
		return
	}
	delete(r.waiting, from)
	e.advance(en, r)
}
