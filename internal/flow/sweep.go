package flow

import "time"

const (
	// shardsPerTick spreads a sweep of all shards over about two seconds.
	shardsPerTick = 13
	// activeWindow is the age of the last packet up to which a flow counts as active.
	activeWindow seconds = 10
	// closingIdle is how many seconds a plain slot's record outlives the end of its flow.
	closingIdle seconds = 30
	// loadsInterval is the interval at which loads are published anew.
	loadsInterval = time.Second
)

// sweeper is the position of the sweep over the shards.
type sweeper struct {
	next int
}

// tick drives all timers.
func (e *Engine) tick() {
	for range shardsPerTick {
		e.sweepShard(e.sweeper.next)
		e.sweeper.next = (e.sweeper.next + 1) % shardCount
		if e.sweeper.next == 0 {
			e.finishSweep()
		}
	}
	refresh := e.now.Sub(e.loadsAt) >= loadsInterval
	if refresh {
		e.loadsAt = e.now
	}
	for _, en := range e.entries() {
		e.resendRounds(en)
		if len(en.greeting) > 0 && e.now.Sub(en.greetedAt) >= resendInterval {
			e.sendGreetings(en)
		}
		if en.orphaned && e.now.Sub(en.orphanedAt) >= orphanInterval {
			en.dirty = true
		}
		if refresh {
			e.releaseQuiet(en)
			e.sendSpreading(en)
			en.dirty = en.dirty || en.table.Load().steered
		}
	}
	e.finishLeaving()
}

// sweepShard removes the shard's records of flows that are over and counts the rest.
func (e *Engine) sweepShard(i int) {
	v := e.view.Load()
	if v == nil {
		return
	}
	now := e.nowSeconds()
	s := &e.records.shards[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIf(func(id ID, r *record) bool {
		en := v.byID[r.service]
		return en == nil || e.sweepRecord(en, id, r, now)
	})
}

// sweepRecord counts the flow and reports whether it is over.
func (e *Engine) sweepRecord(en *entry, id ID, r *record, now seconds) bool {
	t := en.table.Load()
	i := int(id & slotMask)
	slot := t.slot(i)
	silent := now - r.seen
	if r.seen > now {
		silent = 0
	}
	limit := t.idle
	switch {
	case slot.mode == tracked && slot.owner == selfRef:
		limit *= ownerGraceFactor
	case slot.mode == plain && r.closing:
		limit = min(limit, closingIdle)
	}
	if silent > limit {
		return true
	}
	if r.upstream != t.targets[i] {
		en.quietSince[i] = now
	}
	e.age(en, t, id, r, &slot)
	if silent <= activeWindow && !r.closing {
		for int(r.upstream) >= len(en.counting) {
			en.counting = append(en.counting, 0)
		}
		en.counting[r.upstream]++
	}
	return false
}

// finishSweep publishes the counts of a complete sweep.
func (e *Engine) finishSweep() {
	for _, en := range e.entries() {
		en.active, en.counting = en.counting, en.active[:0]
		e.calibrate(en)
		e.publishLoads(en)
	}
}
