package feed

import (
	"context"
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

const (
	// partnerGrace is how long this host's own source has to deliver what another host knows.
	// Usually it does so within milliseconds, and the other host need not be read.
	partnerGrace = 100 * time.Millisecond
	// partnerReadTimeout is the time limit for reading a partner that knows more.
	partnerReadTimeout = 500 * time.Millisecond
	// partnerReadGap is the minimum time between the beginnings of two reads of partners, and
	// fruitlessGap that after a read which did not bring what the partner knows, so that a
	// partner whose answers cannot be merged is not read in a loop.
	partnerReadGap = 100 * time.Millisecond
	fruitlessGap   = time.Second
	// lagLogInterval is the minimum time between two log lines about sources that are behind.
	lagLogInterval = time.Second
)

// lagState tells how far this host is behind.
type lagState struct {
	// heard is the progress of a host that knew more, and since is when this host heard
	// of it; zero if it never did.
	heard catalog.Progress
	since time.Time
	// answeredAt is when a source or partner last answered this host.
	answeredAt time.Time
	// failedAt is when the last call to a source or partner failed; zero if none has.
	failedAt time.Time
	// nextReadAt is when the next read of a partner may begin.
	nextReadAt time.Time
	// loggedAt is when a source that is behind was last logged, and unlogged is the number
	// of those found since.
	loggedAt time.Time
	unlogged int
}

// hearLocked records the progress of another host. It reports whether that knows more than
// this one. f.mu must be held.
func (f *Feed) hearLocked(known catalog.Progress) bool {
	own := f.catalog.Progress()
	if !own.Lacks(known) {
		return false
	}
	if !own.Lacks(f.lag.heard) {
		f.lag.heard, f.lag.since = known, f.options.Clock.Now()
	}
	return true
}

// hearFromLocked records what another host has told. If it knows more than this host, it is
// read unless this host's own source delivers the same within partnerGrace. f.mu must be held.
func (f *Feed) hearFromLocked(h *catalog.Host, known PeerProgress) {
	if !f.hearLocked(known.Progress) {
		f.noteContactLocked(known)
		return
	}
	target := *h
	f.background.after(partnerGrace, func(ctx context.Context) { f.readIfLacking(ctx, target, known.Progress) })
}

// noteContactLocked records when the store last answered a host that knows nothing more than
// this one. Hosts of earlier builds tell no age with their calls, which is then zero. f.mu must
// be held.
func (f *Feed) noteContactLocked(known PeerProgress) {
	if known.Age > 0 && known.Position.Epoch == f.catalog.Position().Epoch {
		f.catalog.NoteContact(f.options.Clock.Now(), known.Age)
	}
}

// readIfLacking reads the host if this one still lacks something of its progress, and no other
// host has just been read.
func (f *Feed) readIfLacking(ctx context.Context, h catalog.Host, known catalog.Progress) {
	source := f.options.Peer(h)
	if source == nil || !f.beginPartnerRead(known) {
		return
	}
	err := f.readPartner(ctx, source, h.Name)
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	switch {
	case err != nil && !isMergeError(err):
		f.partners.recordFailure(now, h.Name)
	case f.catalog.Progress().Lacks(known):
		f.lag.nextReadAt = now.Add(fruitlessGap)
	default:
		f.lag.nextReadAt = now
	}
}

// beginPartnerRead reports whether a host with the progress has to be read now.
func (f *Feed) beginPartnerRead(known catalog.Progress) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	if !f.catalog.Progress().Lacks(known) || now.Before(f.lag.nextReadAt) {
		return false
	}
	f.lag.nextReadAt, f.lag.failedAt = now.Add(partnerReadGap), now
	return true
}

// readPartner merges what the partner knows and logs that the source is behind.
func (f *Feed) readPartner(ctx context.Context, source Source, name string) error {
	before := f.have()
	readCtx, cancel := f.options.Clock.WithTimeout(ctx, partnerReadTimeout)
	err := f.readHost(readCtx, source)
	cancel()
	if ctx.Err() != nil {
		return nil
	}
	f.options.Metrics.observePartnerRead(err)
	f.publishView(name)
	f.logBehind(name, before, err)
	return err
}

// isMergeError reports whether a host answered, but what it knows was not merged.
func isMergeError(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrBehind) || errors.Is(err, errListing)
}

// logBehind logs that this host's source is behind the partner, at most once in each
// lagLogInterval.
func (f *Feed) logBehind(partner string, before catalog.Have, err error) {
	f.mu.Lock()
	source, now := f.via, f.options.Clock.Now()
	if source == "" {
		source = storeName
	}
	behind, have := now.Sub(f.lag.since), f.catalog.Have()
	f.lag.unlogged++
	count := f.lag.unlogged
	log := now.Sub(f.lag.loggedAt) >= lagLogInterval
	if log {
		f.lag.loggedAt, f.lag.unlogged = now, 0
	}
	f.mu.Unlock()
	if log {
		f.options.Logger.Info().Str("source", source).Str("partner", partner).Dur("behind_ms", behind).Int("count", count).
			Uint64("epoch", have.Position.Epoch).Uint64("position", have.Position.Revision).Uint64("position_before", before.Position.Revision).
			Uint64("version", have.Version).Uint64("version_before", before.Version).Err(err).Msg("source_behind")
	}
}

// Behind returns for how long this host has known that it lacks what another host knows, or
// zero if it lacks nothing that it has heard of.
func (f *Feed) Behind() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lag.since.IsZero() || !f.catalog.Progress().Lacks(f.lag.heard) {
		return 0
	}
	return f.options.Clock.Now().Sub(f.lag.since)
}
