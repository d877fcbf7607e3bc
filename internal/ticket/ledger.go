package ticket

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Options bounds a ledger.
type Options struct {
	Issuer      host.ID
	Incarnation host.Incarnation
	// Life is how long a ticket may be dispatched.
	Life time.Duration
	// Keep is how long a result is kept in full.
	Keep time.Duration
	// MaxRecords and MaxBytes bound the results kept in full.
	MaxRecords int
	MaxBytes   int
	// MaxWords bounds the window; each word holds the states of 32 tickets.
	MaxWords int
}

// Claim is the ledger's answer to a presented ticket.
type Claim struct {
	Kind ClaimKind
	// Result is set when Kind is ClaimDone.
	Result Result
}

// ClaimKind is what the presenter of a ticket must do.
type ClaimKind uint8

// Kinds of claim.
const (
	// ClaimRun gives the right to run the request; Finish must follow.
	ClaimRun ClaimKind = iota + 1
	// ClaimJoin says that the request is in progress.
	ClaimJoin
	// ClaimDone says that the result is final.
	ClaimDone
	// ClaimSealed says that the ledger has been handed over.
	ClaimSealed
)

// Ledger keeps what became of the tickets of one incarnation. It is a state
// machine: the time is passed in.
type Ledger struct {
	options Options
	next    uint64
	window  Window
	records map[uint64]*Record
	// order lists the sequences of records, oldest first.
	order   []uint64
	bytes   int
	running int
	closing bool
	sealed  bool
	// exclusive is false when another host may hold the same ledger: unused
	// tickets may then have run elsewhere.
	exclusive bool
	// latest is the highest time seen, so that a ticket that has expired stays expired.
	latest time.Time
}

// NewLedger returns the ledger of a new incarnation.
func NewLedger(options Options) *Ledger {
	return &Ledger{options: options, records: make(map[uint64]*Record), exclusive: true}
}

// Issue returns a fresh ticket for the service.
func (l *Ledger) Issue(now time.Time, id service.ID) Ticket {
	now = l.advance(now)
	l.next++
	l.window.Limit(l.next, l.options.MaxWords)
	return Ticket{
		Issuer:      l.options.Issuer,
		Incarnation: l.options.Incarnation,
		Sequence:    l.next,
		Service:     id,
		ExpiresMs:   uint64(now.Add(l.options.Life).UnixMilli()),
	}
}

// Begin presents a verified ticket of this ledger for a request.
func (l *Ledger) Begin(now time.Time, t Ticket, id service.ID, digest Digest) Claim {
	now = l.advance(now)
	if l.sealed {
		return Claim{Kind: ClaimSealed}
	}
	if t.Service != id {
		return done(admission.NotRun, admission.ReasonTicketForeign)
	}
	if claim, used := l.lookup(t, digest); used {
		return claim
	}
	if claim, refused := l.refuse(now, t); refused {
		return claim
	}
	if l.closing {
		return Claim{Kind: ClaimSealed}
	}
	l.insert(now, t.Sequence, digest)
	l.window.Set(t.Sequence, Dispatched)
	l.running++
	return Claim{Kind: ClaimRun}
}

// Finish records the result of a request that Begin let run.
func (l *Ledger) Finish(now time.Time, sequence uint64, result Result) {
	l.advance(now)
	record := l.records[sequence]
	if record == nil || record.Done {
		return
	}
	l.running--
	record.Done = true
	record.Result = result
	l.bytes += result.size()
	l.window.Set(sequence, stateOf(result.Outcome))
	l.evict(now)
}

// Burn makes sure that an unused ticket never runs, and returns the claim that
// a presenter of it now gets.
func (l *Ledger) Burn(now time.Time, t Ticket, reason admission.Reason) Claim {
	now = l.advance(now)
	if l.sealed {
		return Claim{Kind: ClaimSealed}
	}
	if record := l.records[t.Sequence]; record != nil {
		return l.lookupRecord(record, record.Digest)
	}
	if claim, used := l.lookup(t, Digest{}); used {
		return claim
	}
	if claim, refused := l.refuse(now, t); refused {
		return claim
	}
	l.window.Set(t.Sequence, Burned)
	return done(admission.NotRun, reason)
}

// Result returns the result of a sequence if it is final and kept.
func (l *Ledger) Result(sequence uint64) (Result, bool) {
	record := l.records[sequence]
	if record == nil || !record.Done {
		return Result{}, false
	}
	return record.Result, true
}

// Close lets nothing new run; requests in progress go on, and Seal follows them.
func (l *Ledger) Close() { l.closing = true }

// Running returns the number of requests in progress.
func (l *Ledger) Running() int { return l.running }

// Sweep drops results that are older than their retention.
func (l *Ledger) Sweep(now time.Time) { l.evict(l.advance(now)) }

func (l *Ledger) advance(now time.Time) time.Time {
	if now.After(l.latest) {
		l.latest = now
	}
	return l.latest
}

// lookup returns the claim of a ticket that was presented before.
func (l *Ledger) lookup(t Ticket, digest Digest) (Claim, bool) {
	if record := l.records[t.Sequence]; record != nil {
		return l.lookupRecord(record, digest), true
	}
	state, known := l.window.Get(t.Sequence)
	if !known {
		return done(admission.Unknown, admission.ReasonTicketForgotten), true
	}
	if state == Unused {
		return Claim{}, false
	}
	return Claim{Kind: ClaimDone, Result: state.result()}, true
}

func (l *Ledger) lookupRecord(record *Record, digest Digest) Claim {
	if record.Digest != digest {
		return done(admission.NotRun, admission.ReasonTicketReused)
	}
	if !record.Done {
		return Claim{Kind: ClaimJoin}
	}
	return Claim{Kind: ClaimDone, Result: record.Result}
}

// refuse returns the claim of an unused ticket that may not run.
func (l *Ledger) refuse(now time.Time, t Ticket) (Claim, bool) {
	switch {
	case t.Sequence > l.next || t.Sequence == 0:
		return done(admission.NotRun, admission.ReasonTicketForged), true
	case !l.exclusive:
		return done(admission.Unknown, admission.ReasonTicketVoid), true
	case t.Expired(now):
		l.window.Set(t.Sequence, Burned)
		return done(admission.NotRun, admission.ReasonTicketExpired), true
	case len(l.records) >= l.options.MaxRecords && l.running >= l.options.MaxRecords:
		l.window.Set(t.Sequence, Burned)
		return done(admission.NotRun, admission.ReasonQueueFull), true
	}
	return Claim{}, false
}

func (l *Ledger) insert(now time.Time, sequence uint64, digest Digest) {
	l.records[sequence] = &Record{Sequence: sequence, Digest: digest, Used: now}
	l.order = append(l.order, sequence)
	l.evict(now)
}

// evict drops the oldest finished records that exceed the bounds; their states
// stay in the window. Records in progress keep their place.
func (l *Ledger) evict(now time.Time) {
	var running []uint64
	next := 0
	for ; next < len(l.order) && (l.over() || l.old(now, l.records[l.order[next]])); next++ {
		record := l.records[l.order[next]]
		if !record.Done {
			running = append(running, record.Sequence)
			continue
		}
		l.bytes -= record.Result.size()
		delete(l.records, record.Sequence)
	}
	first := next - len(running)
	copy(l.order[first:], running)
	l.order = l.order[first:]
}

func (l *Ledger) over() bool {
	return len(l.records) > l.options.MaxRecords || l.bytes > l.options.MaxBytes
}

func (l *Ledger) old(now time.Time, record *Record) bool {
	return now.Sub(record.Used) > l.options.Keep
}

func done(outcome admission.Outcome, reason admission.Reason) Claim {
	return Claim{Kind: ClaimDone, Result: Result{Outcome: outcome, Reason: reason}}
}
