package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/wait"
)

const (
	// offerInterval is the mean time between two offers of a host while the store does not
	// answer. While half of the hosts start, each gets an offer every 0.4 s on average.
	offerInterval = 200 * time.Millisecond
	// quietOfferInterval is the same otherwise. The store may refuse a single host.
	quietOfferInterval = 4 * time.Second
	// offerAge is how long the store must not have answered any host for it to count as
	// away.
	offerAge = 3 * time.Second
	// candidateRetention is how long a host is remembered after its registration has ended.
	candidateRetention = 2 * time.Minute
	// maxCandidates is the maximum number of hosts that are remembered.
	maxCandidates = 4096
	// offeringStream distinguishes the random numbers from others of the same seed.
	offeringStream = 17
)

// offering gives this host's page to hosts that have started and that the store does not
// answer. They know neither the other hosts nor the peer key, but were known before.
type offering struct {
	self, dataCentre string
	// page returns the host's page, or false while it is incomplete, and age the time since
	// the store last answered any host.
	page   func() (catalog.Page, bool)
	age    func() time.Duration
	offer  func(context.Context, netip.AddrPort, *catalog.Page) (bool, error)
	logger zerolog.Logger
	now    func() time.Time
	random *rand.Rand

	mu sync.Mutex
	// candidates are the other hosts by name.
	candidates map[string]candidate
}

// candidate is a host that may need a page.
type candidate struct {
	address netip.AddrPort
	local   bool
	// seen is when the host was last registered.
	seen time.Time
}

// setHosts adds the registered hosts, and removes those that have long been gone.
func (o *offering) setHosts(hosts []catalog.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if o.candidates == nil {
		o.candidates = make(map[string]candidate)
	}
	for i := range hosts {
		h := &hosts[i]
		if _, known := o.candidates[h.Name]; h.Name != o.self && h.Seed.IsValid() && (known || len(o.candidates) < maxCandidates) {
			o.candidates[h.Name] = candidate{address: h.Seed, local: h.DataCentre == o.dataCentre, seen: now}
		}
	}
	for name, c := range o.candidates {
		if now.Sub(c.seen) >= candidateRetention {
			delete(o.candidates, name)
		}
	}
}

// run offers the page from time to time until ctx is cancelled.
func (o *offering) run(ctx context.Context) error {
	for {
		away := o.age() >= offerAge
		mean := quietOfferInterval
		if away {
			mean = offerInterval
		}
		if wait.Sleep(ctx, mean/2+time.Duration(o.random.Int64N(int64(mean)))) != nil {
			return nil
		}
		o.offerOne(ctx, away)
	}
}

// offerOne offers the page to a random candidate, to one of this data centre unless the store
// is away.
func (o *offering) offerOne(ctx context.Context, away bool) {
	page, ok := o.page()
	name, address := o.choose(away)
	if !ok || name == "" {
		return
	}
	taken, err := o.offer(ctx, address, &page)
	if err != nil {
		o.logger.Debug().Err(err).Str("to", name).Msg("page_not_offered") // it is usually down
	}
	if taken {
		o.logger.Info().Str("to", name).Uint64("epoch", page.Position.Epoch).Uint64("position", page.Position.Revision).Msg("page_offered")
	}
}

// choose returns a random candidate; an empty name if there is none.
func (o *offering) choose(away bool) (name string, address netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	eligible := 0
	for candidate, c := range o.candidates {
		if !away && !c.local {
			continue
		}
		eligible++
		if o.random.IntN(eligible) == 0 {
			name, address = candidate, c.address
		}
	}
	return name, address
}
