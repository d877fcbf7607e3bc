package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/peer"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/ticket"
	"github.com/oatlatch/oatlatch/internal/wait"
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

// relayTries bounds the calls to one host for one request.
const relayTries = 2

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
		return d.unverified(b), false
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
		return d.unverified(b), false
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

// unverified is the outcome of a ticket under a key that this host does not
// hold. The issuer holds every key that it used, but a successor may not.
func (d *Dispatcher) unverified(b *book) ticket.Result {
	if b == d.own {
		return notRun(admission.ReasonTicketForged)
	}
	return unknown(admission.ReasonTicketVoid)
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
	ctx, cancel := context.WithTimeout(ctx, time.Duration(args.LeftMs)*time.Millisecond)
	defer cancel()
	select {
	case <-d.viewed:
	case <-ctx.Done():
		return unknown(admission.ReasonIssuerUnreachable)
	}
	queue := d.holders(t, first)
	unreachable := false
	for hops := 0; hops < maxHops && hops < len(queue); hops++ {
		reply, err := d.ask(ctx, queue[hops], args)
		switch {
		case err != nil:
			unreachable = true
		case reply.MovedTo != "":
			queue = slices.Insert(queue, hops+1, reply.MovedTo)
		case !reply.NotHolder:
			return reply.Result
		}
	}
	if unreachable || !d.verifiable(t) {
		return unknown(reasonOf(ctx, admission.ReasonIssuerUnreachable))
	}
	return unknown(admission.ReasonTicketVoid)
}

// ask calls one host, and once more when the connection failed: a repeat of the
// ticket joins the run that the first call may have begun. A call that was not
// sent because too many are in flight is tried again until ctx ends.
func (d *Dispatcher) ask(ctx context.Context, to host.ID, args RelayArgs) (RelayReply, error) {
	pause := firstLendPause
	for tries := 0; ; {
		reply, err := d.askOnce(ctx, to, args)
		if err == nil {
			return reply, nil
		}
		busy := errors.Is(err, &peer.Error{Kind: peer.Busy})
		if !busy {
			tries++
		}
		if tries == relayTries || ctx.Err() != nil || (busy && wait.For(ctx, pause) != nil) {
			return RelayReply{}, err
		}
		pause = min(2*pause, lastLendPause)
	}
}

// askOnce calls with arguments of its own, which the call may still be encoding
// after it has returned.
func (d *Dispatcher) askOnce(ctx context.Context, to host.ID, args RelayArgs) (RelayReply, error) {
	leave, err := d.gates.enter(ctx, to)
	if err != nil {
		return RelayReply{}, err
	}
	defer leave()
	deadline, _ := ctx.Deadline()
	args.LeftMs = max(1, time.Until(deadline).Milliseconds())
	var reply RelayReply
	err = d.options.Peers.Call(ctx, to, "Request.Relay", &args, &reply)
	if err != nil {
		d.metrics.relays.WithLabelValues("failed").Inc()
		return RelayReply{}, err
	}
	d.metrics.relays.WithLabelValues("answered").Inc()
	return reply, nil
}
