// Package feed keeps a catalog up to date by reading the platform's store or another
// entry host.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/snapshot"
	"github.com/oatlatch/oatlatch/internal/wait"
)

const (
	// pageTimeout is the time limit for reading one page of a listing. A page has about
	// 1 MB.
	pageTimeout = 2 * time.Second
	// peerInterval is the pause between two calls to another entry host.
	peerInterval = 50 * time.Millisecond
	// minBackoff is the minimum delay after a failed call. The delay doubles with
	// each further failure, up to Timing.MaxBackoff.
	minBackoff = 50 * time.Millisecond
	// confirmWait is how long the watch that confirms a snapshot waits for a change.
	confirmWait = time.Millisecond
	// restoreAttention is how long after a restore of the store its changes are read with
	// restorePause between them: operators and upstreams write again what was lost.
	restoreAttention = 3 * time.Second
	restorePause     = 400 * time.Millisecond
	// lostThreshold is the number of consecutive failed calls after which the source
	// is logged as lost.
	lostThreshold = 3
)

// ErrStale means that the entry host that was read had no recent contact with the store.
var ErrStale = errors.New("entry host has lost contact with the store: read another source")

// ErrIsolated means that no source answers the entry host that was read.
var ErrIsolated = fmt.Errorf("%w: no source answers it", ErrStale)

// ErrLoop means that the entry host that was read itself reads this host.
var ErrLoop = errors.New("entry host reads this host: read another source")

// ErrBehind means that the entry host that was read has not learned yet that the store was
// restored from a copy.
var ErrBehind = errors.New("entry host has not seen the last restore of the store: read another source")

// Options configures a Feed.
type Options struct {
	// Self is the name of this host, DataCentre that of its data centre.
	Self, DataCentre string
	// Store reads the platform's store.
	Store Source
	// Snapshots holds the snapshot that is read before the first listing; nil for none.
	Snapshots snapshot.Store
	// OnStoreRead, if set, is called after each successful read of the store once a
	// listing is complete. It must not block.
	OnStoreRead func()
	// Peer returns a source that reads another entry host, or nil while hosts cannot
	// call each other.
	Peer func(catalog.Host) Source
	// Send sends a message to another entry host. It must not block, and may drop the
	// message.
	Send func(catalog.Host, Message)
	// OnSilent, if set, is called with the name of each host that does not answer this one. It
	// must not block.
	OnSilent func(name string)
	Timing   Timing
	// Retention is how long the catalog keeps what only flows opened earlier refer to;
	// zero means catalog.DefaultRetention.
	Retention time.Duration
	// OnView is called with each changed view once there is a configuration and either
	// a complete listing or some upstream.
	OnView func(catalog.View)
	// OnHosts, if set, is called with each changed view, also before there is a configuration:
	// hosts that start together need not wait for one to know each other.
	OnHosts func(catalog.View)
	Logger  zerolog.Logger
	Metrics *Metrics
	// Now returns the current time. It is not used if there is a Clock.
	Now func() time.Time
	// Clock is the clock; nil for one that runs in real time and reads Now.
	Clock Clock
	// Seed seeds the random backoff and the random choice of peers.
	Seed uint64
}

// Feed keeps a catalog up to date. Its methods may be called concurrently, Run and
// RunPartners only once.
type Feed struct {
	options Options
	random  *rand.Rand
	// failures is the number of consecutive failed calls.
	failures int
	// lastSource is the name of the source that answered last.
	lastSource string
	// nextPage is the cursor of the next page to read until a listing is complete. It is
	// empty for the first page.
	nextPage string
	// allowStale allows the store to answer a listing with stale pages. It is set for
	// the first listing only.
	allowStale bool
	// currentRequired is set if even the first listing must not be stale.
	currentRequired atomic.Bool
	// confirming is set while a snapshot awaits the changes since its position. They are
	// read from the store at once, without waiting for a change.
	confirming bool
	// compactions is the number of watches that had to be replaced by a listing since the
	// last one that was answered.
	compactions int
	// lastChanges is the number of changes in the last answer.
	lastChanges int
	// consultedAt is when a follower was last consulted.
	consultedAt time.Time
	// peerWaits is the number of calls of awaitPeers.
	peerWaits int

	// background are the reads of hosts that have told that they know more.
	background *background

	// publishing is held while a view is published, so that views are published in order. It
	// guards unpublished, the last view that could not be served yet; nil if there is none.
	publishing  sync.Mutex
	unpublished *catalog.View

	// mu guards the fields below. It may be locked while publishing is held, but not the
	// other way round.
	mu sync.Mutex
	// listed is set once a listing is complete.
	listed   bool
	selector *sourceSelector
	partners *partnerSet
	lag      lagState
	exchange exchange
	// watchingOperator is set while the operator's records are watched.
	watchingOperator bool
	timing           Timing
	catalog          *catalog.Catalog
	// changed is closed and replaced when the catalog's view changes.
	changed chan struct{}
	// via is the name of the host that is read; empty if the store is read.
	via string
	// follower is the name of a host that reads this one and knows more; empty if there
	// is none.
	follower string
}

// New returns a feed with an empty catalog.
func New(options Options) *Feed {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	if options.Clock == nil {
		options.Clock = wait.Clock{Time: options.Now}
	}
	return &Feed{
		options: options, random: random, allowStale: true, timing: options.Timing,
		selector:   newSourceSelector(options.Self, options.DataCentre, random),
		partners:   newPartnerSet(options.Self, options.DataCentre),
		exchange:   exchange{neighbours: make(map[string]*neighbour)},
		catalog:    catalog.New(catalog.Options{OutageThreshold: options.Timing.OutageThreshold(), Retention: options.Retention}),
		changed:    make(chan struct{}),
		background: newBackground(options.Clock),
	}
}

// SetTiming replaces the feed's timing.
func (f *Feed) SetTiming(t Timing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timing = t
	f.catalog.SetOutageThreshold(t.OutageThreshold())
}

func (f *Feed) currentTiming() Timing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.timing
}

// RequireCurrent makes the listings that begin from now on ones that are not stale.
func (f *Feed) RequireCurrent() { f.currentRequired.Store(true) }

// Run reads from sources until ctx ends. It always returns nil.
func (f *Feed) Run(ctx context.Context) error {
	defer f.background.stop()
	f.restore(ctx)
	for {
		delay := f.poll(ctx)
		if f.options.Clock.Sleep(ctx, delay) != nil {
			return nil
		}
	}
}

// poll makes one call to a source and returns the delay before the next one.
func (f *Feed) poll(ctx context.Context) time.Duration {
	f.consultFollower(ctx)
	target, listing := f.nextSource()
	source, name := f.options.Store, storeName
	if target != nil {
		if peer := f.options.Peer(*target); peer != nil {
			source, name = peer, target.Name
		} else if f.awaitPeers() {
			return peerWait
		} else {
			target = nil
		}
	}
	f.setVia(target)
	began := f.options.Clock.Now()
	err := f.read(ctx, source, listing, target != nil)
	confirmed := f.confirming
	f.confirming = false
	if ctx.Err() != nil {
		return 0
	}
	f.options.Metrics.observeCall(target != nil, err)
	f.publishView(name)
	if err != nil && !errors.Is(err, ErrCompacted) {
		f.recordSourceFailure(target, cooldownAfter(err, f.options.Clock.Now().Sub(began)))
		return f.recordFailure(name, err)
	}
	complete := f.recordSourceSuccess(target)
	f.recordSuccess(name)
	if target == nil && complete && f.options.OnStoreRead != nil {
		f.options.OnStoreRead()
	}
	switch {
	case err != nil:
		delay := f.relistDelay()
		f.options.Logger.Info().Str("source", name).Uint64("epoch", f.have().Position.Epoch).
			Uint64("position", f.have().Position.Revision).Dur("delay_ms", delay).Msg("history_dropped")
		f.restartListing()
		return delay
	case listing, confirmed:
		// Read the next page, or the changes since the listing, which may be stale,
		// without delay.
		return 0
	case target != nil:
		return peerInterval
	default:
		return f.storePause()
	}
}

// nextSource returns the host to read, or nil for the store, and whether to read a listing.
func (f *Feed) nextSource() (target *catalog.Host, listing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.confirming {
		target = f.selector.next(f.options.Clock.Now())
	}
	return target, !f.listed
}

// refusalTime is the time within which a host that runs no process refuses a call. It covers
// the round trip between data centres.
const refusalTime = 100 * time.Millisecond

// cooldownAfter returns how long a host is not read whose call failed after the time. One that
// answers but is of no use, and one that does not answer, are left for longer than one that
// refuses.
func cooldownAfter(err error, took time.Duration) time.Duration {
	if took > refusalTime || errors.Is(err, ErrStale) || errors.Is(err, ErrLoop) || errors.Is(err, ErrBehind) {
		return peerCooldown
	}
	return refusedCooldown
}

// recordSourceFailure records a failed call to the host, or to the store if it is nil.
func (f *Feed) recordSourceFailure(target *catalog.Host, cooldown time.Duration) {
	f.mu.Lock()
	now := f.options.Clock.Now()
	messages := f.noteFailureLocked(now)
	f.selector.recordFailure(now, target, cooldown)
	f.mu.Unlock()
	f.send(messages)
	if target != nil {
		f.noteSilent(target.Name)
	}
}

// noteSilent tells that the named host does not answer.
func (f *Feed) noteSilent(name string) {
	if f.options.OnSilent != nil {
		f.options.OnSilent(name)
	}
}

// recordSourceSuccess records that the host, or the store if it is nil, answered. It
// reports whether the last listing is complete.
func (f *Feed) recordSourceSuccess(target *catalog.Host) (listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.selector.recordSuccess(target)
	f.lag.answeredAt = f.options.Clock.Now()
	return f.listed
}

// relistDelay returns the delay before a listing that replaces a watch. It grows while no
// watch is answered, so that a store which refuses each position is not called in a loop.
func (f *Feed) relistDelay() time.Duration {
	f.compactions++
	if f.compactions == 1 {
		return 0
	}
	return min(f.currentTiming().Pause, minBackoff<<min(f.compactions+1, 8))
}

// storePause returns the pause before the next watch of the store.
func (f *Feed) storePause() time.Duration {
	f.mu.Lock()
	restoredAt := f.catalog.RestoredAt()
	f.mu.Unlock()
	pause := f.currentTiming().Pause
	switch {
	case restoredAt.IsZero() || f.options.Clock.Now().Sub(restoredAt) >= restoreAttention:
		return pause
	case f.lastChanges == 0:
		return 0 // the watch itself has waited
	default:
		return min(pause, restorePause)
	}
}

// storeName is the name of the store as a source in logs.
const storeName = "store"

func (f *Feed) have() catalog.Have {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Have()
}

// recordFailure counts a failed call and returns the delay before the next one: an
// exponential backoff of which half is random.
func (f *Feed) recordFailure(source string, err error) time.Duration {
	f.failures++
	if f.failures == lostThreshold {
		f.options.Logger.Warn().Str("source", source).Err(err).Int("failures", f.failures).
			Dur("age_ms", f.Age()).Msg("source_lost")
	}
	limit := min(f.currentTiming().MaxBackoff, minBackoff<<min(f.failures, 8))
	return limit/2 + time.Duration(f.random.Int64N(int64(limit/2)))
}

// recordSuccess resets the number of failures. It logs if the source differs from the
// last one that answered, or if it answers again after it was logged as lost.
func (f *Feed) recordSuccess(source string) {
	if f.failures >= lostThreshold || f.lastSource != source {
		f.options.Logger.Info().Str("source", source).Str("before", f.lastSource).Int("failures", f.failures).Msg("source_changed")
	}
	f.failures, f.lastSource = 0, source
}

// Age returns the time since the store last answered, directly or through other hosts.
// It returns zero if it never did.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	contact := f.catalog.LastContact()
	if contact.IsZero() {
		return 0
	}
	return f.options.Clock.Now().Sub(contact)
}
