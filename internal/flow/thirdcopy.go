package flow

import "time"

const (
	// thirdCopySweeps is the number of sweeps, about ten seconds in all, that a flow
	// must survive before a third host gets its record: most flows end sooner.
	thirdCopySweeps = 5
	// thirdCopySent is the bit of record.thirdCopyState that is set once a third host
	// was sent the record. The other bits are that host's hostRef, so hosts whose
	// hostRef has this bit or a higher one get no third copies.
	thirdCopySent = 1 << 7
	// thirdCopyInterval is the interval at which queued records are sent in one
	// message: a message costs more than many records.
	thirdCopyInterval = 10 * time.Second
)

// queueThirdCopy counts a sweep that the record survived on its slot's owner or
// backup and, after thirdCopySweeps, queues the record for a third host. With the
// third copy, the loss of any two hosts breaks only young flows. Owner and backup
// each send one if their record is confirmed.
func (e *Engine) queueThirdCopy(svc *serviceState, t *slotTable, id ID, r *record, s *slot) {
	i := int(id & slotMask)
	holder := s.owner == selfRef && s.phase == active || r.backup
	if s.mode != tracked || !holder || !r.confirmed || r.closing || t.derivable(i, r) {
		return
	}
	if r.thirdCopyState&thirdCopySent != 0 && !e.hostAlive(hostRef(r.thirdCopyState&^thirdCopySent)) {
		r.thirdCopyState = thirdCopySweeps - 1
	}
	if r.thirdCopyState >= thirdCopySweeps {
		return
	}
	if r.thirdCopyState++; r.thirdCopyState < thirdCopySweeps {
		return
	}
	hosts := *e.hosts.Load()
	third := hosts.rendezvous(svc.id, i, func(h hostRef) bool { return h != selfRef && h != s.owner && h != s.backup })
	if third == noHost || third >= thirdCopySent {
		return
	}
	r.thirdCopyState = thirdCopySent | uint8(third)
	if svc.thirdCopies == nil {
		svc.thirdCopies = make(map[hostRef][]Record)
	}
	svc.thirdCopies[third] = append(svc.thirdCopies[third], Record{ID: id, Upstream: uint16(r.upstream), TCP: r.tcp, First: r.first, Confirmed: true})
}

// sendThirdCopies sends the queued records.
func (e *Engine) sendThirdCopies(svc *serviceState) {
	if len(svc.thirdCopies) == 0 || e.now.Sub(svc.thirdCopiesSentAt) < thirdCopyInterval {
		return
	}
	svc.thirdCopiesSentAt = e.now
	r := e.newRound(svc, svc.maxTerm, allSlots(), stageStore)
	clear(r.pendingReplies)
	r.unacked = e.replicateMessages(svc, r, svc.thirdCopies)
	svc.thirdCopies = nil
	e.sendRound(svc, r)
	e.advanceRound(svc, r)
}
