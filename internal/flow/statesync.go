package flow

import (
	"slices"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/slottable"
)

// requestState asks every member for its state of a service that is not ready.
func (e *Engine) requestState(svc *serviceState) {
	if svc.table.Load().ready || svc.awaitingState != nil || !e.membersKnown {
		return
	}
	svc.awaitingState = make(map[hostRef]bool)
	for _, ref := range e.peers() {
		svc.awaitingState[ref] = true
	}
	e.sendStateRequests(svc)
	e.finishStateRequests(svc)
}

func (e *Engine) sendStateRequests(svc *serviceState) {
	svc.stateRequestedAt = e.now
	for _, ref := range e.peers() {
		if svc.awaitingState[ref] {
			e.send(ref, Message{Kind: StateRequest, Service: svc.id, Version: svc.version, Fresh: !svc.resyncing})
		}
	}
}

// finishStateRequests makes the service ready once every member has answered or died.
func (e *Engine) finishStateRequests(svc *serviceState) {
	if svc.awaitingState == nil || len(svc.awaitingState) > 0 {
		return
	}
	svc.awaitingState = nil
	svc.resyncing = false
	e.editTable(svc, func(t *slotTable) { t.ready = true })
	svc.needsReconcile = true
}

func (e *Engine) dropDeadStateRequests(svc *serviceState) {
	for ref := range svc.awaitingState {
		if !e.hostAlive(ref) {
			delete(svc.awaitingState, ref)
		}
	}
	e.finishStateRequests(svc)
}

// syncWithMember exchanges state with a member that has become alive: each side
// may have missed rounds of the other.
func (e *Engine) syncWithMember(ref hostRef) {
	for _, svc := range e.services() {
		for _, r := range svc.rounds {
			e.awaitMember(r, ref)
		}
		if !svc.table.Load().ready {
			if svc.awaitingState != nil {
				svc.awaitingState[ref] = true
				e.send(ref, Message{Kind: StateRequest, Service: svc.id, Version: svc.version, Fresh: !svc.resyncing})
			}
			continue
		}
		e.send(ref, Message{Kind: StateRequest, Service: svc.id, Version: svc.version})
		e.sendState(svc, ref, false)
	}
}

// receiveStateRequest answers with this host's state. A fresh sender has no records,
// so it has lost any that it kept as a backup.
func (e *Engine) receiveStateRequest(svc *serviceState, from hostRef, m *Message) {
	e.sendState(svc, from, m.Fresh && m.Version == svc.version)
	if m.Fresh {
		e.resendToBackup(svc, from)
	}
}

// sendState sends the state of the service's slots. With changedOnly it leaves out
// the slots whose state follows from the configuration alone.
func (e *Engine) sendState(svc *serviceState, to hostRef, changedOnly bool) {
	t := svc.table.Load()
	hosts := *e.hosts.Load()
	m := Message{Kind: StateReply, Service: svc.id, Version: svc.version, Term: svc.maxTerm, First: svc.firstVersion}
	m.Hosts = make([]host.ID, len(hosts))
	for i := range hosts {
		m.Hosts[i] = hosts[i].id
	}
	for i := range slottable.Slots {
		s := t.slot(i)
		if changedOnly && s.mode == untracked && t.defaults[i] == svc.configuredTargets[i] {
			continue
		}
		m.Slots.Add(i)
		m.Owners = append(m.Owners, Owner{Host: uint16(s.owner), Tracked: s.mode == tracked, Term: s.term})
	}
	m.setDefaults(t)
	e.send(to, m)
}

// receiveStateReply adopts whatever is newer than this host's state.
func (e *Engine) receiveStateReply(svc *serviceState, from hostRef, m *Message) {
	if !m.Unknown {
		e.mergeState(svc, m)
	}
	delete(svc.awaitingState, from)
	e.finishStateRequests(svc)
}

// mergeState adopts the newer slot states. If this host has already served flows
// with the older ones, it has these slots collected again, so that their owner
// receives its records.
func (e *Engine) mergeState(svc *serviceState, m *Message) {
	refs := e.internUpstreams(svc, m.Upstreams)
	hasServed := svc.table.Load().ready || svc.resyncing
	var stale SlotSet
	e.editTable(svc, func(t *slotTable) {
		n := 0
		for i := range m.Slots.All {
			if e.mergeSlot(svc, t, i, m, n, refs) && hasServed {
				stale.Add(i)
			}
			n++
		}
	})
	svc.firstVersion = min(svc.firstVersion, max(m.First, 1))
	svc.maxTerm = max(svc.maxTerm, m.Term)
	svc.needsReconcile = true
	if stale != (SlotSet{}) {
		e.recollect(svc, stale)
	}
}

// mergeSlot adopts element n of the message for slot i if that is newer. It
// reports whether the slot changed or has conflicting owners.
func (e *Engine) mergeSlot(svc *serviceState, t *slotTable, i int, m *Message, n int, refs []upstreamRef) bool {
	owner, def := m.Owners[n], m.Defaults[n]
	s := t.editSlot(i)
	changed := false
	ref := refAt(refs, def.Upstream)
	newer := def.Term > s.defaultTerm || def.Term == 0 && s.defaultTerm == 0 && m.First < svc.firstVersion
	if def.Term == s.defaultTerm && def.Term > 0 {
		// Two defaults of one term arise in a partition: the lower address wins.
		newer = t.address(ref).Compare(t.address(t.defaults[i])) < 0
	}
	if newer && ref != t.defaults[i] {
		t.defaults[i] = ref
		changed = true
	}
	s.defaultTerm = max(s.defaultTerm, def.Term)
	if owner.Term == s.term && owner.Tracked && s.mode == tracked {
		// Two owners of one term arise in a partition: neither has all records.
		return changed || (*e.hosts.Load()).find(m.Hosts[owner.Host]) != s.owner
	}
	if owner.Term <= s.term {
		return changed
	}
	s.term, s.mode, s.phase, s.previous, s.backup = owner.Term, untracked, notOwner, noHost, noHost
	s.owner = noHost
	if owner.Tracked {
		s.mode = tracked
		s.owner = (*e.hosts.Load()).find(m.Hosts[owner.Host])
	}
	return true
}

// recollect has the hosts that should own the slots collect their records in a
// new round.
func (e *Engine) recollect(svc *serviceState, slots SlotSet) {
	e.removeFromRounds(svc, &slots)
	hosts := *e.hosts.Load()
	sets := make(map[hostRef]*SlotSet)
	for i := range slots.All {
		owner := hosts.ownerOf(svc.id, i)
		if sets[owner] == nil {
			sets[owner] = &SlotSet{}
		}
		sets[owner].Add(i)
	}
	if own := sets[selfRef]; own != nil {
		e.startRound(svc, *own)
	}
	for _, ref := range e.peers() {
		if set := sets[ref]; set != nil {
			e.send(ref, Message{Kind: TakeoverRequest, Service: svc.id, Version: svc.version, Term: svc.maxTerm, Slots: *set})
		}
	}
}

// announceDraining tells all members which upstreams take no new flows from this
// configuration on: some members may adopt it only seconds later.
func (e *Engine) announceDraining(svc *serviceState, previous *service.Service) {
	accepting := make(map[Target]bool)
	for _, u := range svc.configured.Upstreams {
		accepting[Target{u.Name, u.PacketAddress}] = u.State != service.AdminDraining
	}
	var drained []Target
	for _, u := range previous.Upstreams {
		target := Target{u.Name, u.PacketAddress}
		if u.State != service.AdminDraining && !accepting[target] {
			drained = append(drained, target)
		}
	}
	for part := range slices.Chunk(drained, MaxUpstreams) {
		for _, ref := range e.peers() {
			e.send(ref, Message{Kind: DrainNotice, Service: svc.id, Version: svc.version, Upstreams: part})
		}
	}
}
