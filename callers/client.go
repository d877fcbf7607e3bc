package callers

import (
	"bytes"
	"context"
	"errors"
	"github.com/oatlatch/oatlatch/internal/wait"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Headers of the ticket exchange; docs/CALLERS.md explains them.
const (
	headerDeadline = "Oatlatch-Deadline-Ms"
	headerTicket   = "Oatlatch-Ticket"
	headerOutcome  = "Oatlatch-Outcome"
	headerReason   = "Oatlatch-Reason"
)

// Reasons of the client's own, beside those of hosts.
const (
	// ReasonNoAnswer says that no host gave a whole answer in time.
	ReasonNoAnswer = "no-answer"
	// ReasonNoTicket says that no host gave a ticket in time.
	ReasonNoTicket = "no-ticket"
	// ReasonNoOutcome says that the answer did not come from an entry host's handler.
	ReasonNoOutcome = "no-outcome"
)

// resendPause is the wait before a request is sent again to a host that did not
// say when to come back.
const resendPause = 50 * time.Millisecond

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	tickets tickets
	next    atomic.Uint64
}

// New returns a client for the service.
func New(options Options) *Client {
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxTickets}}
	if options.HTTPClient != nil {
		client = *options.HTTPClient
	}
	client.CheckRedirect = passRedirect
	if options.Deadline <= 0 {
		options.Deadline = DefaultDeadline
	}
	return &Client{options: options, http: &client}
}

// Do sends the request and returns the answer. The error is nil only when the
// outcome is Answered, and an *OutcomeError otherwise.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	if r.Deadline <= 0 {
		r.Deadline = c.options.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return c.doIdempotent(ctx, r)
	}
	return c.doOnce(ctx, r)
}

// doIdempotent sends the request until it is answered.
func (c *Client) doIdempotent(ctx context.Context, r Request) (Answer, error) {
	var last Answer
	for sends := 1; ; sends++ {
		answer, err := c.send(ctx, r, "")
		c.tickets.put(answer.Header.Get(headerTicket))
		answer.Sends = sends
		if err == nil && answer.Outcome == Answered {
			return answer, nil
		}
		if err == nil {
			last = answer
		}
		if !c.pause(ctx, answer, err) {
			return c.giveUp(last, sends, err)
		}
	}
}

// doOnce sends a non-idempotent request under one ticket. It takes another
// ticket only when the request is known not to have run.
func (c *Client) doOnce(ctx context.Context, r Request) (Answer, error) {
	sends := 0
	for {
		ticket, err := c.ticket(ctx, r)
		if err != nil {
			return Answer{Outcome: NotRun, Reason: ReasonNoTicket, Sends: sends},
				&OutcomeError{Outcome: NotRun, Reason: ReasonNoTicket, Cause: err}
		}
		before := sends
		answer, err := c.sendTicket(ctx, r, ticket, &sends)
		if answer.Reason == reasonTicketVoid && sends == before+1 {
			answer.Outcome = NotRun
			err = answer.err()
		}
		if answer.Outcome != NotRun || !c.pause(ctx, answer, nil) {
			return answer, err
		}
	}
}

// sendTicket repeats the request under the same ticket, which cannot run it
// twice, until its outcome is known.
func (c *Client) sendTicket(ctx context.Context, r Request, ticket string, sends *int) (Answer, error) {
	var last Answer
	for {
		*sends++
		answer, err := c.send(ctx, r, ticket)
		c.tickets.put(answer.Header.Get(headerTicket))
		answer.Sends = *sends
		if err == nil && answer.final() {
			return answer, answer.err()
		}
		if err == nil {
			last = answer
		}
		if !c.pause(ctx, answer, err) {
			return c.giveUp(last, *sends, err)
		}
	}
}

// final says whether sending the same ticket again cannot tell more.
func (a Answer) final() bool { return a.Outcome != Unknown || a.RetryAfter == 0 }

// giveUp returns the last outcome that a host told, or Unknown.
func (c *Client) giveUp(last Answer, sends int, cause error) (Answer, error) {
	last.Sends = sends
	if last.Outcome == "" {
		last.Outcome, last.Reason = Unknown, ReasonNoAnswer
	}
	return last, &OutcomeError{Outcome: last.Outcome, Reason: last.Reason, RetryAfter: last.RetryAfter, Cause: cause}
}

// ticket returns an unused ticket, asking a host for one if there is none.
func (c *Client) ticket(ctx context.Context, r Request) (string, error) {
	if ticket := c.tickets.take(); ticket != "" {
		return ticket, nil
	}
	bare := Request{Method: r.Method, Path: r.Path}
	for {
		answer, err := c.send(ctx, bare, "")
		if ticket := answer.Header.Get(headerTicket); err == nil && ticket != "" {
			return ticket, nil
		}
		if !c.pause(ctx, answer, err) {
			return "", errors.Join(err, answer.err())
		}
	}
}

// pause waits until the request may be sent again, and says whether there is time.
func (c *Client) pause(ctx context.Context, answer Answer, err error) bool {
	if err == nil && answer.RetryAfter == 0 && !retryable(answer.Reason) {
		return false
	}
	after := max(answer.RetryAfter, resendPause)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < after {
		return false
	}
	return wait.For(ctx, after) == nil
}

// reasonTicketVoid says that no host may run the ticket any more. A request that
// was sent under it only once cannot have run.
const reasonTicketVoid = "ticket-void"

// retryable says whether a fresh ticket helps.
func retryable(reason string) bool {
	switch reason {
	case "ticket-expired", "ticket-refused", "ticket-forged", "ticket-foreign", reasonTicketVoid:
		return true
	}
	return false
}

// send sends the request once to the next host and reads the whole answer.
func (c *Client) send(ctx context.Context, r Request, ticket string) (Answer, error) {
	host := c.options.Hosts[int(c.next.Add(1)-1)%len(c.options.Hosts)]
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+host+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, err
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	request.GetBody = nil // The transport must not send the request again by itself.
	request.Host = c.options.RequestHost
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if ticket != "" {
		request.Header.Set(headerTicket, ticket)
	}
	return c.read(request)
}

func (c *Client) read(request *http.Request) (Answer, error) {
	resp, err := c.http.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{
		Status:     resp.StatusCode,
		Header:     resp.Header,
		Body:       body,
		Outcome:    Outcome(resp.Header.Get(headerOutcome)),
		Reason:     resp.Header.Get(headerReason),
		RetryAfter: retryAfter(resp.Header),
	}
	if answer.Outcome == "" {
		answer.Outcome, answer.Reason = Unknown, ReasonNoOutcome
	}
	return answer, nil
}

// passRedirect hands redirects to the application instead of sending the
// request again.
func passRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
