package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/seed"
	"github.com/oatlatch/oatlatch/internal/wait"
)

const (
	// seedDelay is how long a host that starts waits for the store before it asks its seeds.
	seedDelay = 80 * time.Millisecond
	// minSeedBackoff and maxSeedBackoff are the delays until a host asks again after all
	// seeds have refused. A seed that has lost power too may be offered a page meanwhile.
	minSeedBackoff = 250 * time.Millisecond
	maxSeedBackoff = 4 * time.Second
	// seedFollowInterval is the time between questions of a host that serves by the page of
	// a seed. It is below the time within which configurations must be in force.
	seedFollowInterval = time.Second
)

// seeding gives a host that starts the state of a seed while neither the store nor a host
// with the peer key has told it anything. That state is not authentic: it only serves
// callers, is neither relayed nor written, and gives way to the first view from elsewhere.
type seeding struct {
	logger zerolog.Logger
	// now returns the current time.
	now func() time.Time
	// retention is how long a flow may refer to what the catalog no longer has.
	retention time.Duration
	// apply makes a view the one in force.
	apply func(catalog.View)
	// requireCurrent makes the first listing of the store one that is not stale.
	requireCurrent func()

	mu sync.Mutex
	// version is the version of the configuration of the seed; zero if none is in force.
	version uint64
	// evacuations are those of the seed, at its position.
	evacuations []catalog.Evacuation
	position    catalog.Position
	// tag is that of the seed's page.
	tag string
	// ended is set once a view from elsewhere is in force.
	ended bool
}

// admit reports whether a view from elsewhere than a seed may be put in force. One that may
// be out of date must be confirmed first if it has an older configuration than the seed's, or
// is older and differs in what is evacuated, so that nothing reverts because a snapshot or a
// stale listing is old.
func (s *seeding) admit(view *catalog.View) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	older := view.Configuration.Version < s.version || s.position.After(view.Position) && !sameEvacuations(view.Evacuations, s.evacuations)
	if view.Partial && older {
		return false
	}
	s.ended = true
	return true
}

// run asks the seeds until the store or a host with the peer key answers. While a page of
// theirs is in force it follows its changes, since the store tells this host none.
func (s *seeding) run(ctx context.Context, seeds []netip.AddrPort) error {
	if len(seeds) == 0 {
		return nil
	}
	seeds = slices.Clone(seeds)
	var have string
	backoff := minSeedBackoff
	for delay := seedDelay; wait.Sleep(ctx, delay) == nil && !s.isEnded(); {
		answer, err := seed.Ask(ctx, seeds, have)
		switch {
		case ctx.Err() != nil || s.isEnded():
			return nil
		case err == nil:
			if !answer.Unchanged {
				s.serve(&answer.Page, answer.Seed)
				have = answer.Tag
			}
			delay = seedFollowInterval
			// The next one first, as this one may be behind the others.
			seeds = append(seeds[1:], seeds[0])
			continue
		case backoff == minSeedBackoff && have == "":
			s.logger.Info().Err(err).Int("seeds", len(seeds)).Msg("seeds_not_used")
		}
		delay = backoff/2 + rand.N(backoff/2)
		backoff = min(2*backoff, maxSeedBackoff)
	}
	return nil
}

func (s *seeding) isEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// Take implements seed.Offered.
func (s *seeding) Take(page *catalog.Page) bool { return s.serve(page, netip.AddrPort{}) }

// Tag implements seed.Offered.
func (s *seeding) Tag() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tag
}

// serve puts the page of a seed, or one that a host without an address here has offered, in
// force unless a view from elsewhere is. It returns false if it does not.
func (s *seeding) serve(page *catalog.Page, from netip.AddrPort) bool {
	c := catalog.New(catalog.Options{Retention: s.retention})
	c.BeginListing()
	if err := c.AddPage(s.now(), *page); err != nil {
		s.logger.Info().Err(err).Msg("seeds_not_used")
		return false
	}
	view, _ := c.TakeView()
	if view.Configuration == nil {
		s.logger.Info().Err(seed.ErrInvalid).Stringer("seed", from).Msg("seeds_not_used")
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.version != 0 && (view.Configuration.Version < s.version || !page.Position.After(s.position)) {
		return false // a seed that is behind, or has nothing new
	}
	s.version, s.evacuations, s.position, s.tag = view.Configuration.Version, view.Evacuations, view.Position, seed.Tag(page)
	s.requireCurrent()
	s.logger.Info().Stringer("seed", from).Uint64("version", s.version).Int("upstreams", len(view.Upstreams)).
		Uint64("epoch", page.Position.Epoch).Uint64("position", page.Position.Revision).Dur("age_ms", page.Age).Msg("seed_used")
	s.apply(view)
	return true
}

// sameEvacuations reports whether both lists name the same data centres. They are sorted.
func sameEvacuations(a, b []catalog.Evacuation) bool {
	return slices.EqualFunc(a, b, func(x, y catalog.Evacuation) bool { return x.DataCentre == y.DataCentre })
}
