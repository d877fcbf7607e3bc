package edge

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/seed"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// seedDelay is how long a host that starts waits for the store before it asks its seeds.
const seedDelay = 80 * time.Millisecond

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

// run asks the seeds unless the store answers first.
func (s *seeding) run(ctx context.Context, seeds []netip.AddrPort) error {
	if len(seeds) == 0 || wait.Sleep(ctx, seedDelay) != nil || s.isEnded() {
		return nil
	}
	page, from, err := seed.Ask(ctx, seeds)
	if err != nil {
		if ctx.Err() == nil && !s.isEnded() {
			s.logger.Info().Err(err).Int("seeds", len(seeds)).Msg("seeds_not_used")
		}
		return nil
	}
	s.serve(&page, from)
	return nil
}

func (s *seeding) isEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// serve puts the page of a seed in force, unless a view from elsewhere is.
func (s *seeding) serve(page *catalog.Page, from netip.AddrPort) {
	c := catalog.New(catalog.Options{Retention: s.retention})
	c.BeginListing()
	if err := c.AddPage(s.now(), *page); err != nil {
		s.logger.Info().Err(err).Msg("seeds_not_used")
		return
	}
	view, _ := c.TakeView()
	if view.Configuration == nil {
		s.logger.Info().Err(seed.ErrInvalid).Stringer("seed", from).Msg("seeds_not_used")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.version, s.evacuations, s.position = view.Configuration.Version, view.Evacuations, view.Position
	s.requireCurrent()
	s.logger.Info().Stringer("seed", from).Uint64("version", s.version).Int("upstreams", len(view.Upstreams)).
		Uint64("epoch", page.Position.Epoch).Uint64("position", page.Position.Revision).Dur("age_ms", page.Age).Msg("seed_used")
	s.apply(view)
}

// sameEvacuations reports whether both lists name the same data centres. They are sorted.
func sameEvacuations(a, b []catalog.Evacuation) bool {
	return slices.EqualFunc(a, b, func(x, y catalog.Evacuation) bool { return x.DataCentre == y.DataCentre })
}
