package adopt

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

// Capacities of the rings between the duties.
const (
	eventCapacity  = 64
	pullCapacity   = 16
	notifyCapacity = 32
	fetchCapacity  = 4
)

// Numbers of goroutines of the duties that wait on peers.
const (
	pullers   = 5
	notifiers = 3
)

// Runner drives a host's config.Adopter.
type Runner struct {
	options Options
	adopter *config.Adopter
	metrics *metrics
	logger  zerolog.Logger
	state   atomic.Pointer[state]

	// others are the hosts of other regions.
	others atomic.Pointer[[]host.ID]

	events   chan config.Event
	members  chan membership.View
	reads    chan config.ReadPlatform
	pulls    chan config.Pull
	fetches  chan config.Fetch
	notices  chan config.Notify
	confirms chan config.Confirm
	restores chan config.Restore

	// reasonLogged is when the lack of a configuration was last logged.
	reasonLogged time.Time
	// watchFailed is set while reads of the platform fail.
	watchFailed bool
}

// New returns a runner that has not started.
func New(options Options) *Runner {
	options.setDefaults()
	r := &Runner{
		options: options,
		adopter: config.NewAdopter(config.AdopterOptions{
			Self: options.Self, Seed: options.Seed, Watchers: options.Watchers,
		}),
		metrics:  newMetrics(options.Registerer),
		logger:   options.Logger.With().Str("component", "adopt").Logger(),
		events:   make(chan config.Event, eventCapacity),
		members:  make(chan membership.View, 1),
		reads:    make(chan config.ReadPlatform, 1),
		pulls:    make(chan config.Pull, pullCapacity),
		fetches:  make(chan config.Fetch, fetchCapacity),
		notices:  make(chan config.Notify, notifyCapacity),
		confirms: make(chan config.Confirm, 1),
		restores: make(chan config.Restore, 1),
	}
	r.others.Store(&[]host.ID{})
	r.state.Store(&state{status: config.Status{Reason: "not started", ConfirmedAge: -1}, at: options.Now()})
	return r
}

// Run adopts configurations until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	var joined sync.WaitGroup
	defer joined.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	joined.Go(func() { serve(ctx, r.reads, r.readPlatform) })
	joined.Go(func() { serve(ctx, r.fetches, r.fetch) })
	joined.Go(func() { serve(ctx, r.confirms, r.confirm) })
	joined.Go(func() { serve(ctx, r.restores, r.restore) })
	for range pullers {
		joined.Go(func() { serve(ctx, r.pulls, r.pull) })
	}
	for range notifiers {
		joined.Go(func() { serve(ctx, r.notices, r.notify) })
	}
	r.loop(ctx)
	return nil
}

// serve performs the requests of one duty until ctx ends.
func serve[T any](ctx context.Context, requests <-chan T, perform func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-requests:
			perform(ctx, request)
		}
	}
}

// loop feeds the adopter, which only this goroutine touches.
func (r *Runner) loop(ctx context.Context) {
	r.perform(r.adopter.Start(r.options.Now()))
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
		r.step(event)
	}
}

// step feeds the event and those that follow from full queues.
func (r *Runner) step(event config.Event) {
	pending := []config.Event{event}
	for len(pending) > 0 {
		r.logWatch(pending[0])
		actions := r.adopter.Step(r.options.Now(), pending[0])
		pending = append(pending[1:], r.perform(actions)...)
	}
}

// perform hands the actions to their duties and returns events for those that found
// their queue full. It publishes the state first, so that a peer that is told of a
// version finds it here.
func (r *Runner) perform(actions []config.Action) []config.Event {
	r.publishState()
	var failed []config.Event
	for _, action := range actions {
		if event := r.dispatch(action); event != nil {
			r.metrics.dropped.Inc()
			failed = append(failed, event)
		}
	}
	return failed
}

func (r *Runner) dispatch(action config.Action) config.Event {
	switch a := action.(type) {
	case config.ReadPlatform:
		if !offer(r.reads, a) {
			return config.PlatformReadFailed{Err: errQueueFull}
		}
	case config.Pull:
		if !offer(r.pulls, a) {
			return config.PullFailed{Peer: a.Peer, Err: errQueueFull}
		}
	case config.Fetch:
		if !offer(r.fetches, a) {
			return config.FetchFailed{Source: a.Source, Err: errQueueFull}
		}
	case config.Confirm:
		if !offer(r.confirms, a) {
			return config.ConfirmFailed{Err: errQueueFull}
		}
	case config.Restore:
		if !offer(r.restores, a) {
			return config.RestoreFailed{Err: errQueueFull}
		}
	case config.Notify:
		if !offer(r.notices, a) {
			r.metrics.dropped.Inc()
		}
	case config.Adopt:
		r.adopted(a)
	case config.Refuse:
		r.refused(a)
	}
	return nil
}

func offer[T any](queue chan<- T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}

func (r *Runner) publishState() {
	now := r.options.Now()
	status := r.adopter.Status(now)
	r.state.Store(&state{bundle: r.adopter.Bundle(), status: status, at: now})
	r.metrics.watching.Set(0)
	if status.Watching {
		r.metrics.watching.Set(1)
	}
	r.logMissing(now, status.Reason)
}

// SetMembers gives the runner a new membership view.
func (r *Runner) SetMembers(view membership.View) {
	var others []host.ID
	for _, member := range view.Members {
		if member.Host.Region != r.options.Self.Region {
			others = append(others, member.Host.ID)
		}
	}
	r.others.Store(&others)
	for {
		select {
		case r.members <- view:
			return
		default:
		}
		// Only the newest view counts.
		select {
		case <-r.members:
		default:
		}
	}
}

// Snapshot returns the configuration in force; nil while there is none.
func (r *Runner) Snapshot() *config.Snapshot {
	if bundle := r.state.Load().bundle; bundle != nil {
		return bundle.Snapshot
	}
	return nil
}

// Status describes adoption for operators.
func (r *Runner) Status() config.Status {
	s := r.state.Load()
	status := s.status
	status.ConfirmedAge = s.confirmedAge(r.options.Now())
	return status
}
