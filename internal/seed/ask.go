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

// answer is what one seed answered.
type answer struct {
	page catalog.Page
	seed netip.AddrPort
	err  error
}

// Ask returns the page of the first seed that answers with one. It asks each seed at most
// once, one after the other until one has answered.
func Ask(ctx context.Context, seeds []netip.AddrPort) (catalog.Page, netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	seeds = seeds[:min(len(seeds), MaxSeeds)]
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext, DisableKeepAlives: true, DisableCompression: true,
	}}
	answers := make(chan answer, len(seeds))
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	asked, pending, last := 0, 0, errNoSeed
	for asked < len(seeds) || pending > 0 {
		select {
		case <-ctx.Done():
			return catalog.Page{}, netip.AddrPort{}, fmt.Errorf("ask seeds: %w", ctx.Err())
		case <-hedge.C:
			if asked < len(seeds) {
				seed := seeds[asked]
				asked, pending = asked+1, pending+1
				go func() {
					page, err := ask(ctx, client, seed)
					answers <- answer{page: page, seed: seed, err: err}
				}()
				hedge.Reset(hedgeDelay)
			}
		case a := <-answers:
			if a.err == nil {
				return a.page, a.seed, nil
			}
			pending, last = pending-1, a.err
			hedge.Reset(0)
		}
	}
	return catalog.Page{}, netip.AddrPort{}, fmt.Errorf("ask seeds: %w", last)
}

// ask asks one seed.
func ask(ctx context.Context, client *http.Client, seed netip.AddrPort) (catalog.Page, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed.String()+pagePath, nil)
	if err != nil {
		return catalog.Page{}, fmt.Errorf("request to a seed: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return catalog.Page{}, fmt.Errorf("request to a seed: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return catalog.Page{}, &StatusError{Status: response.StatusCode}
	}
	packed, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes+1))
	if err != nil {
		return catalog.Page{}, fmt.Errorf("response of a seed: %w", err)
	}
	if len(packed) > maxPageBytes {
		return catalog.Page{}, fmt.Errorf("%w: more than %d bytes", ErrInvalid, maxPageBytes)
	}
	return decode(packed)
}
