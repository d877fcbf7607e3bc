package flow

import "time"

// leaveGrace is the least time for which a leaving host goes on answering: its
// own last records are then too old for their first packets to come again.
const leaveGrace = (time.Duration(youngAge) + 1) * time.Second

// leave starts to hand everything over.
func (e *Engine) leave() {
	if e.leaving {
		return
	}
	e.leaving, e.leftAt = true, e.now
	e.setHosts(func(l hostList) hostList {
		l[selfRef].leaving = true
		return l
	})
	e.markAllDirty()
}

// finishLeaving reports once that the host owns nothing, has answered for long
// enough and has given away the records that nobody else may have.
func (e *Engine) finishLeaving() {
	if !e.leaving || e.left || e.now.Sub(e.leftAt) < leaveGrace {
		return
	}
	if heir := e.heir(); heir != noHost {
		if !e.handedOver {
			e.handedOver = true
			for _, en := range e.entries() {
				e.handOver(en, heir)
			}
		}
		if e.ownsSlots() || e.roundsPending() {
			return
		}
	}
	e.left = true
	e.actions = append(e.actions, Left{})
}

// heir returns a member that stays.
func (e *Engine) heir() hostRef {
	for _, ref := range e.peers() {
		if e.hostEligible(ref) {
			return ref
		}
	}
	return noHost
}

// handOver gives the heir the records of silent UDP flows: their next packet
// would look like a new flow. Flows that were not silent during the grace time
// have gone by way of a host that stays.
func (e *Engine) handOver(en *entry, heir hostRef) {
	all := allSlots()
	var silent []Record
	for _, r := range e.collect(en, &all, false) {
		if !r.TCP {
			silent = append(silent, r)
		}
	}
	if len(silent) == 0 {
		return
	}
	r := e.newRound(en, en.maxTerm, all, stageStore)
	clear(r.waiting)
	r.replicas = e.replicaMessages(en, r, map[hostRef][]Record{heir: silent})
	for i := range r.replicas[heir] {
		r.replicas[heir][i].Leaving = true
	}
	e.sendRound(en, r)
}

// tellOwners gives records of a leaving host to the owners of their slots,
// which may have collected this host's records before it got them.
func (e *Engine) tellOwners(en *entry, m *Message, refs []upstreamRef) {
	t := en.table.Load()
	byOwner := make(map[hostRef][]Record)
	for _, r := range m.Records {
		s := t.slot(int(r.ID & slotMask))
		if ref := refOf(refs, r.Upstream); s.mode == tracked && s.owner != selfRef && e.hostAlive(s.owner) && ref != noUpstream {
			r.Upstream = uint16(ref)
			byOwner[s.owner] = append(byOwner[s.owner], r)
		}
	}
	if len(byOwner) == 0 {
		return
	}
	r := e.newRound(en, en.maxTerm, m.Slots, stageStore)
	clear(r.waiting)
	r.replicas = e.replicaMessages(en, r, byOwner)
	e.sendRound(en, r)
}

func (e *Engine) roundsPending() bool {
	for _, en := range e.entries() {
		if len(en.rounds) > 0 {
			return true
		}
	}
	return false
}

func (e *Engine) ownsSlots() bool {
	for _, en := range e.entries() {
		t := en.table.Load()
		if t.slots == nil {
			continue
		}
		for i := range t.slots {
			if t.slots[i].mode == tracked && t.slots[i].owner == selfRef {
				return true
			}
		}
	}
	return false
}
