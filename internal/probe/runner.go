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
	// snapshots holds the latest adopted configuration that Run has not applied yet.
	snapshots    chan *config.Snapshot
	jobs         chan target
	results      chan health.Check
	schedule     schedule
	view         atomic.Pointer[health.View]
	serviceNames atomic.Pointer[map[service.ID]string]
	// lastStep is when the tracker's view was last updated. It is reset to zero when a
	// check or a configuration requires an update at once.
	lastStep time.Time
	// lastPublish is when a view was last published.
	lastPublish time.Time
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
		jobs:      make(chan target, queueCapacity),
		results:   make(chan health.Check, queueCapacity),
	}
	r.view.Store(&health.View{})
	r.serviceNames.Store(&map[service.ID]string{})
	return r
}

// Adopt makes the runner check the upstreams of a configuration. It is safe for
// concurrent use and does not block. A later configuration replaces one that has not
// been applied yet.
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

// View returns the last published view.
func (r *Runner) View() health.View {
	return *r.view.Load()
}

// Run checks upstreams until ctx is done.
func (r *Runner) Run(ctx context.Context) error {
	checker := newChecker()
	defer checker.close()
	ctx, cancel := context.WithCancel(ctx)
	var workerGroup sync.WaitGroup
	defer workerGroup.Wait()
	defer cancel()
	for range workers {
		workerGroup.Go(func() { r.runWorker(ctx, checker) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case snapshot := <-r.snapshots:
			r.adopt(snapshot)
		case check := <-r.results:
			r.recordResult(check)
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		now := r.options.Now()
		r.dispatch(now)
		r.publish(now)
		timer.Reset(r.untilNextWake(now))
	}
}

// adopt applies a configuration.
func (r *Runner) adopt(snapshot *config.Snapshot) {
	now := r.options.Now()
	names := make(map[service.ID]string, len(snapshot.Services))
	for i := range snapshot.Services {
		names[snapshot.Services[i].ID] = snapshot.Services[i].Name
	}
	r.serviceNames.Store(&names)
	r.tracker.Adopt(now, snapshot)
	r.lastStep = time.Time{}
	r.schedule.setTargets(now, targetsOf(snapshot), r.random)
}

// recordResult passes the result of a check to the tracker and the schedule.
func (r *Runner) recordResult(check health.Check) {
	r.metrics.countCheck(check)
	now := r.options.Now()
	r.schedule.markDone(now, check.Key, check.Outcome == health.Passed)
	if r.tracker.Observe(now, check) {
		r.lastStep = time.Time{}
	}
}

// dispatch queues due checks for the workers while the queue has room.
func (r *Runner) dispatch(now time.Time) {
	for {
		due, ok := r.schedule.nextDue(now)
		if !ok {
			return
		}
		select {
		case r.jobs <- due:
			r.schedule.markStarted(now, due.key)
		default:
			r.metrics.lateChecks.Inc()
			return
		}
	}
}

// runWorker runs queued checks until ctx is done.
func (r *Runner) runWorker(ctx context.Context, checker *checker) {
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

// publish updates the view and publishes it if it has changed: at once if a state
// has changed, otherwise no more often than every viewInterval.
func (r *Runner) publish(now time.Time) {
	if now.Sub(r.lastStep) < viewInterval {
		return
	}
	r.lastStep = now
	r.tracker.Step(now)
	view := r.tracker.View()
	previous := r.View()
	changes := stateChanges(previous, view)
	if len(changes) == 0 && (now.Sub(r.lastPublish) < viewInterval || !r.tracker.TakeChanged()) {
		return
	}
	r.tracker.TakeChanged()
	r.lastPublish = now
	r.view.Store(&view)
	r.logChanges(changes)
	r.metrics.setView(view, r.tracker.FailOpenServices())
	if r.options.OnView != nil {
		r.options.OnView(view)
	}
}

// untilNextWake returns the time until the next check or update of the view is due.
func (r *Runner) untilNextWake(now time.Time) time.Duration {
	wait := viewInterval
	if next, ok := r.schedule.nextTime(); ok {
		wait = min(wait, next.Sub(now))
	}
	return max(wait, minWakeInterval)
}

// minWakeInterval is the minimum time between two wake-ups of the runner by its timer.
const minWakeInterval = 10 * time.Millisecond

// logChanges logs each upstream whose state has changed.
func (r *Runner) logChanges(changes []health.Upstream) {
	names := *r.serviceNames.Load()
	for _, upstream := range changes {
		r.options.Logger.Info().Str("service", names[upstream.Service]).Str("upstream", upstream.Name).
			Stringer("state", upstream.State).Str("reason", upstream.Reason).Msg("upstream_changed")
	}
}

// stateChanges returns the upstreams of the current view whose state differs from
// that in the previous view, new ones included.
func stateChanges(previous, current health.View) []health.Upstream {
	previousStates := make(map[health.Key]health.State, len(previous.Upstreams))
	for _, upstream := range previous.Upstreams {
		previousStates[health.Key{Service: upstream.Service, Name: upstream.Name}] = upstream.State
	}
	var changes []health.Upstream
	for _, upstream := range current.Upstreams {
		if previousStates[health.Key{Service: upstream.Service, Name: upstream.Name}] != upstream.State {
			changes = append(changes, upstream)
		}
	}
	return changes
}
