package membershiprunner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/membership"
)

// Runner drives the membership state machine of this host.
type Runner struct {
	options Options
	metrics *metrics
	// events holds functions to be called in the event loop of Run, which owns node.
	events chan func(now time.Time)
	node   *membership.Node
	view   atomic.Pointer[membership.View]
	// stopped is closed when the event loop ends.
	stopped chan struct{}
	// background tracks the exchanges in progress and the polling of the host list.
	background sync.WaitGroup
}

// New returns a runner whose view holds only this host.
func New(options Options) *Runner {
	if options.Now == nil {
		options.Now = time.Now
	}
	r := &Runner{
		options: options,
		metrics: newMetrics(options.Registerer),
		events:  make(chan func(time.Time), eventQueueLength),
		stopped: make(chan struct{}),
		node: membership.New(options.Now(), membership.Config{
			Self:  options.Self,
			Seeds: options.Seeds,
			Seed:  options.Seed,
		}),
	}
	view := r.node.View()
	r.view.Store(&view)
	return r
}

// View returns the current view.
func (r *Runner) View() membership.View {
	return *r.view.Load()
}

// Run takes part in the protocol until ctx ends, then announces that this host has
// left. It returns membership.ErrReplaced if a later process uses the host's ID.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.background.Wait()
	defer cancel()
	defer close(r.stopped)
	r.publish(r.node.View())
	if r.options.PlatformHosts != nil {
		r.background.Go(func() { r.pollHostList(ctx) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case event := <-r.events:
			event(r.options.Now())
		case <-timer.C:
		case <-ctx.Done():
			r.announceStop()
			return nil
		}
		if err := r.node.Err(); err != nil {
			r.options.Logger.Error().Err(err).Msg("membership_stopped")
			return err
		}
		r.step(ctx)
		timer.Reset(r.stepDelay())
	}
}

// step starts the exchanges that are due and publishes the view if it has changed.
func (r *Runner) step(ctx context.Context) {
	for _, exchange := range r.node.Step(r.options.Now()) {
		r.background.Go(func() { r.performExchange(ctx, exchange) })
	}
	if r.node.TakeChanged() {
		r.publish(r.node.View())
	}
}

// stepDelay returns the time until the next step.
func (r *Runner) stepDelay() time.Duration {
	delay := r.node.NextStep().Sub(r.options.Now())
	return min(max(delay, time.Millisecond), maxStepInterval)
}

// performExchange performs one exchange and reports its outcome to the state machine.
func (r *Runner) performExchange(ctx context.Context, exchange membership.Exchange) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer membership.Message
	err := r.options.Peers.CallAddress(callCtx, exchange.To.Address, exchangeMethod, &exchange.Message, &answer)
	r.metrics.countExchange(err)
	r.enqueue(func(now time.Time) {
		if err != nil {
			r.node.HandleFailure(now, exchange)
			return
		}
		r.node.HandleAnswer(now, exchange, answer)
	})
}

// enqueue queues an event for the event loop of Run. It returns false if the loop has
// ended.
func (r *Runner) enqueue(event func(now time.Time)) bool {
	select {
	case r.events <- event:
		return true
	case <-r.stopped:
		return false
	}
}

// publish stores a new view, logs its changes, updates the metrics and passes it to
// OnView.
func (r *Runner) publish(view membership.View) {
	previous := r.View()
	r.view.Store(&view)
	r.logChanges(previous, view)
	r.metrics.recordView(view)
	if r.options.OnView != nil {
		r.options.OnView(view)
	}
}

// logChanges logs one line for each member whose state has changed.
func (r *Runner) logChanges(previous, current membership.View) {
	states := make(map[host.ID]membership.State, len(previous.Members))
	for _, member := range previous.Members {
		states[member.Host.ID] = member.State
	}
	for _, member := range current.Members {
		if states[member.Host.ID] == member.State {
			continue
		}
		r.options.Logger.Info().Stringer("host", member.Host).Str("data_centre", member.Host.DataCentre).
			Stringer("state", member.State).Int("members", len(current.Members)).Msg("member_changed")
	}
}

// pollHostList reads the platform's host list at randomized intervals until ctx ends.
// The list is advisory: a failed read leaves the previous one in place.
func (r *Runner) pollHostList(ctx context.Context) {
	for {
		readCtx, cancel := context.WithTimeout(ctx, hostListTimeout)
		listed, err := r.options.PlatformHosts(readCtx)
		cancel()
		if err != nil {
			r.metrics.hostListFailures.Inc()
			r.options.Logger.Warn().Err(err).Msg("platform_host_list_not_read")
		} else if !r.enqueue(func(now time.Time) { r.node.SetPlatformHosts(now, listed) }) {
			return
		}
		timer := time.NewTimer(hostListInterval/2 + rand.N(hostListInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// announceStop tells the hosts in contact that this host has left, and waits for their
// answers up to stopAnnouncementTimeout.
func (r *Runner) announceStop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopAnnouncementTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, exchange := range r.node.Stop(r.options.Now()) {
		calls.Go(func() {
			var answer membership.Message
			r.metrics.countExchange(r.options.Peers.CallAddress(ctx, exchange.To.Address, exchangeMethod, &exchange.Message, &answer))
		})
	}
	calls.Wait()
}

// announcementPollInterval is the time between checks of whether an announcement has
// been confirmed.
const announcementPollInterval = 20 * time.Millisecond

// Leave announces that this host hands over its slots and waits until all hosts in
// contact have confirmed the announcement.
func (r *Runner) Leave(ctx context.Context) error {
	if err := r.runInEventLoop(ctx, func(now time.Time) bool { r.node.Leave(now); return true }); err != nil {
		return err
	}
	ticker := time.NewTicker(announcementPollInterval)
	defer ticker.Stop()
	for {
		var confirmed bool
		if err := r.runInEventLoop(ctx, func(time.Time) bool { confirmed = r.node.AnnouncementConfirmed(); return true }); err != nil || confirmed {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return notAnnouncedError(ctx.Err())
		}
	}
}

// runInEventLoop calls a function in the event loop of Run and waits for it to return. The
// result of the function is ignored.
func (r *Runner) runInEventLoop(ctx context.Context, run func(now time.Time) bool) error {
	done := make(chan struct{})
	if !r.enqueue(func(now time.Time) { run(now); close(done) }) {
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return notAnnouncedError(ctx.Err())
	}
}
