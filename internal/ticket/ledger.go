package ticket

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Options configure a ledger.
type Options struct {
	// Issuer and Incarnation identify the host that issues the tickets.
	Issuer      host.ID
	Incarnation host.Incarnation
	// Lifetime is how long after its issue a ticket can be used for the first time.
	Lifetime time.Duration
	// Retention is how long after the use of its ticket the full result of a request is
	// kept.
	Retention time.Duration
	// MaxRecords and MaxBytes limit the results kept in full.
	MaxRecords int
	MaxBytes   int
	// MaxWords limits the size of the window. Each word holds the states of 32 tickets.
	MaxWords int
}

// Claim is the result of presenting a ticket.
type Claim struct {
	Kind ClaimKind
	// Result is set if Kind is ClaimDone.
	Result Result
}

// ClaimKind tells how the request of a presented ticket is to be handled.
type ClaimKind uint8

// Kinds of claims.
const (
	// ClaimRun means that the request must be run and Finish called with its result.
	ClaimRun ClaimKind = iota + 1
	// ClaimJoin means that the request is already running, and that its result must be
	// awaited.
	ClaimJoin
	// ClaimDone means that the result is final. The request must not be run.
	ClaimDone
	// ClaimSealed means that the ledger is being handed over, or has been, and that the
	// ticket must be presented to the successor.
	ClaimSealed
)

// Ledger records which of the tickets of one incarnation of a host were used, and the
// results of their requests. It reads no clock: the time is passed to its methods. It is
// not safe for concurrent use.
type Ledger struct {
	options Options
	// lastIssued is the sequence of the newest ticket.
	lastIssued uint64
	// window holds the states of all tickets in it, with or without a record.
	window Window
	// records holds the used tickets whose results are kept in full, by sequence.
	records map[uint64]*Record
	// recordOrder lists the sequences of the records in the order in which evict drops
	// them: those from a transfer by sequence, then the others by the time of use.
	recordOrder []uint64
	// recordBytes is the estimated memory used by the records with a result.
	recordBytes int
	// running is the number of records of running requests.
	running int
	closing bool
	sealed  bool
	// exclusive is false if another host may have received the same ledger. Unused
	// tickets may then have been used there.
	exclusive bool
	// latestTime is the latest time seen. It is used in place of earlier times, so that an
	// expired ticket stays expired if the clock is set back.
	latestTime time.Time
}

// NewLedger returns an empty ledger for a new incarnation.
func NewLedger(options Options) *Ledger {
	return &Ledger{options: options, records: make(map[uint64]*Record), exclusive: true}
}

// Issue returns a new ticket for the service.
func (l *Ledger) Issue(now time.Time, id service.ID) Ticket {
	now = l.advanceClock(now)
	l.lastIssued++
	l.window.Trim(l.lastIssued, l.options.MaxWords)
	return Ticket{
		Issuer:      l.options.Issuer,
		Incarnation: l.options.Incarnation,
		Sequence:    l.lastIssued,
		Service:     id,
		ExpiresMs:   uint64(now.Add(l.options.Lifetime).UnixMilli()),
	}
}

// Begin presents a ticket for a request to the service. The ticket must have been verified
// and must belong to this ledger. The digest is that of the request.
func (l *Ledger) Begin(now time.Time, t Ticket, id service.ID, digest Digest) Claim {
	now = l.advanceClock(now)
	if l.sealed {
		return Claim{Kind: ClaimSealed}
	}
	if t.Service != id {
		return finalClaim(admission.NotRun, admission.ReasonTicketForeign)
	}
	if claim, used := l.claimUsed(t, digest); used {
		return claim
	}
	if claim, refused := l.refuseUnused(now, t); refused {
		return claim
	}
	if l.closing {
		return Claim{Kind: ClaimSealed}
	}
	l.addRecord(now, t.Sequence, digest)
	l.window.Set(t.Sequence, Dispatched)
	l.running++
	return Claim{Kind: ClaimRun}
}

// Finish records the result of a request for which Begin returned ClaimRun.
func (l *Ledger) Finish(now time.Time, sequence uint64, result Result) {
	l.advanceClock(now)
	record := l.records[sequence]
	if record == nil || record.Done {
		return
	}
	l.running--
	record.Done = true
	record.Result = result
	l.recordBytes += result.size()
	l.window.Set(sequence, stateAfter(result.Outcome))
	l.evict(now)
}

// Burn presents a ticket whose request must not run. An unused ticket can never run after
// that, and its claim has the reason. A used ticket is not changed.
func (l *Ledger) Burn(now time.Time, t Ticket, reason admission.Reason) Claim {
	now = l.advanceClock(now)
	if l.sealed {
		return Claim{Kind: ClaimSealed}
	}
	if record := l.records[t.Sequence]; record != nil {
		return l.claimRecord(record, record.Digest)
	}
	if claim, used := l.claimUsed(t, Digest{}); used {
		return claim
	}
	if claim, refused := l.refuseUnused(now, t); refused {
		return claim
	}
	l.window.Set(t.Sequence, Burned)
	return finalClaim(admission.NotRun, reason)
}

// Result returns the full result of a request, or false if it is still running or the
// result is not kept.
func (l *Ledger) Result(sequence uint64) (Result, bool) {
	record := l.records[sequence]
	if record == nil || !record.Done {
		return Result{}, false
	}
	return record.Result, true
}

// Close stops new requests from running. Requests in progress continue, and Seal may be
// called after they have finished.
func (l *Ledger) Close() { l.closing = true }

// Running returns the number of requests in progress.
func (l *Ledger) Running() int { return l.running }

// Sweep drops full results that are older than Options.Retention.
func (l *Ledger) Sweep(now time.Time) { l.evict(l.advanceClock(now)) }

// advanceClock returns the latest time seen, including now.
func (l *Ledger) advanceClock(now time.Time) time.Time {
	if now.After(l.latestTime) {
		l.latestTime = now
	}
	return l.latestTime
}

// claimUsed returns the claim of a used ticket. It returns false if the ticket is unused.
func (l *Ledger) claimUsed(t Ticket, digest Digest) (Claim, bool) {
	if record := l.records[t.Sequence]; record != nil {
		return l.claimRecord(record, digest), true
	}
	state, known := l.window.Get(t.Sequence)
	if !known {
		return finalClaim(admission.Unknown, admission.ReasonTicketForgotten), true
	}
	if state == Unused {
		return Claim{}, false
	}
	return Claim{Kind: ClaimDone, Result: state.result()}, true
}

// claimRecord returns the claim of a ticket that has a record.
func (l *Ledger) claimRecord(record *Record, digest Digest) Claim {
	if record.Digest != digest {
		return finalClaim(admission.NotRun, admission.ReasonTicketReused)
	}
	if !record.Done {
		return Claim{Kind: ClaimJoin}
	}
	return Claim{Kind: ClaimDone, Result: record.Result}
}

// refuseUnused returns the claim of an unused ticket whose request must not run. It
// returns false if the request may run. A ticket of this ledger is burned if it has expired
// or there is no room for its record.
func (l *Ledger) refuseUnused(now time.Time, t Ticket) (Claim, bool) {
	switch {
	case t.Sequence > l.lastIssued || t.Sequence == 0:
		return finalClaim(admission.NotRun, admission.ReasonTicketForged), true
	case !l.exclusive:
		return finalClaim(admission.Unknown, admission.ReasonTicketVoid), true
	case t.Expired(now):
		l.window.Set(t.Sequence, Burned)
		return finalClaim(admission.NotRun, admission.ReasonTicketExpired), true
	// Records of running requests cannot be dropped to make room.
	case len(l.records) >= l.options.MaxRecords && l.running >= l.options.MaxRecords:
		l.window.Set(t.Sequence, Burned)
		return finalClaim(admission.NotRun, admission.ReasonQueueFull), true
	}
	return Claim{}, false
}

// addRecord adds the record of a ticket whose request is about to run.
func (l *Ledger) addRecord(now time.Time, sequence uint64, digest Digest) {
	l.records[sequence] = &Record{Sequence: sequence, Digest: digest, Used: now}
	l.recordOrder = append(l.recordOrder, sequence)
	l.evict(now)
}

// evict drops the oldest records as long as the limits are exceeded or the oldest record
// has expired. The states of their tickets stay in the window. Records of running requests
// are kept, and stay the first in recordOrder.
func (l *Ledger) evict(now time.Time) {
	var running []uint64
	next := 0
	for ; next < len(l.recordOrder) && (l.exceedsLimits() || l.isExpired(now, l.records[l.recordOrder[next]])); next++ {
		record := l.records[l.recordOrder[next]]
		if !record.Done {
			running = append(running, record.Sequence)
			continue
		}
		l.recordBytes -= record.Result.size()
		delete(l.records, record.Sequence)
	}
	first := next - len(running)
	copy(l.recordOrder[first:], running)
	l.recordOrder = l.recordOrder[first:]
}

// exceedsLimits reports whether records must be dropped to meet the limits.
func (l *Ledger) exceedsLimits() bool {
	return len(l.records) > l.options.MaxRecords || l.recordBytes > l.options.MaxBytes
}

// isExpired reports whether the record is older than Options.Retention.
func (l *Ledger) isExpired(now time.Time, record *Record) bool {
	return now.Sub(record.Used) > l.options.Retention
}

// finalClaim returns a claim with a final result that has no response.
func finalClaim(outcome admission.Outcome, reason admission.Reason) Claim {
	return Claim{Kind: ClaimDone, Result: Result{Outcome: outcome, Reason: reason}}
}
