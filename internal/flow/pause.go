package flow

import "time"

// pauseLimit is the time without a step after which other hosts may have declared
// this host dead and taken over its slots. It must be less than the time in which
// membership detects a dead host.
const pauseLimit = 1500 * time.Millisecond

// paused reports whether the other hosts may have declared this host dead since
// its last step. Such a host decides nothing until it has asked the others for
// their state.
func (e *Engine) paused(now time.Time) bool {
	last := e.lastStep.Load()
	return last != nil && now.Sub(*last) > pauseLimit
}

// resyncAfterPause asks the members for the state of every service, as a newly
// started host does, but keeps the records.
func (e *Engine) resyncAfterPause() {
	e.stats.Pauses++
	for _, svc := range e.services() {
		e.editTable(svc, func(t *slotTable) { t.ready = false })
		svc.awaitingState = nil
		svc.resyncing = true
		e.requestState(svc)
	}
}
