package flow

import "github.com/oatlatch/oatlatch/internal/lookup"

// releaseQuiet makes slots plain again in which every flow off the target is
// over. A flow that the owner has not heard of for the grace time has been
// forgotten by every other host.
func (e *Engine) releaseQuiet(en *entry) {
	t := en.table.Load()
	if t.slots == nil || e.leaving || en.version < en.heard || len(en.rounds) > 0 {
		return
	}
	byTerm := make(map[uint32]*SlotSet)
	now := e.nowSeconds()
	for i := range lookup.Slots {
		s := &t.slots[i]
		if s.mode != tracked || s.owner != selfRef || s.phase != active || t.steered || t.targets[i] == noUpstream {
			continue
		}
		if now-en.quietSince[i] <= ownerGraceFactor*t.idle+1 {
			continue
		}
		if byTerm[s.term] == nil {
			byTerm[s.term] = &SlotSet{}
		}
		byTerm[s.term].Add(i)
	}
	for i := range lookup.Slots {
		term := t.slots[i].term
		if set := byTerm[term]; set != nil && set.Has(i) {
			delete(byTerm, term)
			e.startRelease(en, term, *set)
		}
	}
}

// startRelease fixes the slots' new defaults and tells every member.
func (e *Engine) startRelease(en *entry, term uint32, slots SlotSet) {
	e.edit(en, func(t *slotTable) {
		for i := range slots.All {
			s := t.edit(i)
			s.phase, s.defaultTerm = releasing, term
			t.defaults[i] = t.targets[i]
		}
	})
	e.forgetDeviations(en, &slots)
	r := e.newRound(en, term, slots, stageRelease)
	e.sendRound(en, r)
	e.advance(en, r)
}

// renewBackups replaces backups that left or died and gives them the records.
func (e *Engine) renewBackups(en *entry) {
	e.replaceBackups(en, func(s *slot) bool { return !e.hostEligible(s.backup) })
}

// renewBackupsOn gives the records to a backup that has lost them.
func (e *Engine) renewBackupsOn(en *entry, ref hostRef) {
	e.replaceBackups(en, func(s *slot) bool { return s.backup == ref })
}

func (e *Engine) replaceBackups(en *entry, needed func(*slot) bool) {
	t := en.table.Load()
	if t.slots == nil {
		return
	}
	hosts := *e.hosts.Load()
	var slots SlotSet
	for i := range t.slots {
		s := &t.slots[i]
		if s.mode == tracked && s.owner == selfRef && s.phase == active && needed(s) && hosts.backupOf(en.id, i, selfRef) != noHost {
			slots.Add(i)
		}
	}
	if slots == (SlotSet{}) {
		return
	}
	e.edit(en, func(t *slotTable) {
		for i := range slots.All {
			t.edit(i).backup = hosts.backupOf(en.id, i, selfRef)
		}
	})
	r := e.newRound(en, en.maxTerm, slots, stageStore)
	clear(r.waiting)
	r.replicas = e.replicas(en, r)
	e.sendRound(en, r)
	e.advance(en, r)
}
