package consul

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/wait"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// maxReadAttempts bounds the attempts of one read. Writes are attempted once.
	maxReadAttempts = 3
	// maxResponseBytes bounds the size of a response. The largest responses list many
	// values.
	maxResponseBytes = 32 << 20
	// burstDuration sets the burst size of the rate limiter: the number of requests
	// that CallsPerSecond allows in this time.
	burstDuration = 200 * time.Millisecond
	// watchGrace is how much longer than the wait time of a watch its request may take.
	watchGrace = 2 * time.Second
)

// HTTPClient is a client of the Consul HTTP API. It implements Client with the KV store, its
// check-and-set writes and blocking queries, and the service catalog.
type HTTPClient struct {
	options Options
	client  *http.Client
	limiter *rate.Limiter
	metrics *metrics
	logger  zerolog.Logger

	mu  sync.Mutex
	rng *rand.Rand
	// serverIndex is the index in Options.Addresses of the server in use.
	serverIndex int
}

// NewHTTPClient returns a client that is ready for use. It fails with a *SettingsError if the
// options are invalid.
func NewHTTPClient(options Options) (*HTTPClient, error) {
	options.setDefaults()
	if err := options.validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: options.Timeout}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
		TLSClientConfig:     options.TLS,
	}
	client := &http.Client{
		Transport: transport,
		// Do not follow redirects: a redirected write would be sent twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	burst := max(1, int(options.CallsPerSecond*burstDuration.Seconds()))
	return &HTTPClient{
		options: options,
		client:  client,
		limiter: rate.NewLimiter(rate.Limit(options.CallsPerSecond), burst),
		metrics: newMetrics(options.Registerer),
		logger:  options.Logger.With().Str("component", "platform").Logger(),
		rng:     rand.New(rand.NewPCG(options.Seed, options.Seed)),
	}, nil
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.client.CloseIdleConnections() }

// request is an HTTP request to the platform.
type request struct {
	// call names the operation in metrics, logs and errors.
	call   string
	method string
	// path includes the query.
	path string
	// key appears in logs and errors only.
	key     string
	body    []byte
	timeout time.Duration
}

// response is an HTTP response with its whole body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// statusError reports a response with an unexpected HTTP status or, for a write, an
// unexpected body.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("unexpected response with HTTP status %d: %s", e.status, e.body)
}

// read sends an idempotent request, and retries a failed one at the next server.
func (c *HTTPClient) read(ctx context.Context, r request) (response, error) {
	var err error
	for attempt := 1; attempt <= maxReadAttempts; attempt++ {
		var resp response
		resp, err = c.do(ctx, r)
		if err == nil && resp.status != http.StatusOK && resp.status != http.StatusNotFound {
			err = &statusError{status: resp.status, body: strings.TrimSpace(string(resp.body))}
		}
		if err == nil {
			return resp, nil
		}
		c.nextServer()
		if ctx.Err() != nil || attempt == maxReadAttempts {
			break
		}
		if wait.Sleep(ctx, c.backoff(attempt)) != nil {
			break
		}
	}
	return response{}, &UnavailableError{Call: r.call, Key: r.key, Err: err}
}

// write sends a write request once and returns whether the platform applied it. The
// error is an *UnavailableError if the write certainly had no effect, and an
// *AmbiguousError if it may have had one.
func (c *HTTPClient) write(ctx context.Context, r request) (bool, error) {
	resp, err := c.do(ctx, r)
	if err != nil {
		c.nextServer()
		if isNotSent(err) {
			return false, &UnavailableError{Call: r.call, Key: r.key, Err: err}
		}
		return false, &AmbiguousError{Call: r.call, Key: r.key, Err: err}
	}
	text := strings.TrimSpace(string(resp.body))
	switch {
	case resp.status == http.StatusOK && (text == "true" || text == "false"):
		return text == "true", nil
	case resp.status >= 300 && resp.status < 500:
		return false, &UnavailableError{Call: r.call, Key: r.key, Err: &statusError{resp.status, text}}
	default:
		// The server may have committed the write before it failed.
		return false, &AmbiguousError{Call: r.call, Key: r.key, Err: &statusError{resp.status, text}}
	}
}

// do sends a request once the rate limit allows it, and records the call in the metrics
// and failures in the log.
func (c *HTTPClient) do(ctx context.Context, r request) (response, error) {
	if err := c.waitForRateLimit(ctx); err != nil {
		return response{}, &notSentError{err}
	}
	started := c.options.Now()
	resp, err := c.roundTrip(ctx, r)
	c.metrics.observe(r.call, err, resp.status, c.options.Now().Sub(started))
	if err != nil && ctx.Err() == nil {
		c.logger.Debug().Str("event", "platform_call_failed").Str("call", r.call).Str("key", r.key).Err(err).Send()
	}
	return resp, err
}

// roundTrip sends a request to the server in use and reads the response.
func (c *HTTPClient) roundTrip(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, c.serverURL()+r.path, strings.NewReader(string(r.body)))
	if err != nil {
		return response{}, &notSentError{err}
	}
	if c.options.Token != "" {
		req.Header.Set("X-Consul-Token", c.options.Token)
	}
	httpResp, err := c.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer httpResp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, fmt.Errorf("read response: %w", err)
	}
	if len(body) > maxResponseBytes {
		return response{}, fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	return response{status: httpResp.StatusCode, header: httpResp.Header, body: body}, nil
}

// waitForRateLimit waits until the rate limit allows another request.
func (c *HTTPClient) waitForRateLimit(ctx context.Context) error {
	if c.limiter.Allow() {
		return nil
	}
	c.metrics.rateLimitWaits.Inc()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("wait for the rate limit of %g calls/s: %w", c.options.CallsPerSecond, err)
	}
	return nil
}

// serverURL returns the base URL of the server in use, without a trailing slash.
func (c *HTTPClient) serverURL() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.TrimRight(c.options.Addresses[c.serverIndex], "/")
}

// nextServer selects the next server in Options.Addresses for the requests to come.
func (c *HTTPClient) nextServer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverIndex = (c.serverIndex + 1) % len(c.options.Addresses)
}

func (c *HTTPClient) backoff(failures int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Backoff(failures, c.rng)
}

// notSentError reports that a request failed before any of it was sent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// isNotSent reports whether the request cannot have reached the platform: it was not
// sent, or no connection could be made.
func isNotSent(err error) bool {
	var notSentErr *notSentError
	if errors.As(err, &notSentErr) {
		return true
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
