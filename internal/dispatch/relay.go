package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// RelayArgs carries a request to the host that holds its ticket's ledger.
type RelayArgs struct {
	Ticket  string
	Service service.ID
	Method  string
	Path    string
	Host    string
	Header  http.Header
	Body    []byte
	// LeftMs is the time until the deadline in milliseconds.
	LeftMs int64
	// BurnReason, when set, asks to burn the ticket instead of running the request.
	BurnReason admission.Reason
}

// RelayReply is the answer of the host that was asked.
type RelayReply struct {
	// NotHolder is set when the host does not hold the ledger.
	NotHolder bool
	// MovedTo names the successor, when the ledger was handed over.
	MovedTo host.ID
	Result  ticket.Result
}

// maxHops bounds the hosts asked for one ticket: its issuer and candidates for
// successor, each of which may name a further one.
const maxHops = 6

// resolve finds the holder of the ticket's ledger, here or at a peer, and
// returns what became of the request.
func (d *Dispatcher) resolve(ctx context.Context, raw string, t ticket.Ticket, j job) ticket.Result {
	if b := d.book(t.Incarnation); b != nil {
		result, moved := d.claimVerified(ctx, b, raw, j)
		if !moved {
			return result
		}
		return d.relay(ctx, t, d.relayArgs(raw, j), b.movedTo())
	}
	return d.relay(ctx, t, d.relayArgs(raw, j), "")
}

// claimVerified claims a ticket whose MAC the holder of the ledger must know.
func (d *Dispatcher) claimVerified(ctx context.Context, b *book, raw string, j job) (ticket.Result, bool) {
	t, err := d.verify(raw)
	if err != nil {
		return notRun(admission.ReasonTicketForged), false
	}
	return d.claim(ctx, b, t, j)
}

// burn makes sure that a refused request's ticket does not run later, and
// returns the outcome that may truthfully be told.
func (d *Dispatcher) burn(ctx context.Context, raw string, t ticket.Ticket, reason admission.Reason) ticket.Result {
	deadline := d.options.Now().Add(d.limits.RelayTimeout)
	args := RelayArgs{Ticket: raw, LeftMs: d.limits.RelayTimeout.Milliseconds(), BurnReason: reason}
	b := d.book(t.Incarnation)
	if b == nil {
		return d.relay(ctx, t, args, "")
	}
	result, moved := d.burnHere(ctx, b, raw, reason, deadline)
	if !moved {
		return result
	}
	return d.relay(ctx, t, args, b.movedTo())
}

func (d *Dispatcher) burnHere(ctx context.Context, b *book, raw string, reason admission.Reason, deadline time.Time) (ticket.Result, bool) {
	t, err := d.verify(raw)
	if err != nil {
		return notRun(admission.ReasonTicketForged), false
	}
	claim := b.burn(d.options.Now(), t, reason)
	switch claim.Kind {
	case ticket.ClaimDone:
		return claim.Result, false
	case ticket.ClaimSealed:
		return d.awaitMove(ctx, b, job{deadline: deadline})
	default:
		return unknown(admission.ReasonInProgress), false
	}
}

func (d *Dispatcher) relayArgs(raw string, j job) RelayArgs {
	return RelayArgs{
		Ticket: raw, Service: j.service, Method: j.method, Path: j.path, Host: j.host,
		Header: j.header, Body: j.body, LeftMs: j.deadline.Sub(d.options.Now()).Milliseconds(),
	}
}

// relay asks the hosts that may hold the ledger, one after the other. That is
// safe, because only one of them can have the right to run the ticket.
func (d *Dispatcher) relay(ctx context.Context, t ticket.Ticket, args RelayArgs, first host.ID) ticket.Result {
	left := time.Duration(args.LeftMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	queue := d.holders(t, first)
	unreachable := false
	for hops := 0; hops < maxHops && hops < len(queue); hops++ {
		var reply RelayReply
		err := d.options.Peers.Call(ctx, queue[hops], "Request.Relay", &args, &reply)
		switch {
		case err != nil:
			unreachable = true
			d.metrics.relays.WithLabelValues("failed").Inc()
		case reply.MovedTo != "":
			queue = append(queue[:hops+1], append([]host.ID{reply.MovedTo}, queue[hops+1:]...)...)
		case !reply.NotHolder:
			d.metrics.relays.WithLabelValues("answered").Inc()
			return reply.Result
		}
	}
	if unreachable {
		return unknown(reasonOf(ctx, admission.ReasonIssuerUnreachable))
	}
	return unknown(admission.ReasonTicketVoid)
}
