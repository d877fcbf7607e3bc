package flow

import "time"

// pauseLimit is the time without a step after which the other hosts may have
// taken this host for dead and moved its slots. It must stay below the time in
// which membership finds a dead host.
const pauseLimit = 1500 * time.Millisecond

// paused reports whether this host may have been taken for dead since its last
// step. Until it has asked the other hosts for their state it decides nothing.
func (e *Engine) paused(now time.Time) bool {
	last := e.stepped.Load()
	return last != nil && now.Sub(*last) > pauseLimit
}

// resume asks the members for the state of every service again, as a host does
// that has just started, but keeps the records that it has.
func (e *Engine) resume() {
	e.stats.Pauses++
	for _, en := range e.entries() {
		e.edit(en, func(t *slotTable) { t.ready = false })
		en.greeting = nil
		en.resuming = true
		e.greet(en)
	}
}
