package flow

import "time"

const (
	// spreadSweeps is the number of sweeps, about ten seconds, that a flow must
	// live before a third host gets its record: most flows are over by then.
	spreadSweeps = 5
	// spreadMark marks records that the host in the other bits has.
	spreadMark = 1 << 7
	// spreadInterval is the interval at which queued records are sent: a message
	// costs more than many records.
	spreadInterval = 10 * time.Second
)

// age counts the sweeps that a record has lived through on its owner or backup,
// and queues it for a third host in time: then the loss of two hosts at once
// loses none but young flows. Whichever of the two saw a second packet does so.
func (e *Engine) age(en *entry, t *slotTable, id ID, r *record, s *slot) {
	i := int(id & slotMask)
	keeper := s.owner == selfRef && s.phase == active || r.backup
	if s.mode != tracked || !keeper || !r.confirmed || r.closing || t.guesses(i, r) {
		return
	}
	if r.lived&spreadMark != 0 && !e.hostAlive(hostRef(r.lived&^spreadMark)) {
		r.lived = spreadSweeps - 1
	}
	if r.lived >= spreadSweeps {
		return
	}
	if r.lived++; r.lived < spreadSweeps {
		return
	}
	hosts := *e.hosts.Load()
	third := hosts.rendezvous(en.id, i, func(h hostRef) bool { return h != selfRef && h != s.owner && h != s.backup })
	if third == noHost || third >= spreadMark {
		return
	}
	r.lived = spreadMark | uint8(third)
	if en.spreading == nil {
		en.spreading = make(map[hostRef][]Record)
	}
	en.spreading[third] = append(en.spreading[third], Record{ID: id, Upstream: uint16(r.upstream), TCP: r.tcp, First: r.first, Confirmed: true})
}

// sendSpreading sends the queued records.
func (e *Engine) sendSpreading(en *entry) {
	if len(en.spreading) == 0 || e.now.Sub(en.spreadAt) < spreadInterval {
		return
	}
	en.spreadAt = e.now
	r := e.newRound(en, en.maxTerm, allSlots(), stageStore)
	clear(r.waiting)
	r.replicas = e.replicaMessages(en, r, en.spreading)
	en.spreading = nil
	e.sendRound(en, r)
	e.advance(en, r)
}
