package config

import (
	"math/rand/v2"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Intervals, timeouts and delays of an Adopter.
const (
	// pullInterval is the mean time between periodic pulls.
	pullInterval = time.Second
	// minWatchInterval is the mean delay from the answer to a platform read until the next
	// read may start. It limits the read rate while configurations are published in quick
	// succession.
	minWatchInterval = 500 * time.Millisecond
	// roundTimeout bounds how long a join round waits for answers of the peers and the
	// platform.
	roundTimeout = time.Second
	// membersTimeout bounds how long a joining host waits for a membership view with peers.
	membersTimeout = time.Second
	// pageReadDelay is how long a joining host whose rank does not make it a watcher waits
	// for a peer to have the platform's version before it reads all pages from the platform
	// itself.
	pageReadDelay = 3 * time.Second
	// pageReadDelayStep, multiplied by the rank of the host in its peerSet, is added to
	// pageReadDelay, so that the hosts do not all read at the same time.
	pageReadDelayStep = 100 * time.Millisecond
	// takeoverAfter is the age of the last known platform read after which hosts that are
	// not watchers become watchers in the order of their rank.
	takeoverAfter = 30 * time.Second
	// takeoverStep, multiplied by the rank of the host, is added to takeoverAfter.
	takeoverStep = 500 * time.Millisecond
	// takeoverDuration is how long such a host remains a watcher.
	takeoverDuration = 5 * time.Minute
	// maxConfirmDelay is the upper bound of the random delay before a host confirms
	// released addresses, which spreads the confirmations of all hosts over time. It is
	// shorter than the minimum quarantine of an address, so it does not prolong the
	// quarantine, and one confirmation covers all releases within the delay.
	maxConfirmDelay = 5 * time.Minute
	// backoffBase is the upper bound of the first retry delay after a failed platform call;
	// backoffCap is the limit to which that bound doubles.
	backoffBase = 100 * time.Millisecond
	backoffCap  = 30 * time.Second
	// watcherBackoffCap replaces backoffCap for the reads of the few watchers, so that a
	// publication right after an outage still reaches all hosts in time.
	watcherBackoffCap = 1500 * time.Millisecond
	// joiningBackoffCap replaces backoffCap for reads while the host has no configuration.
	joiningBackoffCap = 4 * time.Second
)

const (
	// DefaultWatchers is the default number of hosts of a data centre that watch the platform.
	DefaultWatchers = 3
	// maxRoundPeers is the maximum number of peers pulled from in one join round.
	maxRoundPeers = 5
)

// AdopterOptions configures an Adopter.
type AdopterOptions struct {
	Self host.Host
	// Seed seeds the random choices together with the incarnation of Self.
	Seed uint64
	// Watchers is the number of hosts of a data centre that watch the platform;
	// DefaultWatchers if it is not positive.
	Watchers int
}

// Adopter is the state machine that decides which configuration a host adopts and which
// version it announces to its peers. Its driver passes events to Step and performs the
// returned actions. An Adopter only replaces its configuration by one with a higher version.
type Adopter struct {
	self     host.Host
	watchers int
	rng      *rand.Rand
	peers    peerSet
	// now is the latest time passed to Start or Step.
	now time.Time
	// actions collects the actions that the current call of Start or Step returns.
	actions []Action

	// bundle is the adopted configuration; nil while there is none.
	bundle    *Bundle
	adoptedAt time.Time
	source    Source
	// round is nil once a configuration is adopted.
	round *joinRound
	// candidate is nil while no pages are being fetched.
	candidate *candidate
	watch     watchState
	confirm   confirmState
	restore   restoreState
	pull      pullState
	// lastPlatformRead is the time of the latest known platform read by any host; zero when
	// none is known.
	lastPlatformRead time.Time
}

// NewAdopter returns an adopter without a configuration.
func NewAdopter(o AdopterOptions) *Adopter {
	if o.Watchers <= 0 {
		o.Watchers = DefaultWatchers
	}
	return &Adopter{
		self:     o.Self,
		watchers: o.Watchers,
		rng:      rand.New(rand.NewPCG(o.Seed, uint64(o.Self.Incarnation))),
	}
}

// Start begins the first join round and returns the first actions. It must be called once,
// before Step.
func (a *Adopter) Start(now time.Time) []Action {
	a.now = now
	a.round = &joinRound{startedAt: now}
	a.pull.nextAt = now.Add(a.jitter(pullInterval))
	a.startRound()
	return a.takeActions()
}

// Step processes an event, runs the timers that are due and returns the resulting actions.
func (a *Adopter) Step(now time.Time, event Event) []Action {
	if now.After(a.now) {
		a.now = now
	}
	switch e := event.(type) {
	case MembersChanged:
		a.handleMembersChanged(e)
	case PlatformRead:
		a.handlePlatformRead(e)
	case PlatformReadFailed:
		a.handlePlatformReadFailed(e)
	case Pulled:
		a.handlePulled(e)
	case PullFailed:
		a.handlePullFailed(e)
	case PeerNotified:
		a.handlePeerNotified(e)
	case Fetched:
		a.handleFetched(e)
	case FetchFailed:
		a.handleFetchFailed(e)
	case Confirmed:
		a.confirm.complete(e.Version)
		a.scheduleConfirm()
	case ConfirmFailed:
		a.handleConfirmFailed()
	case Restored:
		a.handleRestored()
	case RestoreFailed:
		a.handleRestoreFailed()
	}
	a.runTimers()
	return a.takeActions()
}

// Bundle returns the adopted configuration, or nil if there is none yet.
func (a *Adopter) Bundle() *Bundle { return a.bundle }

// emit adds an action to those that the current call of Start or Step returns.
func (a *Adopter) emit(action Action) { a.actions = append(a.actions, action) }

// takeActions returns the collected actions and clears them.
func (a *Adopter) takeActions() []Action {
	taken := a.actions
	a.actions = nil
	return taken
}

// jitter returns a random duration in [3/4 mean, 5/4 mean).
func (a *Adopter) jitter(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(a.rng.Int64N(int64(mean/2)))
}

// backoff returns a random delay in [bound/2, bound) after the given number of failures.
// The bound starts at backoffBase and doubles with every failure up to limit.
func (a *Adopter) backoff(failures int, limit time.Duration) time.Duration {
	bound := limit
	if failures < 16 {
		bound = min(limit, backoffBase<<max(0, failures-1))
	}
	return bound/2 + time.Duration(a.rng.Int64N(int64(bound/2)))
}

func (a *Adopter) handleMembersChanged(e MembersChanged) {
	a.peers = newPeerSet(a.self, e.View)
	a.pullFromRoundPeers()
}
