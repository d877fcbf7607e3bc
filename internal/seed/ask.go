package seed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// MaxSeeds is the maximum number of seeds that a host asks.
	MaxSeeds = 3
	// hedgeDelay is how long one seed may take until the next one is asked as well.
	hedgeDelay = 30 * time.Millisecond
	// askTimeout is the time limit for all seeds together.
	askTimeout = 2 * time.Second
	// dialTimeout is the time limit for connecting to a seed.
	dialTimeout = 500 * time.Millisecond
)

// errNoSeed means that a host has no seeds.
var errNoSeed = errors.New("the settings name no other host: set store.seeds")

// StatusError means that a seed refused.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("the seed answered with status %d: it has just started or is busy, ask another one", e.Status)
}

// Answer is what one seed answered.
type Answer struct {
	// Page is the seed's page. It is empty if Unchanged is set.
	Page catalog.Page
	// Tag identifies the content of the page, apart from its ages.
	Tag string
	// Unchanged is set if the asker has the page already.
	Unchanged bool
	// Seed is the address of the seed.
	Seed netip.AddrPort
}

// result is the answer of one seed, or an error.
type result struct {
	Answer
	err error
}

// Ask returns the answer of the first seed that has a page. It asks each seed at most once,
// one after the other until one has answered. have is the tag of the page that the asker
// has; empty for none.
func Ask(ctx context.Context, seeds []netip.AddrPort, have string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	seeds = seeds[:min(len(seeds), MaxSeeds)]
	client := newClient()
	results := make(chan result, len(seeds))
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	asked, pending, last := 0, 0, errNoSeed
	for asked < len(seeds) || pending > 0 {
		select {
		case <-ctx.Done():
			return Answer{}, fmt.Errorf("ask seeds: %w", ctx.Err())
		case <-hedge.C:
			if asked < len(seeds) {
				seed := seeds[asked]
				asked, pending = asked+1, pending+1
				go func() {
					answer, err := ask(ctx, client, seed, have)
					results <- result{answer, err}
				}()
				hedge.Reset(hedgeDelay)
			}
		case r := <-results:
			if r.err == nil {
				return r.Answer, nil
			}
			pending, last = pending-1, r.err
			hedge.Reset(0)
		}
	}
	return Answer{}, fmt.Errorf("ask seeds: %w", last)
}

// newClient returns a client that closes each connection after its response.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext, DisableKeepAlives: true, DisableCompression: true,
	}}
}

// ask asks one seed.
func ask(ctx context.Context, client *http.Client, seed netip.AddrPort, have string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed.String()+pagePath, nil)
	if err != nil {
		return Answer{}, fmt.Errorf("request to a seed: %w", err)
	}
	if have != "" {
		request.Header.Set("If-None-Match", have)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, fmt.Errorf("request to a seed: %w", err)
	}
	defer response.Body.Close()
	answer := Answer{Tag: response.Header.Get("ETag"), Seed: seed}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		answer.Unchanged = true
		return answer, nil
	default:
		return Answer{}, &StatusError{Status: response.StatusCode}
	}
	packed, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes+1))
	if err != nil {
		return Answer{}, fmt.Errorf("response of a seed: %w", err)
	}
	if len(packed) > maxPageBytes {
		return Answer{}, fmt.Errorf("%w: more than %d bytes", ErrInvalid, maxPageBytes)
	}
	answer.Page, err = decode(packed)
	return answer, err
}
