package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// AcceptArgs is one part of a sealed ledger.
type AcceptArgs struct {
	// Part counts from zero.
	Part int
	Last bool
	// Transfer holds the ledger without records in part zero, and only records later.
	Transfer ticket.Transfer
}

// AcceptReply answers one part.
type AcceptReply struct {
	// Refused is set when the host did not take the part and holds nothing of it.
	Refused bool
}

// maxLedgers bounds the ledgers that a host holds at once.
const maxLedgers = 32

// incomingTimeout is how long the parts of a transfer may take.
const incomingTimeout = time.Minute

// handoverTries bounds the tries to hand a ledger to one successor.
const handoverTries = 3

// errRefused says that a host did not take a ledger.
var errRefused = errors.New("dispatch: the host refused the ledger because it is draining or holds too many")

// maxPartBytes bounds the answers in one part of a handover.
const maxPartBytes = 256 << 10

// Summary says what a drain handed to whom.
type Summary struct {
	Ledgers []LedgerSummary
}

// LedgerSummary is one ledger of a drain.
type LedgerSummary struct {
	Incarnation host.Incarnation
	Successor   host.ID
	Records     int
}

// String returns the summary for a log line.
func (s Summary) String() string {
	text := fmt.Sprintf("ledgers=%d", len(s.Ledgers))
	for _, l := range s.Ledgers {
		text += fmt.Sprintf(" %x:%d->%s", uint64(l.Incarnation), l.Records, l.Successor)
	}
	return text
}

// Drain lets nothing new run under the tickets held here, waits for the
// non-idempotent requests in progress and hands each ledger to a successor. The
// HTTP server must go on until Drain returns, and is shut down gracefully then.
func (d *Dispatcher) Drain(ctx context.Context) (Summary, error) {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	var summary Summary
	for _, b := range d.allBooks() {
		ledger, err := d.handOver(ctx, b)
		if err != nil {
			return summary, err
		}
		summary.Ledgers = append(summary.Ledgers, ledger)
	}
	return summary, nil
}

func (d *Dispatcher) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *Dispatcher) handOver(ctx context.Context, b *book) (LedgerSummary, error) {
	select {
	case <-b.close():
	case <-ctx.Done():
		return LedgerSummary{}, fmt.Errorf("dispatch: requests still run: allow more time for the drain: %w", ctx.Err())
	}
	transfer := b.seal()
	ledger := LedgerSummary{Incarnation: transfer.Incarnation, Records: len(transfer.Records)}
	var err error
	for _, successor := range d.successors(transfer.Incarnation) {
		if err = d.trySend(ctx, successor, transfer); err == nil {
			ledger.Successor = successor
			b.move(successor)
			return ledger, nil
		}
		if !errors.Is(err, errRefused) {
			transfer.Exclusive = false
		}
	}
	b.move("")
	if err != nil {
		return ledger, fmt.Errorf("dispatch: no successor took the ledger, its tickets are void: check the peers: %w", err)
	}
	return ledger, nil
}

// trySend hands the transfer to a successor, again if an answer was lost: a
// successor that has the ledger already says so by taking it once more.
func (d *Dispatcher) trySend(ctx context.Context, to host.ID, transfer ticket.Transfer) error {
	var err error
	for range handoverTries {
		err = d.send(ctx, to, transfer)
		if err == nil || errors.Is(err, errRefused) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// send hands the transfer to a successor in parts: first the window, which may
// fill a message, and then the records.
func (d *Dispatcher) send(ctx context.Context, to host.ID, transfer ticket.Transfer) error {
	rest := transfer.Records
	transfer.Records = nil
	for part := 0; ; part++ {
		args := AcceptArgs{Part: part, Last: len(rest) == 0, Transfer: transfer}
		var reply AcceptReply
		if err := d.options.Peers.Call(ctx, to, "Request.Accept", &args, &reply); err != nil {
			return err
		}
		if reply.Refused {
			return errRefused
		}
		if args.Last {
			return nil
		}
		transfer.Window = ticket.Window{}
		transfer.Records, rest = splitRecords(rest)
	}
}

func splitRecords(records []ticket.Record) (part, rest []ticket.Record) {
	size := 0
	for i, r := range records {
		size += r.Size()
		if size > maxPartBytes && i > 0 {
			return records[:i], records[i:]
		}
	}
	return records, nil
}

// accept takes over a part of a ledger. Repeated parts change nothing.
func (d *Dispatcher) accept(args *AcceptArgs, reply *AcceptReply) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := args.Transfer.Incarnation
	if d.books[id] != nil {
		return nil
	}
	if d.draining || len(d.books) >= maxLedgers || len(d.incoming) >= maxLedgers {
		delete(d.incoming, id)
		reply.Refused = true
		return nil
	}
	if args.Part == 0 {
		first := args.Transfer
		d.incoming[id] = &first
		d.begun[id] = d.options.Now()
	} else if err := d.appendPart(id, args); err != nil {
		return err
	}
	if args.Last {
		b := newBook(ticket.Adopt(d.ledgerBounds(), *d.incoming[id]))
		b.until = d.options.Now().Add(d.limits.TicketLife + d.limits.KeepResults)
		d.books[id] = b
		d.options.Logger.Info().Str("issuer", string(args.Transfer.Issuer)).
			Str("incarnation", fmt.Sprintf("%x", uint64(id))).Msg("ticket_ledger_taken_over")
		delete(d.incoming, id)
		delete(d.begun, id)
	}
	return nil
}

// dropLedgers forgets ledgers whose tickets and results have all expired, and
// transfers that were begun but not completed.
func (d *Dispatcher) dropLedgers(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, b := range d.books {
		if !b.until.IsZero() && now.After(b.until) {
			delete(d.books, id)
		}
	}
	for id, begun := range d.begun {
		if now.Sub(begun) > incomingTimeout {
			delete(d.incoming, id)
			delete(d.begun, id)
		}
	}
}

func (d *Dispatcher) appendPart(id host.Incarnation, args *AcceptArgs) error {
	incoming := d.incoming[id]
	if incoming == nil {
		return fmt.Errorf("dispatch: part %d came before part 0: send the ledger again", args.Part)
	}
	incoming.Records = append(incoming.Records, args.Transfer.Records...)
	return nil
}
