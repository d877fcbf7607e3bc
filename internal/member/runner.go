package member

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
	// events carries what happens to the goroutine that owns node.
	events chan func(now time.Time)
	node   *membership.Node
	view   atomic.Pointer[membership.View]
	// stopped is closed when Run no longer takes events.
	stopped chan struct{}
	calls   sync.WaitGroup
}

// New returns a runner whose view holds this host only.
func New(options Options) *Runner {
	if options.Now == nil {
		options.Now = time.Now
	}
	r := &Runner{
		options: options,
		metrics: newMetrics(options.Registerer),
		events:  make(chan func(time.Time), queueLength),
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
// left. It returns membership.ErrReplaced when another process uses the host's ID.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.calls.Wait()
	defer cancel()
	defer close(r.stopped)
	r.publish(r.node.View())
	if r.options.PlatformHosts != nil {
		r.calls.Go(func() { r.readHints(ctx) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case event := <-r.events:
			event(r.options.Now())
		case <-timer.C:
		case <-ctx.Done():
			r.farewell()
			return nil
		}
		if err := r.node.Err(); err != nil {
			r.options.Logger.Error().Err(err).Msg("membership_stopped")
			return err
		}
		r.step(ctx)
		timer.Reset(r.wait())
	}
}

// step performs what is due and publishes a changed view.
func (r *Runner) step(ctx context.Context) {
	for _, send := range r.node.Step(r.options.Now()) {
		r.calls.Go(func() { r.exchange(ctx, send) })
	}
	if r.node.TakeChanged() {
		r.publish(r.node.View())
	}
}

// wait returns the time to the next step.
func (r *Runner) wait() time.Duration {
	wait := r.node.NextStep().Sub(r.options.Now())
	return min(max(wait, time.Millisecond), maxWait)
}

// exchange makes one call and reports its outcome.
func (r *Runner) exchange(ctx context.Context, send membership.Exchange) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer membership.Message
	err := r.options.Peers.CallAddress(callCtx, send.To.Address, method, &send.Message, &answer)
	r.metrics.count(err)
	r.post(func(now time.Time) {
		if err != nil {
			r.node.HandleFailure(now, send)
			return
		}
		r.node.HandleAnswer(now, send, answer)
	})
}

// post hands an event to the runner; it reports false when the runner has stopped.
func (r *Runner) post(event func(now time.Time)) bool {
	select {
	case r.events <- event:
		return true
	case <-r.stopped:
		return false
	}
}

// publish hands the view to its readers.
func (r *Runner) publish(view membership.View) {
	was := r.View()
	r.view.Store(&view)
	r.logChanges(was, view)
	r.metrics.observe(view)
	if r.options.OnView != nil {
		r.options.OnView(view)
	}
}

// logChanges writes one line for each member whose state has changed.
func (r *Runner) logChanges(was, is membership.View) {
	states := make(map[host.ID]membership.State, len(was.Members))
	for _, member := range was.Members {
		states[member.Host.ID] = member.State
	}
	for _, member := range is.Members {
		if states[member.Host.ID] == member.State {
			continue
		}
		r.options.Logger.Info().Stringer("host", member.Host).Str("data_centre", member.Host.DataCentre).
			Stringer("state", member.State).Int("members", len(is.Members)).Msg("member_changed")
	}
}

// readHints reads the platform's host list now and then. The list is a hint only:
// a failure to read it changes nothing.
func (r *Runner) readHints(ctx context.Context) {
	for {
		readCtx, cancel := context.WithTimeout(ctx, hintTimeout)
		hints, err := r.options.PlatformHosts(readCtx)
		cancel()
		if err != nil {
			r.metrics.hintFailures.Inc()
			r.options.Logger.Warn().Err(err).Msg("platform_host_list_not_read")
		} else if !r.post(func(now time.Time) { r.node.SetPlatformHosts(now, hints) }) {
			return
		}
		timer := time.NewTimer(hintInterval/2 + rand.N(hintInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// farewell tells the hosts in contact that this one has left.
func (r *Runner) farewell() {
	ctx, cancel := context.WithTimeout(context.Background(), farewellTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, send := range r.node.Stop(r.options.Now()) {
		wait.Go(func() {
			var answer membership.Message
			r.metrics.count(r.options.Peers.CallAddress(ctx, send.To.Address, method, &send.Message, &answer))
		})
	}
	wait.Wait()
}

// announcePoll is the time between checks whether an announcement has been answered.
const announcePoll = 20 * time.Millisecond

// Leave announces that this host hands over its ownership and waits until the
// hosts in contact know it.
func (r *Runner) Leave(ctx context.Context) error {
	if err := r.ask(ctx, func(now time.Time) bool { r.node.Leave(now); return true }); err != nil {
		return err
	}
	ticker := time.NewTicker(announcePoll)
	defer ticker.Stop()
	for {
		var announced bool
		if err := r.ask(ctx, func(time.Time) bool { announced = r.node.AnnouncementConfirmed(); return true }); err != nil || announced {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errNotAnnounced(ctx.Err())
		}
	}
}

// ask runs a function in the runner's goroutine and waits for it.
func (r *Runner) ask(ctx context.Context, run func(now time.Time) bool) error {
	done := make(chan struct{})
	if !r.post(func(now time.Time) { run(now); close(done) }) {
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return errNotAnnounced(ctx.Err())
	}
}
