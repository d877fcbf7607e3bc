package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// peerService answers the calls of one peer.
type peerService struct {
	d    *Dispatcher
	from host.ID
}

// PeerService returns the net/rpc receiver, to be registered as "Request", for
// the calls of an authenticated peer.
func (d *Dispatcher) PeerService(from host.ID) any { return &peerService{d: d, from: from} }

// Relay runs a request whose ticket's ledger is held here, or burns its ticket.
func (s *peerService) Relay(args *RelayArgs, reply *RelayReply) error {
	d := s.d
	t, err := d.verify(args.Ticket)
	var refusal *ticket.Error
	if errors.As(err, &refusal) && refusal.Kind != ticket.UnknownKey {
		reply.Result = notRun(admission.ReasonTicketForged)
		return nil
	}
	b := d.book(t.Incarnation)
	if b == nil {
		reply.NotHolder = true
		return nil
	}
	left := min(time.Duration(args.LeftMs)*time.Millisecond, d.limits.MaxDeadline)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	deadline := d.options.Now().Add(left)
	var moved bool
	if args.BurnReason != "" {
		reply.Result, moved = d.burnHere(ctx, b, args.Ticket, args.BurnReason, deadline)
	} else {
		reply.Result, moved = d.claimVerified(ctx, b, args.Ticket, args.job(deadline))
	}
	if moved {
		reply.MovedTo = b.movedTo()
		reply.NotHolder = reply.MovedTo == ""
	}
	return nil
}

func (a *RelayArgs) job(deadline time.Time) job {
	return job{
		service: a.Service, method: a.Method, path: a.Path, host: a.Host,
		header: a.Header, body: a.Body, deadline: deadline,
	}
}

// Accept takes over a part of a ledger; the last part puts it into use.
func (s *peerService) Accept(args *AcceptArgs, reply *AcceptReply) error {
	return s.d.accept(args, reply)
}
