package config

import (
	"math/rand/v2"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Times of adoption.
const (
	// pullInterval is the mean time between pulls from a random peer.
	pullInterval = time.Second
	// minWatchInterval bounds the rate of a host's platform reads while configurations
	// are published in quick succession.
	minWatchInterval = 500 * time.Millisecond
	// roundWait bounds how long a joining host waits for answers of peers and platform.
	roundWait = time.Second
	// membersWait bounds how long a joining host waits to learn of peers.
	membersWait = time.Second
	// platformPatience is how long a joining host without the duty to watch waits for
	// a peer to hold what the platform has, before it reads all pages there.
	platformPatience = 3 * time.Second
	// patienceStep staggers the end of that wait by rank.
	patienceStep = 100 * time.Millisecond
	// takeoverAfter is the age of the last known platform read at which the next
	// host of a data centre takes on the duty to watch.
	takeoverAfter = 30 * time.Second
	// takeoverStep staggers takeovers by rank.
	takeoverStep = 500 * time.Millisecond
	// takeoverTerm is how long a takeover lasts.
	takeoverTerm = 5 * time.Minute
	// confirmSpread spreads the confirmations of a released address over the hosts. It
	// is shorter than the time for which the address stays in quarantine anyway, and
	// releases within it are confirmed at once.
	confirmSpread = 5 * time.Minute
	// backoffBase and backoffCap bound the delay between failed platform reads.
	backoffBase = 100 * time.Millisecond
	backoffCap  = 30 * time.Second
	// watcherBackoffCap bounds it for the few hosts with the duty to watch, so that a
	// publication right after an outage is in force in time.
	watcherBackoffCap = 1500 * time.Millisecond
	// joiningBackoffCap bounds it while the host has no configuration.
	joiningBackoffCap = 4 * time.Second
)

const (
	// DefaultWatchers is the number of hosts of a data centre that watch the platform.
	DefaultWatchers = 3
	// roundPeers is the number of peers that a joining host asks.
	roundPeers = 5
)

// AdopterOptions configure an Adopter.
type AdopterOptions struct {
	Self host.Host
	Seed uint64
	// Watchers is the number of hosts of a data centre that watch the platform.
	Watchers int
}

// Adopter decides which configuration a host adopts and which it passes on. It
// only ever adopts a higher version than the one it has.
type Adopter struct {
	self     host.Host
	watchers int
	rng      *rand.Rand
	peers    peerSet
	now      time.Time
	actions  []Action

	bundle    *Bundle
	adoptedAt time.Time
	source    Source
	round     *round
	candidate *candidate
	watch     watch
	confirm   confirm
	restore   restore
	pulls     pulling
	// confirmedAt is when somebody was last known to have read the platform.
	confirmedAt time.Time
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

// Start begins the first round. It is called once, before Step.
func (a *Adopter) Start(now time.Time) []Action {
	a.now = now
	a.round = &round{startedAt: now}
	a.pulls.at = now.Add(a.jitter(pullInterval))
	a.beginRound()
	return a.take()
}

// Step takes an event and returns what to do.
func (a *Adopter) Step(now time.Time, event Event) []Action {
	if now.After(a.now) {
		a.now = now
	}
	switch e := event.(type) {
	case MembersChanged:
		a.membersChanged(e)
	case PlatformRead:
		a.platformRead(e)
	case PlatformFailed:
		a.platformFailed(e)
	case Pulled:
		a.pulled(e)
	case PullFailed:
		a.pullFailed(e)
	case Noticed:
		a.noticed(e)
	case Fetched:
		a.fetched(e)
	case FetchFailed:
		a.fetchFailed(e)
	case Confirmed:
		a.confirm.done(e.Version)
		a.scheduleConfirm()
	case ConfirmFailed:
		a.confirmFailed()
	case Restored:
		a.restored()
	case RestoreFailed:
		a.restoreFailed()
	}
	a.runTimers()
	return a.take()
}

// Bundle returns the adopted configuration; nil while there is none.
func (a *Adopter) Bundle() *Bundle { return a.bundle }

func (a *Adopter) do(action Action) { a.actions = append(a.actions, action) }

func (a *Adopter) take() []Action {
	taken := a.actions
	a.actions = nil
	return taken
}

// jitter returns a duration from three to five quarters of the mean.
func (a *Adopter) jitter(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(a.rng.Int64N(int64(mean/2)))
}

// backoff returns the delay after the given number of failures, drawn from half to
// the whole of a bound that doubles up to the limit.
func (a *Adopter) backoff(failures int, limit time.Duration) time.Duration {
	bound := limit
	if failures < 16 {
		bound = min(limit, backoffBase<<max(0, failures-1))
	}
	return bound/2 + time.Duration(a.rng.Int64N(int64(bound/2)))
}

func (a *Adopter) membersChanged(e MembersChanged) {
	a.peers = newPeerSet(a.self, e.View)
	a.askRoundPeers()
}
