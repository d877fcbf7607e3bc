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
	// BurnReason, if set, asks to burn the ticket instead of running the request.
	BurnReason admission.Reason
}

// RelayReply holds the result, or reports that the ledger is not held by the host.
type RelayReply struct {
	// NotHolder is set when the host does not hold the ledger.
	NotHolder bool
	// MovedTo names the successor if the ledger was handed over.
	MovedTo host.ID
	Result  ticket.Result
}

// maxRelayHops bounds the hosts that are asked about one ticket: its issuer and the
// candidates for successor, each of which may name a further one.
const maxRelayHops = 6

// maxRelayAttempts bounds the calls to one host for one request. Calls that were not sent
// because too many were in flight are not counted.
const maxRelayAttempts = 2

// runAtHolder runs the request at the host that holds the ticket's ledger, this one or a
// peer, and returns the result. encoded is the ticket as it was received, and t the
// decoded one, whose MAC is not verified if its key is not known here.
func (d *Dispatcher) runAtHolder(ctx context.Context, encoded string, t ticket.Ticket, req ticketedRequest) ticket.Result {
	if l := d.ledger(t.Incarnation); l != nil {
		result, handedOver := d.verifyAndRun(ctx, l, encoded, req)
		if !handedOver {
			return result
		}
		return d.relayToHolders(ctx, t, d.newRelayArgs(encoded, req), l.successorID())
	}
	return d.relayToHolders(ctx, t, d.newRelayArgs(encoded, req), "")
}

// verifyAndRun verifies the MAC of a ticket of a ledger held here, and then claims the
// ticket and runs the request as claimAndRun does.
func (d *Dispatcher) verifyAndRun(ctx context.Context, l *lockedLedger, encoded string, req ticketedRequest) (ticket.Result, bool) {
	t, err := d.verifyTicket(encoded)
	if err != nil {
		return d.unverifiedResult(l), false
	}
	return d.claimAndRun(ctx, l, t, req)
}

// burnAtHolder burns the ticket of a request that this host refuses, at the host that
// holds its ledger. Without that, a delayed repeat of the request might still run. The
// result is not-run only if the request has never run and never will.
func (d *Dispatcher) burnAtHolder(ctx context.Context, encoded string, t ticket.Ticket, reason admission.Reason) ticket.Result {
	deadline := d.options.Now().Add(d.limits.RelayTimeout)
	args := RelayArgs{Ticket: encoded, LeftMs: d.limits.RelayTimeout.Milliseconds(), BurnReason: reason}
	l := d.ledger(t.Incarnation)
	if l == nil {
		return d.relayToHolders(ctx, t, args, "")
	}
	result, handedOver := d.burnLocally(ctx, l, encoded, reason, deadline)
	if !handedOver {
		return result
	}
	return d.relayToHolders(ctx, t, args, l.successorID())
}

// burnLocally burns a ticket of a ledger held here. Its second result reports that the
// ledger was handed over instead, as for claimAndRun.
func (d *Dispatcher) burnLocally(ctx context.Context, l *lockedLedger, encoded string, reason admission.Reason, deadline time.Time) (ticket.Result, bool) {
	t, err := d.verifyTicket(encoded)
	if err != nil {
		return d.unverifiedResult(l), false
	}
	claim := l.burn(d.options.Now(), t, reason)
	switch claim.Kind {
	case ticket.ClaimDone:
		return claim.Result, false
	case ticket.ClaimSealed:
		return d.awaitHandover(ctx, l, ticketedRequest{deadline: deadline})
	default:
		return unknownResult(admission.ReasonInProgress), false
	}
}

// unverifiedResult returns the result for a ticket of a ledger held here whose key is
// not known here. An issuer holds every key that it has used, so that the ticket is
// forged if this host is its issuer. A successor may not hold the key.
func (d *Dispatcher) unverifiedResult(l *lockedLedger) ticket.Result {
	if l == d.ownLedger {
		return notRunResult(admission.ReasonTicketForged)
	}
	return unknownResult(admission.ReasonTicketVoid)
}

func (d *Dispatcher) newRelayArgs(encoded string, req ticketedRequest) RelayArgs {
	return RelayArgs{
		Ticket: encoded, Service: req.service, Method: req.method, Path: req.path, Host: req.host,
		Header: req.header, Body: req.body, LeftMs: req.deadline.Sub(d.options.Now()).Milliseconds(),
	}
}

// relayToHolders relays the request to the hosts that may hold the ledger, one after the
// other, until one of them returns a result. This cannot run the request twice, because
// at most one host has the right to run unused tickets of a ledger.
func (d *Dispatcher) relayToHolders(ctx context.Context, t ticket.Ticket, args RelayArgs, knownSuccessor host.ID) ticket.Result {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(args.LeftMs)*time.Millisecond)
	defer cancel()
	select {
	case <-d.membershipKnown:
	case <-ctx.Done():
		return unknownResult(admission.ReasonIssuerUnreachable)
	}
	candidates := d.ledgerHolders(t, knownSuccessor)
	unreachable := false
	for hops := 0; hops < maxRelayHops && hops < len(candidates); hops++ {
		reply, err := d.callHolder(ctx, candidates[hops], args)
		switch {
		case err != nil:
			unreachable = true
		case reply.MovedTo != "":
			candidates = slices.Insert(candidates, hops+1, reply.MovedTo)
		case !reply.NotHolder:
			return reply.Result
		}
	}
	if unreachable || !d.hasKeyFor(t) {
		return unknownResult(deadlineReasonOr(ctx, admission.ReasonIssuerUnreachable))
	}
	return unknownResult(admission.ReasonTicketVoid)
}

// callHolder relays the request to one host, and once more if the call failed: the
// second call then joins the run that the first call may have started. A call that was not
// sent because too many are in flight is repeated until ctx ends.
func (d *Dispatcher) callHolder(ctx context.Context, to host.ID, args RelayArgs) (RelayReply, error) {
	pause := minRetryPause
	for attempts := 0; ; {
		reply, err := d.callHolderOnce(ctx, to, args)
		if err == nil {
			return reply, nil
		}
		busy := errors.Is(err, &peer.Error{Kind: peer.Busy})
		if !busy {
			attempts++
		}
		if attempts == maxRelayAttempts || ctx.Err() != nil || (busy && wait.Sleep(ctx, pause) != nil) {
			return RelayReply{}, err
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// callHolderOnce makes a single call. It takes the arguments by value, because a call
// that has returned early may still be encoding them.
func (d *Dispatcher) callHolderOnce(ctx context.Context, to host.ID, args RelayArgs) (RelayReply, error) {
	release, err := d.relayLimiter.acquire(ctx, to)
	if err != nil {
		return RelayReply{}, err
	}
	defer release()
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
