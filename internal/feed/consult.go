package feed

import (
	"context"
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// consultInterval is the minimum time between two calls to followers.
	consultInterval = time.Second
	// consultTimeout is the time limit of the calls to one follower.
	consultTimeout = time.Second
)

// NoteFollower records the state of a host that reads this one. If the host knows more,
// for example because it ran while the store lost changes and this host has started since,
// it is read at the next opportunity.
func (f *Feed) NoteFollower(name string, have catalog.Have) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalog.Complete() && knowsMore(have, f.catalog.Have()) {
		f.follower = name
	}
}

// knowsMore reports whether a host with the state have knows something that one with the
// state own does not.
func knowsMore(have, own catalog.Have) bool {
	switch epoch := have.Position.Epoch; {
	case have.Version > own.Version || epoch > own.Position.Epoch:
		return true
	default:
		return epoch == own.Position.Epoch && have.Overrides > own.Overrides
	}
}

// consultFollower reads the follower that knows more than this host, if there is one. It
// does not interrupt a listing.
func (f *Feed) consultFollower(ctx context.Context) {
	f.mu.Lock()
	name := f.follower
	f.follower = ""
	f.mu.Unlock()
	h := f.selector.peer(name)
	if h == nil || !f.listed || f.options.Clock.Now().Sub(f.consultedAt) < consultInterval {
		return
	}
	f.consultedAt = f.options.Clock.Now()
	source := f.options.Peer(*h)
	if source == nil {
		return
	}
	ctx, cancel := f.options.Clock.WithTimeout(ctx, consultTimeout)
	defer cancel()
	f.currentSource = name
	err := f.readFollower(ctx, source)
	f.options.Metrics.observeCall(true, err)
	have := f.have()
	f.options.Logger.Info().Str("source", name).Uint64("version", have.Version).Int("overrides", have.Overrides).Err(err).Msg("follower_consulted")
	f.publishView()
}

// readFollower merges what the source knows, whichever host it reads itself.
func (f *Feed) readFollower(ctx context.Context, source Source) error {
	update, err := source.Watch(ctx, f.have(), confirmWait)
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.catalog.Apply(f.options.Clock.Now(), update) {
			return ErrCompacted
		}
		return nil
	}
	if !errors.Is(err, ErrCompacted) {
		return err
	}
	page, err := source.List(ctx, "", false)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog.BeginListing()
	return f.catalog.AddPage(f.options.Clock.Now(), page)
}
