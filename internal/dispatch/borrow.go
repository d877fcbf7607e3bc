package dispatch

import (
	"context"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/wait"
)

const (
	// lendTimeout bounds a call to borrow or return a slot.
	lendTimeout = 250 * time.Millisecond
	// lendersAsked is the number of hosts asked in one round.
	lendersAsked = 2
	// firstLendPause and lastLendPause bound the wait between rounds.
	firstLendPause = 5 * time.Millisecond
	lastLendPause  = 160 * time.Millisecond
	// lendPauseDivisor makes the pause after denials a part of the service time.
	lendPauseDivisor = 4
)

// acquire waits for a slot of this host or of another one that lends it.
func (d *Dispatcher) acquire(ctx context.Context, r *route, deadline time.Time, exclude []string) (grant, admission.Reason) {
	decision, wait := r.lane.submit(deadline, exclude)
	switch decision.Kind {
	case admission.Granted:
		return grant{upstream: decision.Upstream}, ""
	case admission.Queued:
		return d.acquireQueued(ctx, r, deadline, exclude, decision, wait)
	}
	if decision.Reason == admission.ReasonNoUpstream {
		return d.acquireLent(ctx, r, deadline, exclude)
	}
	return grant{}, decision.Reason
}

// acquireQueued waits in the queue and tries to borrow at the same time.
func (d *Dispatcher) acquireQueued(ctx context.Context, r *route, deadline time.Time, exclude []string, queued admission.Decision, wait chan admission.Decision) (grant, admission.Reason) {
	lent, abandon := d.borrowAside(r, deadline, exclude)
	defer abandon()
	timer := time.NewTimer(queued.QueueDeadline.Sub(d.options.Now()))
	defer timer.Stop()
	for {
		decision := admission.Decision{}
		select {
		case decision = <-wait:
		case g := <-lent:
			if r.lane.cancel(queued.ID) {
				return g, ""
			}
			d.returnLoan(g.lender, g.loan, false)
			lent = nil
			continue
		case <-timer.C:
			decision = r.lane.withdraw(queued.ID, wait, admission.ReasonDeadlineInQueue)
		case <-ctx.Done():
			decision = r.lane.withdraw(queued.ID, wait, admission.ReasonCancelled)
		}
		return grant{upstream: decision.Upstream}, decision.Reason
	}
}

// borrowAside tries to borrow beside the queue. A loan that is not taken before
// abandon is called is returned.
func (d *Dispatcher) borrowAside(r *route, deadline time.Time, exclude []string) (<-chan grant, func()) {
	if !r.lane.mayBorrow() {
		return nil, func() {}
	}
	lent, abandoned := make(chan grant), make(chan struct{})
	d.background.Go(func() {
		g, ok := d.borrowRound(r, deadline, exclude)
		r.lane.borrowed(ok)
		if !ok {
			return
		}
		select {
		case lent <- g:
		case <-abandoned:
			d.returnLoan(g.lender, g.loan, false)
		}
	})
	return lent, func() { close(abandoned) }
}

// acquireLent borrows for a service of which this host has no usable slot.
func (d *Dispatcher) acquireLent(ctx context.Context, r *route, deadline time.Time, exclude []string) (grant, admission.Reason) {
	if len(r.lane.lenderList()) == 0 {
		return grant{}, admission.ReasonNoUpstream
	}
	if !r.lane.enterBorrowers(d.limits.QueueLimit) {
		return grant{}, admission.ReasonQueueFull
	}
	defer r.lane.leaveBorrowers()
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(d.options.Now())-r.lane.estimate())
	defer cancel()
	for pause := firstLendPause; ; pause = min(2*pause, lastLendPause) {
		if g, ok := d.borrowRound(r, deadline, exclude); ok {
			return g, ""
		}
		if wait.For(ctx, pause) != nil {
			return grant{}, waitEnded(ctx)
		}
	}
}

// waitEnded tells the end of the time from the caller's cancellation.
func waitEnded(ctx context.Context) admission.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return admission.ReasonDeadlineInQueue
	}
	return admission.ReasonCancelled
}

// borrowRound asks a few lenders in turn.
func (d *Dispatcher) borrowRound(r *route, deadline time.Time, exclude []string) (grant, bool) {
	for _, lender := range r.lane.chooseLenders(lendersAsked) {
		if g, ok := d.borrowFrom(r, lender, deadline, exclude); ok {
			return g, true
		}
	}
	return grant{}, false
}

func (d *Dispatcher) borrowFrom(r *route, lender host.ID, deadline time.Time, exclude []string) (grant, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), lendTimeout)
	defer cancel()
	args := LendArgs{
		Service: r.service.ID, Loan: d.nextID.Add(1), Exclude: exclude,
		LeaseMs: deadline.Sub(d.options.Now()).Milliseconds(),
	}
	var reply LendReply
	err := d.options.Peers.Call(ctx, lender, "Request.Lend", &args, &reply)
	if err != nil {
		d.metrics.loans.WithLabelValues("failed").Inc()
		d.returnLoan(lender, args.Loan, false)
		return grant{}, false
	}
	if reply.Upstream == "" {
		d.metrics.loans.WithLabelValues("denied").Inc()
		return grant{}, false
	}
	d.metrics.loans.WithLabelValues("granted").Inc()
	g := grant{upstream: reply.Upstream, lender: lender, loan: args.Loan}
	if _, known := r.addresses[g.upstream]; !known {
		d.returnLoan(lender, args.Loan, false)
		return grant{}, false
	}
	return g, true
}

// returnLoan ends a loan without keeping the request waiting; a lost return is
// covered by the end of the lease.
func (d *Dispatcher) returnLoan(lender host.ID, loan uint64, refused bool) {
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendTimeout)
		defer cancel()
		args := ReturnArgs{Loan: loan, Refused: refused}
		_ = d.options.Peers.Call(ctx, lender, "Request.Return", &args, &ReturnReply{})
	})
}
