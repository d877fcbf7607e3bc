package configrunner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
	"github.com/rs/zerolog"
)

// Capacities of the queues between the event loop and the workers.
const (
	eventQueueLength  = 64
	pullQueueLength   = 16
	notifyQueueLength = 32
	fetchQueueLength  = 4
)

// Numbers of workers for actions that wait for peers. Other kinds of actions have one
// worker each.
const (
	pullWorkers   = 5
	notifyWorkers = 3
)

// Runner drives a host's config.Adopter: an event loop feeds it events, and workers perform
// its actions.
type Runner struct {
	options Options
	// adopter is used by the event loop only.
	adopter *config.Adopter
	metrics *metrics
	logger  zerolog.Logger
	// state is the latest copy of the adopter's state.
	state atomic.Pointer[adopterState]

	// otherRegionHosts are the hosts in other regions, calls to which get a longer deadline.
	otherRegionHosts atomic.Pointer[[]host.ID]

	// events and members are the input of the event loop.
	events  chan config.Event
	members chan membership.View
	// The other channels are the workers' queues, one for each kind of action.
	reads         chan config.ReadPlatform
	pulls         chan config.Pull
	fetches       chan config.Fetch
	notifications chan config.Notify
	confirms      chan config.Confirm
	restores      chan config.Restore

	// missingLoggedAt is when the missing configuration was last logged.
	missingLoggedAt time.Time
	// readsFailing is set while reads of the platform fail.
	readsFailing bool
}

// New returns a runner. Run starts it.
func New(options Options) *Runner {
	options.setDefaults()
	r := &Runner{
		options: options,
		adopter: config.NewAdopter(config.AdopterOptions{
			Self: options.Self, Seed: options.Seed, Watchers: options.Watchers,
		}),
		metrics:       newMetrics(options.Registerer),
		logger:        options.Logger.With().Str("component", "adopt").Logger(),
		events:        make(chan config.Event, eventQueueLength),
		members:       make(chan membership.View, 1),
		reads:         make(chan config.ReadPlatform, 1),
		pulls:         make(chan config.Pull, pullQueueLength),
		fetches:       make(chan config.Fetch, fetchQueueLength),
		notifications: make(chan config.Notify, notifyQueueLength),
		confirms:      make(chan config.Confirm, 1),
		restores:      make(chan config.Restore, 1),
	}
	r.otherRegionHosts.Store(&[]host.ID{})
	r.state.Store(&adopterState{status: config.Status{Reason: "not started", ConfirmedAge: -1}, takenAt: options.Now()})
	return r
}

// Run adopts configurations until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { runWorker(ctx, r.reads, r.readPlatform) })
	wg.Go(func() { runWorker(ctx, r.fetches, r.fetch) })
	wg.Go(func() { runWorker(ctx, r.confirms, r.confirm) })
	wg.Go(func() { runWorker(ctx, r.restores, r.restore) })
	for range pullWorkers {
		wg.Go(func() { runWorker(ctx, r.pulls, r.pull) })
	}
	for range notifyWorkers {
		wg.Go(func() { runWorker(ctx, r.notifications, r.notify) })
	}
	r.runEventLoop(ctx)
	return nil
}

// runWorker performs the actions of one queue until ctx ends.
func runWorker[T any](ctx context.Context, queue <-chan T, perform func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case action := <-queue:
			perform(ctx, action)
		}
	}
}

// runEventLoop starts the adopter and feeds it events until ctx ends.
func (r *Runner) runEventLoop(ctx context.Context) {
	r.performActions(r.adopter.Start(r.options.Now()))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, r.adopter.NextWake().Sub(r.options.Now())))
		var event config.Event
		select {
		case <-ctx.Done():
			return
		case event = <-r.events:
		case view := <-r.members:
			event = config.MembersChanged{View: view}
		case <-timer.C:
			event = config.TimerFired{}
		}
		r.handleEvent(event)
	}
}

// handleEvent feeds the event to the adopter, followed by the failure events of actions
// that found their queue full.
func (r *Runner) handleEvent(event config.Event) {
	pending := []config.Event{event}
	for len(pending) > 0 {
		r.logPlatformReads(pending[0])
		actions := r.adopter.Step(r.options.Now(), pending[0])
		pending = append(pending[1:], r.performActions(actions)...)
	}
}

// performActions dispatches the actions and returns failure events for those that found
// their queue full. It stores the state first, so that a peer that is notified of a
// version can pull it.
func (r *Runner) performActions(actions []config.Action) []config.Event {
	r.storeState()
	var failed []config.Event
	for _, action := range actions {
		if event := r.dispatch(action); event != nil {
			r.metrics.dropped.Inc()
			failed = append(failed, event)
		}
	}
	return failed
}

// dispatch queues the action for its workers, or handles it at once if it needs none. It
// returns a failure event if the queue is full. A Notify that is dropped has none: it is
// harmless, as the peer learns of the version with its next pull.
func (r *Runner) dispatch(action config.Action) config.Event {
	switch a := action.(type) {
	case config.ReadPlatform:
		if !tryEnqueue(r.reads, a) {
			return config.PlatformReadFailed{Err: errQueueFull}
		}
	case config.Pull:
		if !tryEnqueue(r.pulls, a) {
			return config.PullFailed{Peer: a.Peer, Err: errQueueFull}
		}
	case config.Fetch:
		if !tryEnqueue(r.fetches, a) {
			return config.FetchFailed{Source: a.Source, Err: errQueueFull}
		}
	case config.Confirm:
		if !tryEnqueue(r.confirms, a) {
			return config.ConfirmFailed{Err: errQueueFull}
		}
	case config.Restore:
		if !tryEnqueue(r.restores, a) {
			return config.RestoreFailed{Err: errQueueFull}
		}
	case config.Notify:
		if !tryEnqueue(r.notifications, a) {
			r.metrics.dropped.Inc()
		}
	case config.Adopt:
		r.handleAdopt(a)
	case config.Refuse:
		r.handleRefuse(a)
	}
	return nil
}

// tryEnqueue reports whether the queue had room for the item.
func tryEnqueue[T any](queue chan<- T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}

// storeState copies the adopter's state for other goroutines.
func (r *Runner) storeState() {
	now := r.options.Now()
	status := r.adopter.Status(now)
	r.state.Store(&adopterState{bundle: r.adopter.Bundle(), status: status, takenAt: now})
	r.metrics.watching.Set(0)
	if status.Watching {
		r.metrics.watching.Set(1)
	}
	r.logMissing(now, status.Reason)
}

// SetMembers passes a new membership view to the runner. It does not block.
func (r *Runner) SetMembers(view membership.View) {
	var otherRegionHosts []host.ID
	for _, member := range view.Members {
		if member.Host.Region != r.options.Self.Region {
			otherRegionHosts = append(otherRegionHosts, member.Host.ID)
		}
	}
	r.otherRegionHosts.Store(&otherRegionHosts)
	for {
		select {
		case r.members <- view:
			return
		default:
		}
		// Only the newest view matters: drop the one that is queued.
		select {
		case <-r.members:
		default:
		}
	}
}

// Snapshot returns the adopted configuration; nil while there is none.
func (r *Runner) Snapshot() *config.Snapshot {
	if bundle := r.state.Load().bundle; bundle != nil {
		return bundle.Snapshot
	}
	return nil
}

// Status returns the adopter's status, with ConfirmedAge as of now.
func (r *Runner) Status() config.Status {
	s := r.state.Load()
	status := s.status
	status.ConfirmedAge = s.confirmedAge(r.options.Now())
	return status
}
