package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/ticket"
)

// claim presents a ticket to a book held here and runs the request if it may.
// moved says that the book went to a successor meanwhile.
func (d *Dispatcher) claim(ctx context.Context, b *book, t ticket.Ticket, j job) (result ticket.Result, moved bool) {
	digest := j.digest()
	claim, running := b.begin(d.options.Now(), t, j.service, digest)
	switch claim.Kind {
	case ticket.ClaimDone:
		return claim.Result, false
	case ticket.ClaimSealed:
		return d.awaitMove(ctx, b, j)
	case ticket.ClaimJoin:
		return d.join(ctx, b, t, j, running)
	}
	return d.runClaimed(ctx, b, t, j), false
}

// runClaimed runs the request and records its result, whatever happens.
func (d *Dispatcher) runClaimed(ctx context.Context, b *book, t ticket.Ticket, j job) ticket.Result {
	result := unknown(admission.ReasonInternal)
	defer func() { b.finish(d.options.Now(), t.Sequence, result) }()
	result = d.runOnce(ctx, t, j)
	if result.Outcome == admission.Unknown {
		d.options.Logger.Warn().Uint32("service", uint32(j.service)).Str("upstream", result.Upstream).
			Str("reason", string(result.Reason)).Uint64("sequence", t.Sequence).Msg("outcome_unknown")
	}
	return result
}

// awaitMove waits until the book's successor is known.
func (d *Dispatcher) awaitMove(ctx context.Context, b *book, j job) (ticket.Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, j.deadline.Sub(d.options.Now()))
	defer cancel()
	select {
	case <-b.moved:
		return ticket.Result{}, true
	case <-ctx.Done():
		return unknown(admission.ReasonIssuerUnreachable), false
	}
}

// join waits for the run in progress of the same ticket.
func (d *Dispatcher) join(ctx context.Context, b *book, t ticket.Ticket, j job, running <-chan struct{}) (ticket.Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, j.deadline.Sub(d.options.Now()))
	defer cancel()
	select {
	case <-running:
	case <-ctx.Done():
		return unknown(admission.ReasonInProgress), false
	}
	claim, _ := b.begin(d.options.Now(), t, j.service, j.digest())
	if claim.Kind == ticket.ClaimDone {
		return claim.Result, false
	}
	return d.awaitMove(ctx, b, j)
}

// runOnce runs a request that holds its ticket's only right to run.
func (d *Dispatcher) runOnce(ctx context.Context, t ticket.Ticket, j job) ticket.Result {
	r := d.route(j.service)
	if r == nil {
		return notRun(admission.ReasonUnknownService)
	}
	r.lane.fresh()
	var exclude []string
	last := admission.Reason("")
	for n := 1; ; n++ {
		slot, reason := d.acquire(ctx, r, j.deadline, exclude)
		if reason != "" {
			if last != "" {
				reason = last
			}
			return notRun(reason)
		}
		result := d.runAt(r, slot, t, j)
		if result.Outcome != admission.NotRun || n == maxAttempts || ctx.Err() != nil || !d.mayRetry(r) {
			return result
		}
		last = result.Reason
		d.metrics.retry(last)
		exclude = append(exclude, slot.upstream)
	}
}

// mayRetry takes a retry from the budget, and counts the refusal if there is none.
func (d *Dispatcher) mayRetry(r *route) bool {
	allowed := r.lane.takeRetry()
	if !allowed {
		d.metrics.retryRefused.Inc()
	}
	return allowed
}

// runAt sends the request to an upstream. The exchange outlives the caller's
// connection, so that a repeat of the ticket can get the answer.
func (d *Dispatcher) runAt(r *route, slot grant, t ticket.Ticket, j job) ticket.Result {
	began := d.options.Now()
	left := j.deadline.Sub(began)
	if left < minLeft {
		d.release(r, slot, 0, false)
		return notRun(admission.ReasonDeadline)
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	result := d.exchangeOnce(ctx, r, slot.upstream, t, j, left)
	result.Upstream = slot.upstream
	busy := time.Duration(0)
	if result.Outcome != admission.NotRun {
		busy = d.options.Now().Sub(began)
	}
	d.release(r, slot, busy, result.Reason == admission.ReasonUpstreamShed || result.Reason == admission.ReasonUpstreamUnreachable)
	return result
}

func (d *Dispatcher) exchangeOnce(ctx context.Context, r *route, upstream string, t ticket.Ticket, j job, left time.Duration) ticket.Result {
	requestID := fmt.Sprintf("%x-%x", uint64(t.Incarnation), t.Sequence)
	out := j.outbound(requestID)
	resp, wrote, err := d.sender.sendOnce(ctx, r.addresses[upstream], out, left)
	if err != nil && !wrote {
		return notRun(reasonOf(ctx, admission.ReasonUpstreamUnreachable))
	}
	if err != nil {
		return unknown(reasonOf(ctx, admission.ReasonUpstreamReset))
	}
	defer d.background.Go(func() {
		resp.Body.Close()
		d.sender.prepare(r.addresses[upstream])
	})
	if crossed(resp, out) {
		return unknown(admission.ReasonAnswerCrossed)
	}
	if refusedBeforeRun(resp) {
		return notRun(admission.ReasonUpstreamShed)
	}
	body, reason := readWhole(resp, d.limits.MaxAnswerBytes)
	if reason == admission.ReasonAnswerTooLarge {
		return ticket.Result{Outcome: admission.Answered, Reason: reason}
	}
	if reason != "" {
		return unknown(reasonOf(ctx, reason))
	}
	result := ticket.Result{Outcome: admission.Answered, Reason: admission.ReasonOK, Status: resp.StatusCode, Body: body}
	for name, values := range forwarded(resp.Header) {
		result.Fields = append(result.Fields, ticket.Field{Name: name, Values: values})
	}
	return result
}

func (d *Dispatcher) route(id service.ID) *route {
	routes := d.routes.Load()
	if routes == nil {
		return nil
	}
	return routes.byID[id]
}

// reasonOf returns ReasonDeadline when the time ran out, or else the reason.
func reasonOf(ctx context.Context, reason admission.Reason) admission.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return admission.ReasonDeadline
	}
	return reason
}

func notRun(reason admission.Reason) ticket.Result {
	return ticket.Result{Outcome: admission.NotRun, Reason: reason}
}

func unknown(reason admission.Reason) ticket.Result {
	return ticket.Result{Outcome: admission.Unknown, Reason: reason}
}
