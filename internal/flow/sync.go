package flow

import (
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/lookup"
	"github.com/oatlatch/oatlatch/internal/service"
)

// greet asks every member for its state of a service that is not ready.
func (e *Engine) greet(en *entry) {
	if en.table.Load().ready || en.greeting != nil || !e.membersKnown {
		return
	}
	en.greeting = make(map[hostRef]bool)
	for _, ref := range e.peers() {
		en.greeting[ref] = true
	}
	e.sendGreetings(en)
	e.finishGreeting(en)
}

func (e *Engine) sendGreetings(en *entry) {
	en.greetedAt = e.now
	for _, ref := range e.peers() {
		if en.greeting[ref] {
			e.send(ref, Message{Kind: Hello, Service: en.id, Version: en.version, Fresh: !en.resuming})
		}
	}
}

// finishGreeting makes the service ready once nobody is left to ask.
func (e *Engine) finishGreeting(en *entry) {
	if en.greeting == nil || len(en.greeting) > 0 {
		return
	}
	en.greeting = nil
	en.resuming = false
	e.edit(en, func(t *slotTable) { t.ready = true })
	en.dirty = true
}

func (e *Engine) dropDeadGreetings(en *entry) {
	for ref := range en.greeting {
		if !e.hostAlive(ref) {
			delete(en.greeting, ref)
		}
	}
	e.finishGreeting(en)
}

// greetMember exchanges state with a member that has just come to life: either
// side may have missed what the other agreed on.
func (e *Engine) greetMember(ref hostRef) {
	for _, en := range e.entries() {
		for _, r := range en.rounds {
			e.awaitMember(r, ref)
		}
		if !en.table.Load().ready {
			if en.greeting != nil {
				en.greeting[ref] = true
				e.send(ref, Message{Kind: Hello, Service: en.id, Version: en.version, Fresh: !en.resuming})
			}
			continue
		}
		e.send(ref, Message{Kind: Hello, Service: en.id, Version: en.version})
		e.sendState(en, ref, false)
	}
}

// receiveHello answers with this host's state. A fresh sender has lost any
// records that it kept as a backup.
func (e *Engine) receiveHello(en *entry, from hostRef, m *Message) {
	e.sendState(en, from, m.Fresh && m.Version == en.version)
	if m.Fresh {
		e.renewBackupsOn(en, from)
	}
}

// sendState sends the state of the service's slots. The brief form leaves out
// slots that are as the configuration alone has them.
func (e *Engine) sendState(en *entry, to hostRef, brief bool) {
	t := en.table.Load()
	hosts := *e.hosts.Load()
	m := Message{Kind: State, Service: en.id, Version: en.version, Term: en.maxTerm, First: en.first}
	m.Hosts = make([]host.ID, len(hosts))
	for i := range hosts {
		m.Hosts[i] = hosts[i].id
	}
	for i := range lookup.Slots {
		s := t.slot(i)
		if brief && s.mode == plain && t.defaults[i] == en.wanted[i] {
			continue
		}
		m.Slots.Add(i)
		m.Owners = append(m.Owners, Owner{Host: uint16(s.owner), Tracked: s.mode == tracked, Term: s.term})
	}
	m.nameDefaults(t)
	e.send(to, m)
}

// receiveState takes over what is newer than this host's own state.
func (e *Engine) receiveState(en *entry, from hostRef, m *Message) {
	if !m.Unknown {
		e.mergeState(en, m)
	}
	delete(en.greeting, from)
	e.finishGreeting(en)
}

// mergeState adopts the newer slot states. A host that has served flows under
// older ones asks for a new round, so that the slots' owner learns its records.
func (e *Engine) mergeState(en *entry, m *Message) {
	refs := e.internTargets(en, m.Upstreams)
	ready := en.table.Load().ready || en.resuming
	var repair SlotSet
	e.edit(en, func(t *slotTable) {
		n := 0
		for i := range m.Slots.All {
			if e.mergeSlot(en, t, i, m, n, refs) && ready {
				repair.Add(i)
			}
			n++
		}
	})
	en.first = min(en.first, max(m.First, 1))
	en.maxTerm = max(en.maxTerm, m.Term)
	en.dirty = true
	if repair != (SlotSet{}) {
		e.repair(en, repair)
	}
}

// mergeSlot adopts element n of the message for slot i if it is newer, and
// reports whether it was.
func (e *Engine) mergeSlot(en *entry, t *slotTable, i int, m *Message, n int, refs []upstreamRef) bool {
	owner, def := m.Owners[n], m.Defaults[n]
	s := t.edit(i)
	changed := false
	ref := refOf(refs, def.Upstream)
	newer := def.Term > s.defaultTerm || def.Term == 0 && s.defaultTerm == 0 && m.First < en.first
	if def.Term == s.defaultTerm && def.Term > 0 {
		// Two defaults of one term come from a partition as well: the lower address stays.
		newer = t.address(ref).Compare(t.address(t.defaults[i])) < 0
	}
	if newer && ref != t.defaults[i] {
		t.defaults[i] = ref
		changed = true
	}
	s.defaultTerm = max(s.defaultTerm, def.Term)
	if owner.Term == s.term && owner.Tracked && s.mode == tracked {
		// Two owners of one term come from a partition: neither knows all records.
		return changed || (*e.hosts.Load()).find(m.Hosts[owner.Host]) != s.owner
	}
	if owner.Term <= s.term {
		return changed
	}
	s.term, s.mode, s.phase, s.previous, s.backup = owner.Term, plain, notOwner, noHost, noHost
	s.owner = noHost
	if owner.Tracked {
		s.mode = tracked
		s.owner = (*e.hosts.Load()).find(m.Hosts[owner.Host])
	}
	return true
}

// repair has the slots collected anew by the hosts that should own them.
func (e *Engine) repair(en *entry, slots SlotSet) {
	e.withdraw(en, &slots)
	hosts := *e.hosts.Load()
	sets := make(map[hostRef]*SlotSet)
	for i := range slots.All {
		owner := hosts.ownerOf(en.id, i)
		if sets[owner] == nil {
			sets[owner] = &SlotSet{}
		}
		sets[owner].Add(i)
	}
	if own := sets[selfRef]; own != nil {
		e.startRound(en, *own)
	}
	for _, ref := range e.peers() {
		if set := sets[ref]; set != nil {
			e.send(ref, Message{Kind: Orphaned, Service: en.id, Version: en.version, Term: en.maxTerm, Slots: *set})
		}
	}
}

// announceDraining tells all members which upstreams take no new flows from
// this configuration on: some of them may receive it seconds later.
func (e *Engine) announceDraining(en *entry, previous *service.Service) {
	staying := make(map[Target]bool)
	for _, u := range en.configured.Upstreams {
		staying[Target{u.Name, u.PacketAddress}] = u.State != service.AdminDraining
	}
	var leaving []Target
	for _, u := range previous.Upstreams {
		target := Target{u.Name, u.PacketAddress}
		if u.State != service.AdminDraining && !staying[target] && len(leaving) < MaxUpstreams {
			leaving = append(leaving, target)
		}
	}
	if len(leaving) == 0 {
		return
	}
	for _, ref := range e.peers() {
		e.send(ref, Message{Kind: Draining, Service: en.id, Version: en.version, Upstreams: leaving})
	}
}
