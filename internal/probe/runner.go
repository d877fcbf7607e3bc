package probe

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/health"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Runner checks upstreams and publishes their states.
type Runner struct {
	options Options
	metrics *metrics
	random  *rand.Rand
	tracker *health.Tracker
	// snapshots carries adopted configurations; only the newest matters.
	snapshots chan *config.Snapshot
	jobs      chan target
	results   chan health.Check
	schedule  schedule
	view      atomic.Pointer[health.View]
	names     atomic.Pointer[map[service.ID]string]
	// stepped is when the view was last brought up to date; zero when a check has
	// changed what is known of an upstream since.
	stepped time.Time
	// published is when a view was last published.
	published time.Time
}

// New returns a runner without upstreams.
func New(options Options) *Runner {
	if options.Now == nil {
		options.Now = time.Now
	}
	r := &Runner{
		options:   options,
		metrics:   newMetrics(options.Registerer),
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		tracker:   health.NewTracker(),
		snapshots: make(chan *config.Snapshot, 1),
		jobs:      make(chan target, queueLength),
		results:   make(chan health.Check, queueLength),
	}
	r.view.Store(&health.View{})
	r.names.Store(&map[service.ID]string{})
	return r
}

// Adopt makes the runner check the upstreams of the configuration. It may be
// called from any goroutine and does not block; of several the last one counts.
func (r *Runner) Adopt(snapshot *config.Snapshot) {
	for {
		select {
		case r.snapshots <- snapshot:
			return
		default:
		}
		select {
		case <-r.snapshots:
		default:
		}
	}
}

// View returns the current view.
func (r *Runner) View() health.View {
	return *r.view.Load()
}

// Run checks upstreams until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	checker := newChecker()
	defer checker.close()
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	for range workers {
		wait.Go(func() { r.work(ctx, checker) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case snapshot := <-r.snapshots:
			r.adopt(snapshot)
		case check := <-r.results:
			r.observe(check)
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		now := r.options.Now()
		r.dispatch(now)
		r.publish(now)
		timer.Reset(r.wait(now))
	}
}

// adopt takes in a configuration.
func (r *Runner) adopt(snapshot *config.Snapshot) {
	now := r.options.Now()
	names := make(map[service.ID]string, len(snapshot.Services))
	for i := range snapshot.Services {
		names[snapshot.Services[i].ID] = snapshot.Services[i].Name
	}
	r.names.Store(&names)
	r.tracker.Adopt(now, snapshot)
	r.stepped = time.Time{}
	r.schedule.set(now, targetsOf(snapshot), r.random)
}

// observe takes in a result.
func (r *Runner) observe(check health.Check) {
	r.metrics.count(check)
	now := r.options.Now()
	r.schedule.done(now, check.Key, check.Outcome == health.Passed)
	if r.tracker.Observe(now, check) {
		r.stepped = time.Time{}
	}
}

// dispatch hands due checks to the workers, as far as these have room.
func (r *Runner) dispatch(now time.Time) {
	for {
		due, ok := r.schedule.due(now)
		if !ok {
			return
		}
		select {
		case r.jobs <- due:
			r.schedule.begin(now, due.key)
		default:
			r.metrics.late.Inc()
			return
		}
	}
}

// work makes checks until ctx ends.
func (r *Runner) work(ctx context.Context, checker *checker) {
	for {
		select {
		case t := <-r.jobs:
			check := checker.check(ctx, t)
			if ctx.Err() != nil {
				return
			}
			select {
			case r.results <- check:
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// publish hands a changed view to its readers: at once when a state has changed,
// otherwise at most once in viewInterval.
func (r *Runner) publish(now time.Time) {
	if now.Sub(r.stepped) < viewInterval {
		return
	}
	r.stepped = now
	r.tracker.Step(now)
	view := r.tracker.View()
	was := r.View()
	changes := stateChanges(was, view)
	if len(changes) == 0 && (now.Sub(r.published) < viewInterval || !r.tracker.TakeChanged()) {
		return
	}
	r.tracker.TakeChanged()
	r.published = now
	r.view.Store(&view)
	r.logChanges(changes)
	r.metrics.observe(view, r.tracker.FailOpenServices())
	if r.options.OnView != nil {
		r.options.OnView(view)
	}
}

// wait returns the time to the next check or view.
func (r *Runner) wait(now time.Time) time.Duration {
	wait := viewInterval
	if next, ok := r.schedule.next(); ok {
		wait = min(wait, next.Sub(now))
	}
	return max(wait, minWait)
}

// minWait bounds how often the runner wakes without an event.
const minWait = 10 * time.Millisecond

// logChanges writes one line for each upstream whose state has changed.
func (r *Runner) logChanges(changes []health.Upstream) {
	names := *r.names.Load()
	for _, upstream := range changes {
		r.options.Logger.Info().Str("service", names[upstream.Service]).Str("upstream", upstream.Name).
			Stringer("state", upstream.State).Str("reason", upstream.Reason).Msg("upstream_changed")
	}
}

// stateChanges lists the upstreams whose state differs from the former view.
func stateChanges(was, is health.View) []health.Upstream {
	states := make(map[health.Key]health.State, len(was.Upstreams))
	for _, upstream := range was.Upstreams {
		states[health.Key{Service: upstream.Service, Name: upstream.Name}] = upstream.State
	}
	var changes []health.Upstream
	for _, upstream := range is.Upstreams {
		if states[health.Key{Service: upstream.Service, Name: upstream.Name}] != upstream.State {
			changes = append(changes, upstream)
		}
	}
	return changes
}
