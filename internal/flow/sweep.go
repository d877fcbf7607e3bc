package flow

import "time"

const (
	// shardsPerTick is the number of shards swept per tick, so that a sweep of all
	// takes about two seconds.
	shardsPerTick = 13
	// activeWindow is the age in seconds of a flow's last packet up to which the
	// flow counts as active.
	activeWindow seconds = 10
	// closingIdleTimeout is the idle timeout in seconds of a closing flow in an
	// untracked slot.
	closingIdleTimeout seconds = 30
	// maintenanceInterval is the interval at which tick releases slots, sends third
	// copies and reconciles services with per-flow balancing.
	maintenanceInterval = time.Second
)

// sweepPosition is the next shard to sweep.
type sweepPosition struct {
	next int
}

// tick runs everything that depends on time.
func (e *Engine) tick() {
	for range shardsPerTick {
		e.sweepShard(e.sweep.next)
		e.sweep.next = (e.sweep.next + 1) % shardCount
		if e.sweep.next == 0 {
			e.finishSweep()
		}
	}
	maintain := e.now.Sub(e.maintainedAt) >= maintenanceInterval
	if maintain {
		e.maintainedAt = e.now
	}
	for _, svc := range e.services() {
		e.resendRounds(svc)
		if len(svc.awaitingState) > 0 && e.now.Sub(svc.stateRequestedAt) >= resendInterval {
			e.sendStateRequests(svc)
		}
		if svc.hasOrphans && e.now.Sub(svc.takeoverRequestedAt) >= takeoverRequestInterval {
			svc.needsReconcile = true
		}
		if maintain {
			e.releaseSettledSlots(svc)
			e.sendThirdCopies(svc)
			svc.needsReconcile = svc.needsReconcile || svc.table.Load().perFlowBalancing
		}
	}
	e.finishLeaving()
}

// sweepShard removes the records of flows that have ended and counts the active flows.
func (e *Engine) sweepShard(i int) {
	v := e.serviceView.Load()
	if v == nil {
		return
	}
	now := e.nowSeconds()
	s := &e.records.shards[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIf(func(id ID, r *record) bool {
		svc := v.byID[r.service]
		return svc == nil || e.sweepRecord(svc, id, r, now)
	})
}

// sweepRecord reports whether the flow has ended. Otherwise it counts the flow if
// it is active.
func (e *Engine) sweepRecord(svc *serviceState, id ID, r *record, now seconds) bool {
	t := svc.table.Load()
	i := int(id & slotMask)
	slot := t.slot(i)
	idle := now.since(r.lastSeen)
	limit := t.idleTimeout
	switch {
	case slot.mode == tracked && slot.owner == selfRef:
		limit *= ownerIdleFactor
	case slot.mode == untracked && r.closing:
		limit = min(limit, closingIdleTimeout)
	}
	if idle > limit {
		return true
	}
	if r.upstream != t.targets[i] {
		svc.offTargetSeen[i] = now
	}
	e.queueThirdCopy(svc, t, id, r, &slot)
	if idle <= activeWindow && !r.closing {
		for int(r.upstream) >= len(svc.sweepCounts) {
			svc.sweepCounts = append(svc.sweepCounts, 0)
		}
		svc.sweepCounts[r.upstream]++
	}
	return false
}

// finishSweep updates the loads from the counts of the completed sweep.
func (e *Engine) finishSweep() {
	for _, svc := range e.services() {
		svc.activeFlows, svc.sweepCounts = svc.sweepCounts, svc.activeFlows[:0]
		e.calibrate(svc)
		e.publishLoads(svc)
	}
}
