package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// AcceptArgs carries one part of a sealed ledger.
type AcceptArgs struct {
	// Part counts from zero.
	Part int
	Last bool
	// Transfer holds the window but no records in part zero, and records but no window
	// in the later parts.
	Transfer ticket.Transfer
}

// AcceptReply is the reply to one part.
type AcceptReply struct {
	// Refused is set if the host did not take the part. It then keeps nothing of the
	// ledger.
	Refused bool
}

// maxLedgers bounds the ledgers that a host holds and, separately, those that it is
// receiving.
const maxLedgers = 32

// transferTimeout is the time after which an incomplete transfer is dropped.
const transferTimeout = time.Minute

// maxHandoverAttempts bounds the attempts to send a ledger to one successor.
const maxHandoverAttempts = 3

// errTransferRefused reports that the host holds nothing of the ledger, so that another
// one may still get the right to run its unused tickets.
var errTransferRefused = errors.New("dispatch: the peer refused the ledger: it is draining or holds too many ledgers")

// maxPartBytes bounds the size of the records in one part of a transfer, unless a single
// record is larger.
const maxPartBytes = 256 << 10

// DrainSummary lists the ledgers that a drain handed over.
type DrainSummary struct {
	Ledgers []LedgerSummary
}

// LedgerSummary describes one ledger of a drain. Successor is empty if there was no
// other host.
type LedgerSummary struct {
	Incarnation host.Incarnation
	Successor   host.ID
	Records     int
}

// String formats the summary for a log field.
func (s DrainSummary) String() string {
	text := fmt.Sprintf("ledgers=%d", len(s.Ledgers))
	for _, l := range s.Ledgers {
		text += fmt.Sprintf(" %x:%d->%s", uint64(l.Incarnation), l.Records, l.Successor)
	}
	return text
}

// Drain starts no more requests under the tickets of the ledgers held here, waits for the
// non-idempotent requests in progress and hands each ledger over to a successor. If that
// fails for a ledger, it goes on with the others and returns all errors. Further calls
// return the result of the first. The HTTP server must keep serving until Drain has
// returned, and may be shut down gracefully after that.
func (d *Dispatcher) Drain(ctx context.Context) (DrainSummary, error) {
	d.drainOnce.Do(func() { d.drainSummary, d.drainErr = d.drain(ctx) })
	return d.drainSummary, d.drainErr
}

// drain is Drain for its first call.
func (d *Dispatcher) drain(ctx context.Context) (DrainSummary, error) {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	var summary DrainSummary
	var failures []error
	for _, l := range d.allLedgers() {
		ledgerSummary, err := d.handOver(ctx, l)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		summary.Ledgers = append(summary.Ledgers, ledgerSummary)
	}
	return summary, errors.Join(failures...)
}

func (d *Dispatcher) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// handOver waits for the ledger's runs in progress and sends the ledger to the first
// candidate that takes it. After a failure other than a refusal, the candidate may
// nevertheless hold the ledger; further candidates then get it without the right to run
// unused tickets.
func (d *Dispatcher) handOver(ctx context.Context, l *lockedLedger) (LedgerSummary, error) {
	select {
	case <-l.close():
	case <-ctx.Done():
		return LedgerSummary{}, fmt.Errorf("dispatch: requests are still running: allow more time for the drain: %w", ctx.Err())
	}
	transfer := l.seal()
	summary := LedgerSummary{Incarnation: transfer.Incarnation, Records: len(transfer.Records)}
	var err error
	for _, successor := range d.successorCandidates(transfer.Incarnation) {
		if err = d.sendWithRetries(ctx, successor, transfer); err == nil {
			summary.Successor = successor
			l.markHandedOver(successor)
			return summary, nil
		}
		if !errors.Is(err, errTransferRefused) {
			transfer.Exclusive = false
		}
	}
	l.markHandedOver("")
	if err != nil {
		return summary, fmt.Errorf("dispatch: no successor accepted the ledger, so its tickets are void: check the peers: %w", err)
	}
	return summary, nil
}

// sendWithRetries sends the transfer to a successor, and again if a call failed. A
// successor that has the whole ledger already accepts the parts without a change.
func (d *Dispatcher) sendWithRetries(ctx context.Context, to host.ID, transfer ticket.Transfer) error {
	var err error
	for range maxHandoverAttempts {
		err = d.sendTransfer(ctx, to, transfer)
		if err == nil || errors.Is(err, errTransferRefused) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// sendTransfer sends the transfer to a successor in parts: first the window, which may
// fill a message of its own, and then the records.
func (d *Dispatcher) sendTransfer(ctx context.Context, to host.ID, transfer ticket.Transfer) error {
	remaining := transfer.Records
	transfer.Records = nil
	for part := 0; ; part++ {
		args := AcceptArgs{Part: part, Last: len(remaining) == 0, Transfer: transfer}
		var reply AcceptReply
		if err := d.options.Peers.Call(ctx, to, "Request.Accept", &args, &reply); err != nil {
			return err
		}
		if reply.Refused {
			return errTransferRefused
		}
		if args.Last {
			return nil
		}
		transfer.Window = ticket.Window{}
		transfer.Records, remaining = splitRecords(remaining)
	}
}

// splitRecords splits off as many records as fit into one part, at least one.
func splitRecords(records []ticket.Record) (part, remaining []ticket.Record) {
	size := 0
	for i, r := range records {
		size += r.Size()
		if size > maxPartBytes && i > 0 {
			return records[:i], records[i:]
		}
	}
	return records, nil
}

// acceptPart takes a part of a ledger, and puts the ledger into use after the last part.
// Parts of a ledger that is already held here change nothing.
func (d *Dispatcher) acceptPart(args *AcceptArgs, reply *AcceptReply) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := args.Transfer.Incarnation
	if d.ledgers[id] != nil {
		return nil
	}
	if d.draining || len(d.ledgers) >= maxLedgers || len(d.incomingTransfers) >= maxLedgers {
		delete(d.incomingTransfers, id)
		reply.Refused = true
		return nil
	}
	if args.Part == 0 {
		first := args.Transfer
		d.incomingTransfers[id] = &first
		d.transferStarted[id] = d.options.Now()
	} else if err := d.appendPart(id, args); err != nil {
		return err
	}
	if args.Last {
		l := newLockedLedger(ticket.NewLedgerFromTransfer(d.ledgerOptions(), *d.incomingTransfers[id]))
		l.expiresAt = d.options.Now().Add(d.limits.TicketLifetime + d.limits.ResultRetention)
		d.ledgers[id] = l
		d.options.Logger.Info().Str("issuer", string(args.Transfer.Issuer)).
			Str("incarnation", fmt.Sprintf("%x", uint64(id))).Msg("ticket_ledger_taken_over")
		delete(d.incomingTransfers, id)
		delete(d.transferStarted, id)
	}
	return nil
}

// expireLedgers drops ledgers whose tickets and results have all expired, and transfers
// that were not completed in time.
func (d *Dispatcher) expireLedgers(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, l := range d.ledgers {
		if !l.expiresAt.IsZero() && now.After(l.expiresAt) {
			delete(d.ledgers, id)
		}
	}
	for id, started := range d.transferStarted {
		if now.Sub(started) > transferTimeout {
			delete(d.incomingTransfers, id)
			delete(d.transferStarted, id)
		}
	}
}

// appendPart adds the records of a later part to the transfer in progress. The caller
// holds mu.
func (d *Dispatcher) appendPart(id host.Incarnation, args *AcceptArgs) error {
	incoming := d.incomingTransfers[id]
	if incoming == nil {
		return fmt.Errorf("dispatch: part %d of the ledger arrived without part 0: send the ledger again", args.Part)
	}
	incoming.Records = append(incoming.Records, args.Transfer.Records...)
	return nil
}
