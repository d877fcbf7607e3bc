package flow

import "time"

// leaveGrace is the minimum time for which a leaving host goes on answering.
// After it, the host's last records are too old for their first packets to be
// retransmitted.
const leaveGrace = (time.Duration(retransmitWindow) + 1) * time.Second

// startLeaving begins to hand over all slots of this host.
func (e *Engine) startLeaving() {
	if e.leaving {
		return
	}
	e.leaving, e.leavingSince = true, e.now
	e.updateHosts(func(l hostList) hostList {
		l[selfRef].leaving = true
		return l
	})
	e.markAllForReconcile()
}

// finishLeaving reports Left once this host owns no slots, has answered for
// leaveGrace and has handed over the records that possibly no other host has.
func (e *Engine) finishLeaving() {
	if !e.leaving || e.leftReported || e.now.Sub(e.leavingSince) < leaveGrace {
		return
	}
	if successor := e.successor(); successor != noHost {
		if !e.handedOver {
			e.handedOver = true
			for _, svc := range e.services() {
				e.handOverRecords(svc, successor)
			}
		}
		if e.ownsSlots() || e.hasRounds() {
			return
		}
	}
	e.leftReported = true
	e.actions = append(e.actions, Left{})
}

// successor returns a member that is not leaving.
func (e *Engine) successor() hostRef {
	for _, ref := range e.peers() {
		if e.hostEligible(ref) {
			return ref
		}
	}
	return noHost
}

// handOverRecords sends the successor the records of UDP flows: to a host without
// the record, the next packet of such a flow looks like the first of a new one.
// Flows that had packets during leaveGrace passed through a host that stays and
// are recorded there.
func (e *Engine) handOverRecords(svc *serviceState, successor hostRef) {
	all := allSlots()
	var udp []Record
	for _, r := range e.collectRecords(svc, &all, false) {
		if !r.TCP {
			udp = append(udp, r)
		}
	}
	if len(udp) == 0 {
		return
	}
	r := e.newRound(svc, svc.maxTerm, all, stageStore)
	clear(r.pendingReplies)
	r.unacked = e.replicateMessages(svc, r, map[hostRef][]Record{successor: udp})
	for i := range r.unacked[successor] {
		r.unacked[successor][i].Leaving = true
	}
	e.sendRound(svc, r)
}

// forwardToOwners sends records of a leaving host to the owners of their slots,
// which may have collected this host's records before it received them.
func (e *Engine) forwardToOwners(svc *serviceState, m *Message, refs []upstreamRef) {
	t := svc.table.Load()
	byOwner := make(map[hostRef][]Record)
	for _, r := range m.Records {
		s := t.slot(int(r.ID & slotMask))
		if ref := refAt(refs, r.Upstream); s.mode == tracked && s.owner != selfRef && e.hostAlive(s.owner) && ref != noUpstream {
			r.Upstream = uint16(ref)
			byOwner[s.owner] = append(byOwner[s.owner], r)
		}
	}
	if len(byOwner) == 0 {
		return
	}
	r := e.newRound(svc, svc.maxTerm, m.Slots, stageStore)
	clear(r.pendingReplies)
	r.unacked = e.replicateMessages(svc, r, byOwner)
	e.sendRound(svc, r)
}

func (e *Engine) hasRounds() bool {
	for _, svc := range e.services() {
		if len(svc.rounds) > 0 {
			return true
		}
	}
	return false
}

func (e *Engine) ownsSlots() bool {
	for _, svc := range e.services() {
		t := svc.table.Load()
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
