package callers

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/wait"
)

// Headers of the ticket exchange, described in docs/CALLERS.md.
const (
	headerDeadline = "Oatlatch-Deadline-Ms"
	headerTicket   = "Oatlatch-Ticket"
	headerOutcome  = "Oatlatch-Outcome"
	headerReason   = "Oatlatch-Reason"
)

// Reasons that the client sets itself, in addition to those of hosts.
const (
	// ReasonNoAnswer means that no complete response was received before the deadline.
	ReasonNoAnswer = "no-answer"
	// ReasonNoHosts means that the client's options name no host.
	ReasonNoHosts = "no-hosts"
	// ReasonNoTicket means that no host issued a ticket, so that the request has not run.
	ReasonNoTicket = "no-ticket"
	// ReasonNoOutcome means that the response has no outcome header, so that it is not
	// from an entry host's request handler.
	ReasonNoOutcome = "no-outcome"
)

// retryDelay is the delay before a retry if no host sent a Retry-After header.
const retryDelay = 50 * time.Millisecond

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	options    Options
	httpClient *http.Client
	tickets    ticketPool
	nextHost   atomic.Uint64
}

// ErrNoHosts means that the client's options name no host, so that nothing was sent.
var ErrNoHosts = errors.New("callers: no host is known: set Options.Hosts")

// New returns a client of one service.
func New(options Options) *Client {
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxUnusedTickets}}
	if options.HTTPClient != nil {
		client = *options.HTTPClient
	}
	client.CheckRedirect = returnRedirect
	if options.Deadline <= 0 {
		options.Deadline = DefaultDeadline
	}
	return &Client{options: options, httpClient: &client}
}

// Do sends the request, retries it where that is safe, and returns the response. The
// error is nil if the outcome is Answered, and an *OutcomeError otherwise.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if r.Deadline <= 0 {
		r.Deadline = c.options.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return c.doIdempotent(ctx, r)
	}
	return c.doNonIdempotent(ctx, r)
}

// doIdempotent sends the request without a ticket, and retries it until it is answered
// or a retry is of no use.
func (c *Client) doIdempotent(ctx context.Context, r Request) (Response, error) {
	var last Response
	mayHaveRun := false
	for attempts := 1; ; attempts++ {
		response, err := c.sendOnce(ctx, r, "")
		mayHaveRun = mayHaveRun || err != nil && !errors.Is(err, ErrNoHosts) || err == nil && response.Outcome == Unknown
		c.tickets.put(response.Header.Get(headerTicket))
		response.Attempts = attempts
		if err == nil && response.Outcome == Answered {
			return response, nil
		}
		if err == nil {
			last = response
		}
		if !errors.Is(err, ErrNoHosts) && c.waitToRetry(ctx, response, err) {
			continue
		}
		switch {
		case errors.Is(err, ErrNoHosts):
			last.Outcome, last.Reason = NotRun, ReasonNoHosts
		case mayHaveRun && last.Outcome == NotRun:
			last.Outcome, last.Reason = Unknown, ReasonNoAnswer
		}
		return c.giveUp(last, attempts, err)
	}
}

// doNonIdempotent sends the request with a ticket. It retries with another ticket only
// if the request is known not to have run.
func (c *Client) doNonIdempotent(ctx context.Context, r Request) (Response, error) {
	attempts := 0
	for {
		ticket, err := c.acquireTicket(ctx, r)
		if err != nil {
			return Response{Outcome: NotRun, Reason: ReasonNoTicket, Attempts: attempts},
				&OutcomeError{Outcome: NotRun, Reason: ReasonNoTicket, Cause: err}
		}
		attemptsBefore := attempts
		response, err := c.sendWithTicket(ctx, r, ticket, &attempts)
		if response.Reason == reasonTicketVoid && attempts == attemptsBefore+1 {
			response.Outcome = NotRun
			err = response.outcomeError()
		}
		if response.Outcome != NotRun || !c.waitToRetry(ctx, response, nil) {
			return response, err
		}
	}
}

// sendWithTicket sends the request with the ticket, and retries it with the same ticket
// until its outcome is known. Hosts run at most one request per ticket, so that a retry
// cannot run the request twice.
func (c *Client) sendWithTicket(ctx context.Context, r Request, ticket string, attempts *int) (Response, error) {
	var last Response
	for {
		*attempts++
		response, err := c.sendOnce(ctx, r, ticket)
		c.tickets.put(response.Header.Get(headerTicket))
		response.Attempts = *attempts
		if err == nil && response.isFinal() {
			return response, response.outcomeError()
		}
		if err == nil {
			last = response
		}
		if !c.waitToRetry(ctx, response, err) {
			return c.giveUp(last, *attempts, err)
		}
	}
}

// isFinal reports whether a retry with the same ticket would return the same outcome.
// A host sets Retry-After with an unknown outcome if it may become known later.
func (r Response) isFinal() bool { return r.Outcome != Unknown || r.RetryAfter == 0 }

// giveUp returns the last response that has an outcome, or the outcome Unknown if there
// is none.
func (c *Client) giveUp(last Response, attempts int, cause error) (Response, error) {
	last.Attempts = attempts
	if last.Outcome == "" {
		last.Outcome, last.Reason = Unknown, ReasonNoAnswer
	}
	return last, &OutcomeError{Outcome: last.Outcome, Reason: last.Reason, RetryAfter: last.RetryAfter, Cause: cause}
}

// acquireTicket returns an unused ticket. If the client has none, it sends the request
// without ticket and body; a host rejects that and returns a ticket.
func (c *Client) acquireTicket(ctx context.Context, r Request) (string, error) {
	if ticket := c.tickets.take(); ticket != "" {
		return ticket, nil
	}
	ticketRequest := Request{Method: r.Method, Path: r.Path}
	for {
		response, err := c.sendOnce(ctx, ticketRequest, "")
		if ticket := response.Header.Get(headerTicket); err == nil && ticket != "" {
			return ticket, nil
		}
		if errors.Is(err, ErrNoHosts) || !c.waitToRetry(ctx, response, err) {
			return "", errors.Join(err, response.outcomeError())
		}
	}
}

// waitToRetry waits for the delay before the next attempt. It returns false if a retry
// is of no use, or if the delay exceeds the time left until the deadline.
func (c *Client) waitToRetry(ctx context.Context, response Response, err error) bool {
	if err == nil && response.RetryAfter == 0 && !retryableWithNewTicket(response.Reason) {
		return false
	}
	delay := max(response.RetryAfter, retryDelay)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
		return false
	}
	return wait.Sleep(ctx, delay) == nil
}

// reasonTicketVoid means that no host will run a request with the ticket from now on, and
// that the host can't tell whether an earlier attempt with it ran. If there was no
// earlier attempt, the request has not run.
const reasonTicketVoid = "ticket-void"

// retryableWithNewTicket reports whether a host rejected the ticket, so that a retry
// needs a new one.
func retryableWithNewTicket(reason string) bool {
	switch reason {
	case "ticket-expired", "ticket-refused", "ticket-forged", "ticket-foreign", reasonTicketVoid:
		return true
	}
	return false
}

// sendOnce sends the request to the next host, in turn, and reads the whole response.
func (c *Client) sendOnce(ctx context.Context, r Request, ticket string) (Response, error) {
	if len(c.options.Hosts) == 0 {
		return Response{}, ErrNoHosts
	}
	host := c.options.Hosts[int(c.nextHost.Add(1)-1)%len(c.options.Hosts)]
	httpRequest, err := http.NewRequestWithContext(ctx, r.Method, "http://"+host+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, err
	}
	for name, values := range r.Header {
		httpRequest.Header[name] = values
	}
	httpRequest.GetBody = nil // Prevents the transport from resending the request by itself.
	httpRequest.Host = c.options.RequestHost
	if deadline, ok := ctx.Deadline(); ok {
		httpRequest.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if ticket != "" {
		httpRequest.Header.Set(headerTicket, ticket)
	}
	return c.roundTrip(httpRequest)
}

// roundTrip sends the HTTP request and converts the HTTP response.
func (c *Client) roundTrip(httpRequest *http.Request) (Response, error) {
	httpResponse, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return Response{}, err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return Response{}, err
	}
	response := Response{
		Status:     httpResponse.StatusCode,
		Header:     httpResponse.Header,
		Body:       body,
		Outcome:    Outcome(httpResponse.Header.Get(headerOutcome)),
		Reason:     httpResponse.Header.Get(headerReason),
		RetryAfter: parseRetryAfter(httpResponse.Header),
	}
	if response.Outcome == "" {
		response.Outcome, response.Reason = Unknown, ReasonNoOutcome
	}
	return response, nil
}

// returnRedirect makes the HTTP client return redirects instead of following them,
// which would send the request again.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
