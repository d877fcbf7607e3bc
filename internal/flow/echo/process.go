package echo

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/evidence"
	"github.com/oatlatch/oatlatch/internal/warmup"
)

// processSeen is when the engine first saw the upstream's current process.
type processSeen struct {
	process warmup.Process
	since   time.Time
	// number counts the processes that the engine has seen under the upstream's ID, from 1 on.
	number uint32
}

// noteProcess records when the engine first sees the process in the entry.
func (u *upstream) noteProcess(now time.Time, entry *catalog.Entry) {
	p := warmup.NewProcess(entry.Name, entry.Started)
	if u.seen.process != p {
		u.seen = processSeen{process: p, since: now, number: u.seen.number + 1}
	}
}

// startedMillis returns when the upstream's process started, in Unix milliseconds; zero if that
// is unknown.
func (u *upstream) startedMillis() int64 {
	if u.Started.IsZero() {
		return 0
	}
	return u.Started.UnixMilli()
}

// forgetProcess forgets what is known of the upstream's process, which has been replaced.
func (e *Engine) forgetProcess(now time.Time, u *upstream) {
	e.clearSuspicion(now, u, Restarted)
	e.clearMute(now, u, Restarted)
	u.unansweredFlows = 0
	u.strikeSeries++
	u.holdDown = 0
	u.ejection, u.counts = ejection{}, answerCounts{}
	u.reported, u.reportedAt = evidence.Entry{}, time.Time{}
	u.recent = recentRequests{ineligible: true}
}

// Holder tells which process of its upstream holds a flow. A process answers packets of flows
// that it does not hold with RSTs to the caller, which hosts do not see: requests on flows of a
// former process have no answer, however well the current one works.
type Holder uint8

// Holders of flows.
const (
	// UnknownHolder means that the flow may be one of a former process: this host did not see
	// how it was opened, and has seen no answer on it.
	UnknownHolder Holder = iota
	// CurrentProcess means that the current process holds the flow.
	CurrentProcess
	// FormerProcess means that the flow was opened before this host saw the current process,
	// which has answered no request on it.
	FormerProcess
)

var holderNames = [...]string{UnknownHolder: "unknown", CurrentProcess: "current", FormerProcess: "former"}

// String returns the holder's name in logs.
func (h Holder) String() string { return holderNames[h] }

// holderOf returns which process holds the flow. A former process's flow has been idle since
// the current process started, so one with a request after the idle timeout is no such flow.
func (e *Engine) holderOf(rec *flowRecord) Holder {
	seen := &rec.upstream.seen
	switch {
	case rec.process == seen.number, rec.requestedAt.Sub(seen.since) >= e.idleTimeout:
		return CurrentProcess
	case rec.process == 0:
		return UnknownHolder
	default:
		return FormerProcess
	}
}

// noteHolder records that the flow's request has been answered. If it was sent after this host
// had seen the current process, that one holds the flow.
func (r *flowRecord) noteHolder() {
	if seen := &r.upstream.seen; !r.requestedAt.Before(seen.since) {
		r.process = seen.number
	}
}
