package dispatch

import (
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// book guards one ledger and lets repeats wait for the run in progress.
type book struct {
	mu        sync.Mutex
	ledger    *ticket.Ledger
	runs      map[uint64]chan struct{}
	closing   bool
	idle      chan struct{}
	moved     chan struct{}
	successor host.ID
	// until is when a ledger that was taken over has no more use; zero for the own one.
	until time.Time
}

func newBook(ledger *ticket.Ledger) *book {
	return &book{
		ledger: ledger,
		runs:   make(map[uint64]chan struct{}),
		idle:   make(chan struct{}),
		moved:  make(chan struct{}),
	}
}

func (b *book) issue(now time.Time, id service.ID) ticket.Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Issue(now, id)
}

// begin presents a ticket. A join comes with a channel that is closed when the
// run ends.
func (b *book) begin(now time.Time, t ticket.Ticket, id service.ID, digest ticket.Digest) (ticket.Claim, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	claim := b.ledger.Begin(now, t, id, digest)
	if claim.Kind == ticket.ClaimRun {
		b.runs[t.Sequence] = make(chan struct{})
	}
	return claim, b.runs[t.Sequence]
}

func (b *book) burn(now time.Time, t ticket.Ticket, reason admission.Reason) ticket.Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Burn(now, t, reason)
}

func (b *book) finish(now time.Time, sequence uint64, result ticket.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Finish(now, sequence, result)
	close(b.runs[sequence])
	delete(b.runs, sequence)
	b.signalIdle()
}

func (b *book) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Sweep(now)
}

// close lets nothing new run and returns a channel that is closed when nothing runs.
func (b *book) close() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closing {
		b.closing = true
		b.ledger.Close()
		b.signalIdle()
	}
	return b.idle
}

func (b *book) signalIdle() {
	if b.closing && len(b.runs) == 0 {
		close(b.idle)
	}
}

func (b *book) seal() ticket.Transfer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Seal()
}

// move names the successor, or none, to those that wait for it.
func (b *book) move(successor host.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.successor = successor
	close(b.moved)
}

func (b *book) movedTo() host.ID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.successor
}
