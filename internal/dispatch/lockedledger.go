package dispatch

import (
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// lockedLedger guards a ledger with a mutex. Repeats of a request can wait for the run
// in progress, and requests that arrive during a handover for its end.
type lockedLedger struct {
	mu     sync.Mutex
	ledger *ticket.Ledger
	// inProgress holds a channel for each run, by the sequence of its ticket. The
	// channel is closed when the run ends.
	inProgress map[uint64]chan struct{}
	closing    bool
	// idle is closed when the ledger is closing and no run is in progress.
	idle chan struct{}
	// handedOver is closed when the handover has ended. successor is empty if no host
	// took the ledger.
	handedOver chan struct{}
	successor  host.ID
	// expiresAt is when all tickets and results of a ledger taken over from another
	// host have expired. It is zero for the host's own ledger.
	expiresAt time.Time
}

func newLockedLedger(ledger *ticket.Ledger) *lockedLedger {
	return &lockedLedger{
		ledger:     ledger,
		inProgress: make(map[uint64]chan struct{}),
		idle:       make(chan struct{}),
		handedOver: make(chan struct{}),
	}
}

func (l *lockedLedger) issue(now time.Time, id service.ID) ticket.Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Issue(now, id)
}

// begin claims a ticket for a request. If a run under the ticket begins or is already in
// progress, it also returns a channel that is closed when the run ends.
func (l *lockedLedger) begin(now time.Time, t ticket.Ticket, id service.ID, digest ticket.Digest) (ticket.Claim, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	claim := l.ledger.Begin(now, t, id, digest)
	if claim.Kind == ticket.ClaimRun {
		l.inProgress[t.Sequence] = make(chan struct{})
	}
	return claim, l.inProgress[t.Sequence]
}

// burn makes sure that the request of a ticket never runs, unless it has already begun.
func (l *lockedLedger) burn(now time.Time, t ticket.Ticket, reason admission.Reason) ticket.Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Burn(now, t, reason)
}

// finish records the result of a run and wakes the repeats that wait for it.
func (l *lockedLedger) finish(now time.Time, sequence uint64, result ticket.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Finish(now, sequence, result)
	close(l.inProgress[sequence])
	delete(l.inProgress, sequence)
	l.signalIdle()
}

func (l *lockedLedger) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Sweep(now)
}

// close stops new runs and returns a channel that is closed when the runs in progress
// have ended.
func (l *lockedLedger) close() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closing {
		l.closing = true
		l.ledger.Close()
		l.signalIdle()
	}
	return l.idle
}

// signalIdle closes idle if no more run can begin. The caller holds mu.
func (l *lockedLedger) signalIdle() {
	if l.closing && len(l.inProgress) == 0 {
		close(l.idle)
	}
}

// seal ends the use of the ledger here and returns its contents for a successor.
func (l *lockedLedger) seal() ticket.Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Seal()
}

// markHandedOver ends the handover. The successor is empty if no host took the
// ledger. It must be called only once.
func (l *lockedLedger) markHandedOver(successor host.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.successor = successor
	close(l.handedOver)
}

// successorID returns the host that took the ledger, or an empty ID.
func (l *lockedLedger) successorID() host.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
}
