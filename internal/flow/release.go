package flow

import "github.com/oatlatch/oatlatch/internal/slottable"

// releaseSettledSlots makes slots untracked whose flows have all gone to the target
// for ownerIdleFactor idle timeouts. By then every other host has removed its
// records of flows on other upstreams.
func (e *Engine) releaseSettledSlots(svc *serviceState) {
	t := svc.table.Load()
	if t.slots == nil || e.leaving || svc.version < svc.maxReleaseVersion || len(svc.rounds) > 0 {
		return
	}
	byTerm := make(map[uint32]*SlotSet)
	now := e.nowSeconds()
	for i := range slottable.Slots {
		s := &t.slots[i]
		if s.mode != tracked || s.owner != selfRef || s.phase != active || t.perFlowBalancing || t.targets[i] == noUpstream {
			continue
		}
		if now.since(svc.offTargetSeen[i]) <= ownerIdleFactor*t.idleTimeout+1 {
			continue
		}
		if byTerm[s.term] == nil {
			byTerm[s.term] = &SlotSet{}
		}
		byTerm[s.term].Add(i)
	}
	// Iterating over the slots instead of the map keeps the order of the messages
	// deterministic.
	for i := range slottable.Slots {
		term := t.slots[i].term
		if set := byTerm[term]; set != nil && set.Has(i) {
			delete(byTerm, term)
			e.startRelease(svc, term, *set)
		}
	}
}

// startRelease sets the slots' new defaults and sends them to all members.
func (e *Engine) startRelease(svc *serviceState, term uint32, slots SlotSet) {
	e.editTable(svc, func(t *slotTable) {
		for i := range slots.All {
			s := t.editSlot(i)
			s.phase, s.defaultTerm = releasing, term
			t.defaults[i] = t.targets[i]
		}
	})
	e.removeOffDefault(svc, &slots)
	r := e.newRound(svc, term, slots, stageRelease)
	e.sendRound(svc, r)
	e.advanceRound(svc, r)
}

// replaceLostBackups replaces backups that left or died and sends the records to
// the new ones.
func (e *Engine) replaceLostBackups(svc *serviceState) {
	e.replaceBackups(svc, func(s *slot) bool { return !e.hostEligible(s.backup) })
}

// resendToBackup sends the records again to a backup that has lost them.
func (e *Engine) resendToBackup(svc *serviceState, ref hostRef) {
	e.replaceBackups(svc, func(s *slot) bool { return s.backup == ref })
}

// replaceBackups selects new backups for the active slots whose backup is stale
// and sends them the records.
func (e *Engine) replaceBackups(svc *serviceState, stale func(*slot) bool) {
	t := svc.table.Load()
	if t.slots == nil {
		return
	}
	hosts := *e.hosts.Load()
	var slots SlotSet
	for i := range t.slots {
		s := &t.slots[i]
		if s.mode == tracked && s.owner == selfRef && s.phase == active && stale(s) && hosts.backupOf(svc.id, i, selfRef) != noHost {
			slots.Add(i)
		}
	}
	if slots == (SlotSet{}) {
		return
	}
	e.editTable(svc, func(t *slotTable) {
		for i := range slots.All {
			t.editSlot(i).backup = hosts.backupOf(svc.id, i, selfRef)
		}
	})
	r := e.newRound(svc, svc.maxTerm, slots, stageStore)
	clear(r.pendingReplies)
	r.unacked = e.replicateRequests(svc, r)
	e.sendRound(svc, r)
	e.advanceRound(svc, r)
}
