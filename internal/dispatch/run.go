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

// claimAndRun claims a ticket of a ledger held here and runs the request if the claim
// allows it. Otherwise it returns the recorded result, or waits for the run in progress.
// If handedOver is true, the handover of the ledger has ended and there is no result; the
// ledger may have gone to a successor or to none.
func (d *Dispatcher) claimAndRun(ctx context.Context, l *lockedLedger, t ticket.Ticket, req ticketedRequest) (result ticket.Result, handedOver bool) {
	digest := req.digest()
	claim, runEnded := l.begin(d.options.Now(), t, req.service, digest)
	switch claim.Kind {
	case ticket.ClaimDone:
		return claim.Result, false
	case ticket.ClaimSealed:
		return d.awaitHandover(ctx, l, req)
	case ticket.ClaimJoin:
		return d.joinRun(ctx, l, t, req, runEnded)
	}
	return d.runClaimed(ctx, l, t, req), false
}

// runClaimed runs the request and records its result in the ledger, even if the run
// panics.
func (d *Dispatcher) runClaimed(ctx context.Context, l *lockedLedger, t ticket.Ticket, req ticketedRequest) ticket.Result {
	result := unknownResult(admission.ReasonInternal)
	defer func() { l.finish(d.options.Now(), t.Sequence, result) }()
	result = d.runWithRetries(ctx, t, req)
	if result.Outcome == admission.Unknown {
		d.options.Logger.Warn().Uint32("service", uint32(req.service)).Str("upstream", result.Upstream).
			Str("reason", string(result.Reason)).Uint64("sequence", t.Sequence).Msg("outcome_unknown")
	}
	return result
}

// awaitHandover waits until the handover of the ledger has ended. It returns false and a
// result if the deadline passes or ctx ends first.
func (d *Dispatcher) awaitHandover(ctx context.Context, l *lockedLedger, req ticketedRequest) (ticket.Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, req.deadline.Sub(d.options.Now()))
	defer cancel()
	select {
	case <-l.handedOver:
		return ticket.Result{}, true
	case <-ctx.Done():
		return unknownResult(admission.ReasonIssuerUnreachable), false
	}
}

// joinRun waits for the run in progress under the same ticket and returns its result.
func (d *Dispatcher) joinRun(ctx context.Context, l *lockedLedger, t ticket.Ticket, req ticketedRequest, runEnded <-chan struct{}) (ticket.Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, req.deadline.Sub(d.options.Now()))
	defer cancel()
	select {
	case <-runEnded:
	case <-ctx.Done():
		return unknownResult(admission.ReasonInProgress), false
	}
	claim, _ := l.begin(d.options.Now(), t, req.service, req.digest())
	if claim.Kind == ticket.ClaimDone {
		return claim.Result, false
	}
	return d.awaitHandover(ctx, l, req)
}

// runWithRetries runs a request that has claimed its ticket. It tries further upstreams
// as long as none has run the request and the retry budget allows it.
func (d *Dispatcher) runWithRetries(ctx context.Context, t ticket.Ticket, req ticketedRequest) ticket.Result {
	r := d.routeByID(req.service)
	if r == nil {
		return notRunResult(admission.ReasonUnknownService)
	}
	r.allocator.recordRequest()
	var exclude []string
	lastReason := admission.Reason("")
	for attempt := 1; ; attempt++ {
		slot, reason := d.acquireSlot(ctx, r, req.deadline, exclude)
		if reason != "" {
			if lastReason != "" {
				reason = lastReason
			}
			return notRunResult(reason)
		}
		result := d.runAtUpstream(r, slot, t, req)
		if result.Outcome != admission.NotRun || attempt == maxAttempts || ctx.Err() != nil || !d.takeRetry(r) {
			return result
		}
		lastReason = result.Reason
		d.metrics.recordRetry(lastReason)
		exclude = append(exclude, slot.upstream)
	}
}

// takeRetry takes a retry from the service's budget. If there is none, it counts the
// refusal and returns false.
func (d *Dispatcher) takeRetry(r *route) bool {
	allowed := r.allocator.takeRetry()
	if !allowed {
		d.metrics.retriesRefused.Inc()
	}
	return allowed
}

// runAtUpstream sends the request to the upstream of the slot and releases the slot. It
// continues when the caller's connection ends, so that a repeat of the request can get
// the result.
func (d *Dispatcher) runAtUpstream(r *route, slot grant, t ticket.Ticket, req ticketedRequest) ticket.Result {
	started := d.options.Now()
	timeLeft := req.deadline.Sub(started)
	if timeLeft < minTimeLeft {
		d.release(r, slot, 0, false)
		return notRunResult(admission.ReasonDeadline)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	result := d.sendToUpstream(ctx, r, slot.upstream, t, req, timeLeft)
	result.Upstream = slot.upstream
	serviceTime := time.Duration(0)
	if result.Outcome != admission.NotRun {
		serviceTime = d.options.Now().Sub(started)
	}
	d.release(r, slot, serviceTime, result.Reason == admission.ReasonUpstreamShed || result.Reason == admission.ReasonUpstreamUnreachable)
	return result
}

// sendToUpstream sends the request once and converts the response to a result.
func (d *Dispatcher) sendToUpstream(ctx context.Context, r *route, upstream string, t ticket.Ticket, req ticketedRequest, timeLeft time.Duration) ticket.Result {
	requestID := fmt.Sprintf("%x-%x", uint64(t.Incarnation), t.Sequence)
	out := req.upstreamRequest(requestID)
	resp, wrote, err := d.upstreamClient.sendNonIdempotent(ctx, r.addresses[upstream], out, timeLeft)
	if err != nil && !wrote {
		return notRunResult(deadlineReasonOr(ctx, admission.ReasonUpstreamUnreachable))
	}
	if err != nil {
		return unknownResult(deadlineReasonOr(ctx, admission.ReasonUpstreamReset))
	}
	defer d.tasks.Go(func() {
		resp.Body.Close()
		d.upstreamClient.dialUnused(r.addresses[upstream])
	})
	if isMismatched(resp, out) {
		return unknownResult(admission.ReasonAnswerCrossed)
	}
	if refusedBeforeRun(resp) {
		return notRunResult(admission.ReasonUpstreamShed)
	}
	body, reason := readFullBody(resp, d.limits.MaxResponseBytes)
	if reason == admission.ReasonAnswerTooLarge {
		return ticket.Result{Outcome: admission.Answered, Reason: reason}
	}
	if reason != "" {
		return unknownResult(deadlineReasonOr(ctx, reason))
	}
	result := ticket.Result{Outcome: admission.Answered, Reason: admission.ReasonOK, Status: resp.StatusCode, Body: body}
	for name, values := range endToEndHeaders(resp.Header) {
		result.Fields = append(result.Fields, ticket.Field{Name: name, Values: values})
	}
	return result
}

// routeByID returns the route of the service, or nil if the configuration has none.
func (d *Dispatcher) routeByID(id service.ID) *route {
	routes := d.routes.Load()
	if routes == nil {
		return nil
	}
	return routes.byID[id]
}

// deadlineReasonOr returns ReasonDeadline if the deadline of ctx has passed, or else the
// given reason.
func deadlineReasonOr(ctx context.Context, reason admission.Reason) admission.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return admission.ReasonDeadline
	}
	return reason
}

func notRunResult(reason admission.Reason) ticket.Result {
	return ticket.Result{Outcome: admission.NotRun, Reason: reason}
}

func unknownResult(reason admission.Reason) ticket.Result {
	return ticket.Result{Outcome: admission.Unknown, Reason: reason}
}
