package flow

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/lookup"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// orphanInterval is the interval at which a host asks for owners of orphaned slots.
const orphanInterval = time.Second

// steeringDelay is the time without changes of members after which steered
// slots get their owners: starting hosts come one after the other.
const steeringDelay = 10 * time.Second

// reconcile compares the service's slots with what they should be and starts
// rounds for those that this host should own.
func (e *Engine) reconcile(en *entry) {
	t := en.table.Load()
	if !t.ready {
		return
	}
	var start SlotSet
	orphans := make(map[hostRef]*SlotSet)
	hosts := *e.hosts.Load()
	for i := range lookup.Slots {
		if !e.needsOwner(en, t, i) {
			continue
		}
		owner := hosts.ownerOf(en.id, i)
		switch {
		case owner == selfRef:
			start.Add(i)
		case owner != noHost && t.slot(i).mode == tracked:
			if orphans[owner] == nil {
				orphans[owner] = &SlotSet{}
			}
			orphans[owner].Add(i)
		}
	}
	if start != (SlotSet{}) {
		e.startRound(en, start)
	}
	e.reportOrphans(en, orphans)
	e.renewBackups(en)
}

// needsOwner reports whether a new owner should take the slot over.
func (e *Engine) needsOwner(en *entry, t *slotTable, i int) bool {
	s := t.slot(i)
	if s.mode == tracked {
		if s.owner == selfRef {
			return s.phase == notOwner || e.leaving
		}
		return !e.hostEligible(s.owner)
	}
	if en.version < en.heard {
		return false
	}
	return t.steered && e.mayStartSteering() || t.targets[i] != t.defaults[i] && t.targets[i] != noUpstream
}

// mayStartSteering reports whether the members have been the same for long
// enough to share the steered slots among them.
func (e *Engine) mayStartSteering() bool {
	return e.now.Sub(e.membersAt) >= steeringDelay
}

// reportOrphans asks the hosts that should own the slots to take them over.
func (e *Engine) reportOrphans(en *entry, orphans map[hostRef]*SlotSet) {
	en.orphaned = len(orphans) > 0
	if !en.orphaned || e.now.Sub(en.orphanedAt) < orphanInterval {
		return
	}
	en.orphanedAt = e.now
	for _, to := range e.peers() {
		if set := orphans[to]; set != nil {
			e.send(to, Message{Kind: Orphaned, Service: en.id, Version: en.version, Term: en.maxTerm, Slots: *set})
		}
	}
}

// receiveOrphaned takes over slots that the sender found without a live owner.
func (e *Engine) receiveOrphaned(en *entry, m *Message) {
	t := en.table.Load()
	if !t.ready || e.leaving {
		return
	}
	var start SlotSet
	for i := range m.Slots.All {
		s := t.slot(i)
		if s.mode == tracked && s.owner == selfRef && s.phase != notOwner && s.term > m.Term {
			continue
		}
		if s.mode == tracked && s.owner != selfRef && s.term > m.Term && e.hostEligible(s.owner) {
			continue
		}
		start.Add(i)
	}
	if start != (SlotSet{}) {
		e.startRound(en, start)
	}
}

// changeMembers takes in the membership view.
func (e *Engine) changeMembers(view membership.View) {
	before := *e.hosts.Load()
	e.membersAt = e.now
	e.setHosts(func(l hostList) hostList { return l.merge(view, e.nowSeconds()) })
	e.membersKnown = true
	hosts := *e.hosts.Load()
	for i := range hosts {
		if ref := hostRef(i); ref != selfRef && hosts[i].alive() && !before.isAlive(ref) {
			e.greetMember(ref)
		}
	}
	for _, en := range e.entries() {
		e.greet(en)
		e.dropDead(en)
		en.dirty = true
	}
}
