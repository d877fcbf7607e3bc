package platform

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
	// readAttempts bounds the attempts of one read; writes have a single one.
	readAttempts = 3
	// maxAnswerBytes bounds an answer: a listing of many values.
	maxAnswerBytes = 32 << 20
	// burstTime is the part of a second whose calls may be made at once.
	burstTime = 200 * time.Millisecond
	// watchGrace is added to a watch's wait before its answer is given up.
	watchGrace = 2 * time.Second
)

// HTTP is the adapter to the Consul HTTP API: the KV store with check-and-set,
// blocking queries, and the service catalog.
type HTTP struct {
	options Options
	client  *http.Client
	limiter *rate.Limiter
	metrics *metrics
	logger  zerolog.Logger

	mu      sync.Mutex
	rng     *rand.Rand
	current int
}

// NewHTTP returns an adapter with the options' defaults filled in.
func NewHTTP(options Options) (*HTTP, error) {
	options.setDefaults()
	if err := options.validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: options.Deadline}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
		TLSClientConfig:     options.TLS,
	}
	client := &http.Client{
		Transport: transport,
		// A redirected write would be sent twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	burst := max(1, int(options.CallsPerSecond*burstTime.Seconds()))
	return &HTTP{
		options: options,
		client:  client,
		limiter: rate.NewLimiter(rate.Limit(options.CallsPerSecond), burst),
		metrics: newMetrics(options.Registerer),
		logger:  options.Logger.With().Str("component", "platform").Logger(),
		rng:     rand.New(rand.NewPCG(options.Seed, options.Seed)),
	}, nil
}

// Close drops idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// request is one HTTP exchange.
type request struct {
	call   string
	method string
	path   string
	key    string
	body   []byte
	// deadline bounds the exchange.
	deadline time.Duration
}

// answer is a complete HTTP answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// statusError says that the platform answered with an unexpected status.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("platform answered status %d: %s", e.status, e.body)
}

// read performs an idempotent request, moving to the next server after a failure.
func (h *HTTP) read(ctx context.Context, r request) (answer, error) {
	var err error
	for attempt := 1; attempt <= readAttempts; attempt++ {
		var got answer
		got, err = h.exchange(ctx, r)
		if err == nil && got.status != http.StatusOK && got.status != http.StatusNotFound {
			err = &statusError{status: got.status, body: strings.TrimSpace(string(got.body))}
		}
		if err == nil {
			return got, nil
		}
		h.nextServer()
		if ctx.Err() != nil || attempt == readAttempts {
			break
		}
		if wait.For(ctx, h.backoff(attempt)) != nil {
			break
		}
	}
	return answer{}, &UnavailableError{Call: r.call, Key: r.key, Err: err}
}

// write performs a request once and tells a write without effect from an unknown one.
func (h *HTTP) write(ctx context.Context, r request) (bool, error) {
	got, err := h.exchange(ctx, r)
	if err != nil {
		h.nextServer()
		if notSent(err) {
			return false, &UnavailableError{Call: r.call, Key: r.key, Err: err}
		}
		return false, &AmbiguousError{Call: r.call, Key: r.key, Err: err}
	}
	text := strings.TrimSpace(string(got.body))
	switch {
	case got.status == http.StatusOK && (text == "true" || text == "false"):
		return text == "true", nil
	case got.status >= 300 && got.status < 500:
		return false, &UnavailableError{Call: r.call, Key: r.key, Err: &statusError{got.status, text}}
	default:
		// A server error may follow a committed write.
		return false, &AmbiguousError{Call: r.call, Key: r.key, Err: &statusError{got.status, text}}
	}
}

func (h *HTTP) exchange(ctx context.Context, r request) (answer, error) {
	if err := h.spend(ctx); err != nil {
		return answer{}, &notSentError{err}
	}
	started := h.options.Now()
	got, err := h.roundTrip(ctx, r)
	h.metrics.observe(r.call, err, got.status, h.options.Now().Sub(started))
	if err != nil && ctx.Err() == nil {
		h.logger.Debug().Str("event", "platform_call_failed").Str("call", r.call).Str("key", r.key).Err(err).Send()
	}
	return got, err
}

func (h *HTTP) roundTrip(ctx context.Context, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, h.server()+r.path, strings.NewReader(string(r.body)))
	if err != nil {
		return answer{}, &notSentError{err}
	}
	if h.options.Token != "" {
		req.Header.Set("X-Consul-Token", h.options.Token)
	}
	res, err := h.client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return answer{}, fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return answer{status: res.StatusCode, header: res.Header, body: body}, nil
}

// spend takes one call from the budget, waiting for it when it is used up.
func (h *HTTP) spend(ctx context.Context) error {
	if h.limiter.Allow() {
		return nil
	}
	h.metrics.budgetWaits.Inc()
	if err := h.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("call budget of %g calls/s is used up: %w", h.options.CallsPerSecond, err)
	}
	return nil
}

func (h *HTTP) server() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.TrimRight(h.options.Addresses[h.current], "/")
}

func (h *HTTP) nextServer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = (h.current + 1) % len(h.options.Addresses)
}

func (h *HTTP) backoff(failures int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Backoff(failures, h.rng)
}

// notSentError says that the request never left this process.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

func notSent(err error) bool {
	var local *notSentError
	if errors.As(err, &local) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
