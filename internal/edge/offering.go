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
	// minOfferPause and maxOfferPause are the mean times between two offers while some host is
	// silent. The time doubles with each offer that no host needed.
	minOfferPause = 200 * time.Millisecond
	maxOfferPause = 4 * time.Second
	// candidateRetention is how long a host is remembered after its registration has ended.
	candidateRetention = 2 * time.Minute
	// maxCandidates is the maximum number of hosts that are remembered.
	maxCandidates = 4096
	// offeringStream distinguishes the random numbers from others of the same seed.
	offeringStream = 17
)

// offering gives this host's page to hosts that have started and that the store does not
// answer. They know neither the other hosts nor the peer key, but were known before, and do not
// answer as hosts with the peer key do.
type offering struct {
	self, dataCentre string
	// page returns the host's page, or false while it is incomplete.
	page func() (catalog.Page, bool)
	// offer gives a host the page unless it needs none. needed is set if it has no catalog of
	// its own, and taken if it has put the page in force.
	offer  func(ctx context.Context, host netip.AddrPort, page func() (catalog.Page, bool)) (needed, taken bool, err error)
	logger zerolog.Logger
	now    func() time.Time
	random *rand.Rand
	// wake receives a value when a host has become silent.
	wake chan struct{}

	mu sync.Mutex
	// candidates are the other hosts by name.
	candidates map[string]*candidate
}

// candidate is a host that may need a page.
type candidate struct {
	address    netip.AddrPort
	dataCentre string
	// seen is when the host was last registered.
	seen time.Time
	// silent is set if the host may have started and not have learned anything yet.
	silent bool
	// offeredAt is when the host was last chosen for an offer.
	offeredAt time.Time
}

// setHosts adds the registered hosts, and removes those that have long been gone. Hosts whose
// registration has ended may have started again.
func (o *offering) setHosts(hosts []catalog.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if o.candidates == nil {
		o.candidates = make(map[string]*candidate)
	}
	for i := range hosts {
		h := &hosts[i]
		known := o.candidates[h.Name]
		switch {
		case h.Name == o.self || !h.Seed.IsValid():
		case known != nil:
			known.address, known.dataCentre, known.seen = h.Seed, h.DataCentre, now
		case len(o.candidates) < maxCandidates:
			o.candidates[h.Name] = &candidate{address: h.Seed, dataCentre: h.DataCentre, seen: now}
		}
	}
	for name, c := range o.candidates {
		switch absent := now.Sub(c.seen); {
		case absent >= candidateRetention:
			delete(o.candidates, name)
		case absent > 0 && !c.silent:
			c.silent = true
			o.wakeUp()
		}
	}
}

// noteSilent records that the named host has not answered this one. Other hosts of its data
// centre may have started as well, and have nobody there who could tell them anything.
func (o *offering) noteSilent(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	host := o.candidates[name]
	if host == nil || host.silent {
		return
	}
	host.silent = true
	if host.dataCentre != o.dataCentre {
		for _, c := range o.candidates {
			c.silent = c.silent || c.dataCentre == host.dataCentre
		}
	}
	o.wakeUp()
}

// wakeUp makes run look for silent hosts. It never blocks.
func (o *offering) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run offers the page to silent hosts until ctx is cancelled.
func (o *offering) run(ctx context.Context) error {
	pause := minOfferPause
	for {
		if wait.Sleep(ctx, pause/2+time.Duration(o.random.Int64N(int64(pause)))) != nil {
			return nil
		}
		name, address := o.choose()
		woken := o.awaitWake(ctx, name == "")
		switch {
		case name == "":
			pause = minOfferPause
		case o.offerTo(ctx, name, address) || woken:
			pause = minOfferPause
		default:
			pause = min(2*pause, maxOfferPause)
		}
	}
}

// awaitWake reports whether a host has become silent. If block is set, it waits for that or for
// the end of ctx.
func (o *offering) awaitWake(ctx context.Context, block bool) (woken bool) {
	if block {
		select {
		case <-ctx.Done():
		case <-o.wake:
		}
		return true
	}
	select {
	case <-o.wake:
		return true
	default:
		return false
	}
}

// offerTo offers the page to the named host. It reports whether that needed one.
func (o *offering) offerTo(ctx context.Context, name string, address netip.AddrPort) (needed bool) {
	var offered catalog.Position
	needed, taken, err := o.offer(ctx, address, func() (catalog.Page, bool) {
		page, ok := o.page()
		offered = page.Position
		return page, ok
	})
	switch {
	case err != nil:
		o.logger.Debug().Err(err).Str("to", name).Msg("page_not_offered") // it is usually down
	case !needed:
		o.mu.Lock()
		if c := o.candidates[name]; c != nil {
			c.silent = false
		}
		o.mu.Unlock()
	case taken:
		o.logger.Info().Str("to", name).Uint64("epoch", offered.Epoch).Uint64("position", offered.Revision).Msg("page_offered")
	}
	return needed
}

// choose returns the silent host that was chosen least recently, or a random one of several; an
// empty name if there is none.
func (o *offering) choose() (name string, address netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var chosen *candidate
	ties := 0
	for candidate, c := range o.candidates {
		switch {
		case !c.silent || chosen != nil && c.offeredAt.After(chosen.offeredAt):
			continue
		case chosen == nil || c.offeredAt.Before(chosen.offeredAt):
			ties = 0
		}
		ties++
		if o.random.IntN(ties) == 0 {
			name, chosen = candidate, c
		}
	}
	if chosen == nil {
		return "", netip.AddrPort{}
	}
	chosen.offeredAt = o.now()
	return name, chosen.address
}
