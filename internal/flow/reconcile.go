package flow

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/oatlatch/oatlatch/internal/slottable"
)

// takeoverRequestInterval is the interval at which a host asks others to take
// over slots without a live owner.
const takeoverRequestInterval = time.Second

// balancingDelay is the time without membership changes after which hosts become
// owners of the slots of services with per-flow balancing. It saves repeated
// rounds while hosts start one after the other.
const balancingDelay = 10 * time.Second

// reconcile compares the service's slots with their desired state. It starts a
// round for slots that this host should take over and asks other hosts to take
// over theirs.
func (e *Engine) reconcile(svc *serviceState) {
	t := svc.table.Load()
	if !t.ready {
		return
	}
	var takeover SlotSet
	orphans := make(map[hostRef]*SlotSet)
	hosts := *e.hosts.Load()
	for i := range slottable.Slots {
		if !e.needsTakeover(svc, t, i) {
			continue
		}
		owner := hosts.ownerOf(svc.id, i)
		switch {
		case owner == selfRef:
			takeover.Add(i)
		case owner != noHost && t.slot(i).mode == tracked:
			if orphans[owner] == nil {
				orphans[owner] = &SlotSet{}
			}
			orphans[owner].Add(i)
		}
	}
	if takeover != (SlotSet{}) {
		e.startRound(svc, takeover)
	}
	e.requestTakeovers(svc, orphans)
	e.replaceLostBackups(svc)
}

// needsTakeover reports whether a new round has to give the slot an owner.
func (e *Engine) needsTakeover(svc *serviceState, t *slotTable, i int) bool {
	s := t.slot(i)
	if s.mode == tracked {
		if s.owner == selfRef {
			return s.phase == notOwner || e.leaving
		}
		return !e.hostEligible(s.owner)
	}
	if svc.version < svc.maxReleaseVersion {
		return false
	}
	return t.perFlowBalancing && e.mayStartBalancing() || t.targets[i] != t.defaults[i] && t.targets[i] != noUpstream
}

// mayStartBalancing reports whether the members have been the same for
// balancingDelay, so that slots can be distributed among them.
func (e *Engine) mayStartBalancing() bool {
	return e.now.Sub(e.membersChangedAt) >= balancingDelay
}

// requestTakeovers asks the hosts that should own the slots to take them over.
func (e *Engine) requestTakeovers(svc *serviceState, orphans map[hostRef]*SlotSet) {
	svc.hasOrphans = len(orphans) > 0
	if !svc.hasOrphans || e.now.Sub(svc.takeoverRequestedAt) < takeoverRequestInterval {
		return
	}
	svc.takeoverRequestedAt = e.now
	for _, to := range e.peers() {
		if set := orphans[to]; set != nil {
			e.send(to, Message{Kind: TakeoverRequest, Service: svc.id, Version: svc.version, Term: svc.maxTerm, Slots: *set})
		}
	}
}

// receiveTakeoverRequest takes over the slots, except those that have a live owner
// in a newer term than the sender has seen.
func (e *Engine) receiveTakeoverRequest(svc *serviceState, m *Message) {
	t := svc.table.Load()
	if !t.ready || e.leaving {
		return
	}
	var takeover SlotSet
	for i := range m.Slots.All {
		s := t.slot(i)
		if s.mode == tracked && s.owner == selfRef && s.phase != notOwner && s.term > m.Term {
			continue
		}
		if s.mode == tracked && s.owner != selfRef && s.term > m.Term && e.hostEligible(s.owner) {
			continue
		}
		takeover.Add(i)
	}
	if takeover != (SlotSet{}) {
		e.startRound(svc, takeover)
	}
}

// updateMembers applies a membership view: it exchanges state with members that
// have become alive and stops waiting for dead ones.
func (e *Engine) updateMembers(view membership.View) {
	before := *e.hosts.Load()
	e.membersChangedAt = e.now
	e.updateHosts(func(l hostList) hostList { return l.merge(view, e.nowSeconds()) })
	e.membersKnown = true
	hosts := *e.hosts.Load()
	for i := range hosts {
		if ref := hostRef(i); ref != selfRef && hosts[i].alive() && !before.isAlive(ref) {
			e.syncWithMember(ref)
		}
	}
	for _, svc := range e.services() {
		e.requestState(svc)
		e.dropDeadMembers(svc)
		svc.needsReconcile = true
	}
}
