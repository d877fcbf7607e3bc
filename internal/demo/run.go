package demo

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// step is one change made while flows and requests run.
type step struct {
	name string
	// at is the fraction of the duration at which the step is made.
	at  float64
	run func() error
}

// run holds the state of one demo.
type run struct {
	*deployment
	flows    flowLoad
	requests requestLoad
	spread   time.Duration
}

// Run runs the demo and returns what it saw. The error tells that the demo
// itself could not run; broken promises are in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	group, groupCtx := errgroup.WithContext(ctx)
	running, stop := context.WithCancel(groupCtx)
	defer stop()
	if options.launch == nil {
		options.launch = launchLocal(options.Seed, options.Logger)
	}
	if options.steps == nil {
		options.steps = (*run).steps
	}
	report, err := runDeployment(running, group, options)
	stop()
	if waitErr := group.Wait(); err == nil && waitErr != nil {
		err = waitErr
	}
	return report, err
}

func runDeployment(ctx context.Context, group *errgroup.Group, options Options) (*Report, error) {
	d, err := newDeployment(ctx, group, options)
	defer d.close()
	if err != nil {
		return nil, err
	}
	r := &run{deployment: d, flows: flowLoad{fabric: d.fabric, answers: d.answers, ends: make(map[flowID]time.Time),
		perSecond: cmp.Or(options.flowsPerSecond, flowsPerSecond)}}
	r.progress("%d hosts serve %d services with %d upstreams", hostCount, len(d.services), len(d.targets))
	if err := r.load(); err != nil {
		return nil, err
	}
	return r.report()
}

// load runs flows and requests for the duration and makes the changes under
// them. It goes on for longer where the changes take longer.
func (r *run) load() error {
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	r.requests.setHosts(r.services, r.requestAddresses())
	var duties errgroup.Group
	duties.Go(func() error { r.flows.run(ctx, r.services); return nil })
	duties.Go(func() error { r.requests.run(ctx, r.services); return nil })
	err := r.schedule(ctx)
	stop()
	if waitErr := duties.Wait(); err == nil {
		err = waitErr
	}
	if err == nil {
		err = r.flows.err
	}
	return err
}

func (r *run) schedule(ctx context.Context) error {
	started := time.Now()
	for _, s := range r.options.steps(r) {
		due := time.Duration(s.at * float64(r.options.Duration))
		if err := wait.For(ctx, due-time.Since(started)); err != nil {
			return err
		}
		r.progress("%s", s.name)
		if err := s.run(); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return wait.For(ctx, max(r.options.Duration-time.Since(started), lastPause))
}

func (r *run) steps() []step {
	first := r.services[0].Name
	drained := r.services[0].Upstreams[0].Name
	return []step{
		{"drain upstream " + drained + " of " + first, 0.20, func() error { return r.setState(first, 0, service.AdminDraining) }},
		{"remove a host", 0.40, func() error { return r.removeHost() }},
		{"add a host", 0.55, r.grow},
		{"double the weight of an upstream of " + first, 0.65, func() error { return r.setWeight(first, 1, 2) }},
		{"take " + drained + " back and restore the weight", 0.75, func() error {
			r.service(first).Upstreams[1].Weight = 1
			return r.setState(first, 0, service.AdminActive)
		}},
	}
}

// grow adds a host and tells callers of it.
func (r *run) grow() error {
	if err := r.addHost(); err != nil {
		return err
	}
	r.requests.setHosts(r.services, r.requestAddresses())
	return nil
}

func (r *run) setState(name string, index int, state service.AdminState) error {
	r.service(name).Upstreams[index].State = state
	return r.republish()
}

func (r *run) setWeight(name string, index int, weight uint32) error {
	r.service(name).Upstreams[index].Weight = weight
	return r.republish()
}

func (r *run) republish() error {
	spread, err := r.publish()
	r.spread = max(r.spread, spread)
	return err
}

func (r *run) progress(format string, args ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, format+"\n", args...)
	}
}
