package echo

import "time"

// RecordState is the state of a flow record as far as its eviction is concerned. Records of a
// caller are evicted in the order of these states.
type RecordState uint8

// States of flow records.
const (
	// RecordClosed is the state of a record that serves late packets of a closed flow only.
	RecordClosed RecordState = iota
	// RecordIdle is the state of a record of an open flow without an outstanding request.
	RecordIdle
	// RecordOpening is the state of a record of a flow that has sent only SYNs.
	RecordOpening
	// RecordAwaiting is the state of a record of an open flow with an outstanding request.
	RecordAwaiting

	recordStateCount
)

var recordStateNames = [recordStateCount]string{
	RecordClosed: "closed", RecordIdle: "idle", RecordOpening: "opening", RecordAwaiting: "awaiting",
}

// String returns the state's label in metrics.
func (s RecordState) String() string { return recordStateNames[s] }

func (r *flowRecord) evictionState() RecordState {
	switch {
	case r.state == stateClosed:
		return RecordClosed
	case r.state == stateOpening:
		return RecordOpening
	case r.awaitingResponse:
		return RecordAwaiting
	default:
		return RecordIdle
	}
}

// evictionRank orders records for eviction: by state, then by age, the oldest first.
type evictionRank uint64

// ageBits is the number of bits of an evictionRank below the state. They hold 146 years in
// nanoseconds.
const ageBits = 62

// rankOf returns the rank of the record at a time that is not before its lastSeen.
func rankOf(rec *flowRecord, now time.Time) evictionRank {
	const maxAge = 1<<ageBits - 1
	age := min(max(0, now.Sub(rec.lastSeen)), maxAge)
	return evictionRank(rec.evictionState())<<ageBits | evictionRank(maxAge-age)
}

func (r evictionRank) state() RecordState { return RecordState(r >> ageBits) }

// evictionCandidate is a record that may be evicted for as long as its rank stays the same.
type evictionCandidate struct {
	key  flowKey
	rec  *flowRecord
	rank evictionRank
}
