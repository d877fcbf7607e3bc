package dispatch

import (
	"context"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/wait"
)

const (
	// loanCallTimeout bounds a call that borrows or returns a slot.
	loanCallTimeout = 250 * time.Millisecond
	// lendersPerRound is the number of hosts that are asked for a loan in one round.
	lendersPerRound = 2
	// minRetryPause and maxRetryPause bound the pause between two rounds. They also bound the
	// pause before a relay is tried again that was not sent because too many calls were in
	// flight.
	minRetryPause = 5 * time.Millisecond
	maxRetryPause = 160 * time.Millisecond
	// After a round without a loan, queued requests start no other round for the mean
	// service time divided by borrowPauseDivisor.
	borrowPauseDivisor = 4
)

// acquireSlot waits for a slot of this host, or for one borrowed from another host, at
// an upstream that is not excluded. It returns an empty reason if it got one.
func (d *Dispatcher) acquireSlot(ctx context.Context, r *route, deadline time.Time, exclude []string) (grant, admission.Reason) {
	decision, decided := r.allocator.submit(deadline, exclude)
	switch decision.Kind {
	case admission.Granted:
		return grant{upstream: decision.Upstream}, ""
	case admission.Queued:
		return d.acquireQueued(ctx, r, deadline, exclude, decision, decided)
	}
	if decision.Reason == admission.ReasonNoUpstream {
		return d.acquireBorrowed(ctx, r, deadline, exclude)
	}
	return grant{}, decision.Reason
}

// acquireQueued waits for the decision on a queued request and tries to borrow a slot
// at the same time.
func (d *Dispatcher) acquireQueued(ctx context.Context, r *route, deadline time.Time, exclude []string, queued admission.Decision, decided chan admission.Decision) (grant, admission.Reason) {
	borrowed, abandon := d.borrowConcurrently(r, deadline, exclude)
	defer abandon()
	timer := time.NewTimer(queued.QueueDeadline.Sub(d.options.Now()))
	defer timer.Stop()
	for {
		decision := admission.Decision{}
		select {
		case decision = <-decided:
		case g := <-borrowed:
			if r.allocator.cancel(queued.ID) {
				return g, ""
			}
			d.returnLoan(g.lender, g.loanID, false)
			borrowed = nil
			continue
		case <-timer.C:
			decision = r.allocator.cancelOrReceive(queued.ID, decided, admission.ReasonDeadlineInQueue)
		case <-ctx.Done():
			decision = r.allocator.cancelOrReceive(queued.ID, decided, admission.ReasonCancelled)
		}
		return grant{upstream: decision.Upstream}, decision.Reason
	}
}

// borrowConcurrently tries to borrow a slot in the background. The caller must call the
// returned function when it stops receiving; a slot that it has not received by then
// is returned to the lender.
func (d *Dispatcher) borrowConcurrently(r *route, deadline time.Time, exclude []string) (<-chan grant, func()) {
	if !r.allocator.startBorrowing() {
		return nil, func() {}
	}
	borrowed, abandoned := make(chan grant), make(chan struct{})
	d.tasks.Go(func() {
		g, ok := d.borrowRound(r, deadline, exclude)
		r.allocator.finishBorrowing(ok)
		if !ok {
			return
		}
		select {
		case borrowed <- g:
		case <-abandoned:
			d.returnLoan(g.lender, g.loanID, false)
		}
	})
	return borrowed, func() { close(abandoned) }
}

// acquireBorrowed borrows a slot of a service of which this host has no usable slot. It
// gives up when the time left is less than the mean service time.
func (d *Dispatcher) acquireBorrowed(ctx context.Context, r *route, deadline time.Time, exclude []string) (grant, admission.Reason) {
	if len(r.allocator.currentLenders()) == 0 {
		return grant{}, admission.ReasonNoUpstream
	}
	if !r.allocator.addBorrower(d.limits.QueueLimit) {
		return grant{}, admission.ReasonQueueFull
	}
	defer r.allocator.removeBorrower()
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(d.options.Now())-r.allocator.meanServiceTime())
	defer cancel()
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		if g, ok := d.borrowRound(r, deadline, exclude); ok {
			return g, ""
		}
		if wait.Sleep(ctx, pause) != nil {
			return grant{}, waitEndReason(ctx)
		}
	}
}

// waitEndReason distinguishes a deadline that has passed from a caller that has gone.
func waitEndReason(ctx context.Context) admission.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return admission.ReasonDeadlineInQueue
	}
	return admission.ReasonCancelled
}

// borrowRound asks up to lendersPerRound lenders for a slot, one after the other.
func (d *Dispatcher) borrowRound(r *route, deadline time.Time, exclude []string) (grant, bool) {
	for _, lender := range r.allocator.sampleLenders(lendersPerRound) {
		if g, ok := d.borrowFrom(r, lender, deadline, exclude); ok {
			return g, true
		}
	}
	return grant{}, false
}

// borrowFrom asks one lender for a slot. After a failed call it returns the loan,
// because the lender may have granted it. It also returns a loan at an upstream that this
// host does not know.
func (d *Dispatcher) borrowFrom(r *route, lender host.ID, deadline time.Time, exclude []string) (grant, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), loanCallTimeout)
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
	g := grant{upstream: reply.Upstream, lender: lender, loanID: args.Loan}
	if _, known := r.addresses[g.upstream]; !known {
		d.returnLoan(lender, args.Loan, false)
		return grant{}, false
	}
	return g, true
}

// returnLoan returns a borrowed slot in the background, so that the request does not
// wait for it. If the call is lost, the lender frees the slot when the lease ends.
func (d *Dispatcher) returnLoan(lender host.ID, loanID uint64, refused bool) {
	d.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), loanCallTimeout)
		defer cancel()
		args := ReturnArgs{Loan: loanID, Refused: refused}
		_ = d.options.Peers.Call(ctx, lender, "Request.Return", &args, &ReturnReply{})
	})
}
