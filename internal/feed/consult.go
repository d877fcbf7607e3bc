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

// errListing means that the answer of a host was not merged, because it would have ended an
// unfinished listing.
var errListing = errors.New("a listing of the store is being read: wait for its end")

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
		return epoch == own.Position.Epoch && (have.Overrides > own.Overrides || have.KnowsEarlier(own) ||
			have.Former.Count >= own.Former.Count && have.KnowsOtherFormer(own))
	}
}

// consultFollower reads the follower that knows more than this host, if there is one. It
// does not interrupt a listing.
func (f *Feed) consultFollower(ctx context.Context) {
	f.mu.Lock()
	name, listed := f.follower, f.listed
	f.follower = ""
	var h *catalog.Host
	if known := f.selector.peer(name); known != nil {
		follower := *known
		h = &follower
	}
	f.mu.Unlock()
	if h == nil || !listed || f.options.Clock.Now().Sub(f.consultedAt) < consultInterval {
		return
	}
	f.consultedAt = f.options.Clock.Now()
	source := f.options.Peer(*h)
	if source == nil {
		return
	}
	ctx, cancel := f.options.Clock.WithTimeout(ctx, consultTimeout)
	defer cancel()
	err := f.readHost(ctx, source)
	f.options.Metrics.observeCall(true, err)
	have := f.have()
	f.options.Logger.Info().Str("source", name).Uint64("version", have.Version).Int("overrides", have.Overrides).Err(err).Msg("follower_consulted")
	f.publishView(name)
}

// readHost merges what the source knows, whichever host it reads itself.
func (f *Feed) readHost(ctx context.Context, source Source) error {
	have := f.have()
	update, err := source.Watch(ctx, have, confirmWait)
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.catalog.Apply(f.options.Clock.Now(), update) && !f.supersededLocked(have) {
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
	if f.catalog.Listing() {
		return errListing
	}
	f.catalog.BeginListing()
	return f.catalog.AddPage(f.options.Clock.Now(), page)
}
