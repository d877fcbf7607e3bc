package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// peerService serves the RPC calls of one peer.
type peerService struct {
	d    *Dispatcher
	from host.ID
}

// PeerService returns the net/rpc receiver for the calls of an authenticated peer. It must
// be registered under the name "Request".
func (d *Dispatcher) PeerService(from host.ID) any { return &peerService{d: d, from: from} }

// Relay runs a request, or burns its ticket, if the ticket's ledger is held here.
func (s *peerService) Relay(args *RelayArgs, reply *RelayReply) error {
	d := s.d
	t, err := d.verifyTicket(args.Ticket)
	var ticketErr *ticket.Error
	if errors.As(err, &ticketErr) && ticketErr.Kind != ticket.UnknownKey {
		reply.Result = notRunResult(admission.ReasonTicketForged)
		return nil
	}
	l := d.ledger(t.Incarnation)
	if l == nil {
		reply.NotHolder = true
		return nil
	}
	timeLeft := min(time.Duration(args.LeftMs)*time.Millisecond, d.limits.MaxDeadline)
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	deadline := d.options.Now().Add(timeLeft)
	var handedOver bool
	if args.BurnReason != "" {
		reply.Result, handedOver = d.burnLocally(ctx, l, args.Ticket, args.BurnReason, deadline)
	} else {
		reply.Result, handedOver = d.verifyAndRun(ctx, l, args.Ticket, args.ticketedRequest(deadline))
	}
	if handedOver {
		reply.MovedTo = l.successorID()
		reply.NotHolder = reply.MovedTo == ""
	}
	return nil
}

func (a *RelayArgs) ticketedRequest(deadline time.Time) ticketedRequest {
	return ticketedRequest{
		service: a.Service, method: a.Method, path: a.Path, host: a.Host,
		header: a.Header, body: a.Body, deadline: deadline,
	}
}

// Accept takes a part of a ledger that the peer hands over.
func (s *peerService) Accept(args *AcceptArgs, reply *AcceptReply) error {
	return s.d.acceptPart(args, reply)
}
