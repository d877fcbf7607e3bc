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

// step is a change made under load.
type step struct {
	name string
	// at is the earliest time to apply the step, as a fraction of the duration. A step
	// also waits for the end of the previous one.
	at    float64
	apply func() error
}

// demoRun is a deployment with the load on it.
type demoRun struct {
	*deployment
	flows    flowLoad
	requests requestLoad
	// propagation is the longest propagation time of a publication so far.
	propagation time.Duration
}

// Run runs the demo and returns its results. It returns an error only if the demo itself
// could not run. Violated guarantees are in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	group, groupCtx := errgroup.WithContext(ctx)
	runCtx, stop := context.WithCancel(groupCtx)
	defer stop()
	if options.launch == nil {
		options.launch = launchLocal(options.Seed, options.Logger)
	}
	if options.steps == nil {
		options.steps = (*demoRun).defaultSteps
	}
	report, err := runDeployment(runCtx, group, options)
	stop()
	if waitErr := group.Wait(); err == nil && waitErr != nil {
		err = waitErr
	}
	return report, err
}

// runDeployment starts a deployment, runs the load and the steps on it, evaluates the
// results and ends the hosts.
func runDeployment(ctx context.Context, group *errgroup.Group, options Options) (*Report, error) {
	d, err := newDeployment(ctx, group, options)
	defer d.close()
	if err != nil {
		return nil, err
	}
	r := &demoRun{deployment: d, flows: flowLoad{fabric: d.fabric, answered: d.answered, closeTimes: make(map[flowID]time.Time),
		flowsPerSecond: cmp.Or(options.flowsPerSecond, defaultFlowsPerSecond)}}
	r.progress("%d hosts serve %d services with %d upstreams", defaultHosts, len(d.services), len(d.upstreams))
	if err := r.runLoad(); err != nil {
		return nil, err
	}
	return r.report()
}

// runLoad runs flows and requests and applies the steps meanwhile. It takes longer than
// the configured duration if the steps do.
func (r *demoRun) runLoad() error {
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	r.requests.setHosts(r.services, r.requestAddresses())
	var loads errgroup.Group
	loads.Go(func() error { r.flows.run(ctx, r.services); return nil })
	loads.Go(func() error { r.requests.run(ctx, r.services); return nil })
	err := r.runSteps(ctx)
	stop()
	if waitErr := loads.Wait(); err == nil {
		err = waitErr
	}
	if err == nil {
		err = r.flows.err
	}
	return err
}

// runSteps applies the steps in order, each when it is due. It returns at the end of the
// duration, but at least minCooldown after the last step.
func (r *demoRun) runSteps(ctx context.Context) error {
	started := time.Now()
	for _, s := range r.options.steps(r) {
		due := time.Duration(s.at * float64(r.options.Duration))
		if err := wait.Sleep(ctx, due-time.Since(started)); err != nil {
			return err
		}
		r.progress("%s", s.name)
		if err := s.apply(); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return wait.Sleep(ctx, max(r.options.Duration-time.Since(started), minCooldown))
}

// defaultSteps returns the steps of the demo command: it drains an upstream, replaces a
// host and changes a weight.
func (r *demoRun) defaultSteps() []step {
	first := r.services[0].Name
	drained := r.services[0].Upstreams[0].Name
	return []step{
		{"drain upstream " + drained + " of " + first, 0.20, func() error { return r.setUpstreamState(first, 0, service.AdminDraining) }},
		{"remove a host", 0.40, func() error { return r.removeHost() }},
		{"add a host", 0.55, r.addHostForCallers},
		{"double the weight of an upstream of " + first, 0.65, func() error { return r.setUpstreamWeight(first, 1, 2) }},
		{"reactivate upstream " + drained + " and restore the weight", 0.75, func() error {
			r.service(first).Upstreams[1].Weight = 1
			return r.setUpstreamState(first, 0, service.AdminActive)
		}},
	}
}

// addHostForCallers adds a host and lets callers send requests to it.
func (r *demoRun) addHostForCallers() error {
	if err := r.addHost(); err != nil {
		return err
	}
	r.requests.setHosts(r.services, r.requestAddresses())
	return nil
}

func (r *demoRun) setUpstreamState(serviceName string, index int, state service.AdminState) error {
	r.service(serviceName).Upstreams[index].State = state
	return r.republish()
}

func (r *demoRun) setUpstreamWeight(serviceName string, index int, weight uint32) error {
	r.service(serviceName).Upstreams[index].Weight = weight
	return r.republish()
}

// republish publishes the changed services and updates the longest propagation time.
func (r *demoRun) republish() error {
	propagation, err := r.publish()
	r.propagation = max(r.propagation, propagation)
	return err
}

// progress writes a line to Options.Progress, if set.
func (r *demoRun) progress(format string, args ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, format+"\n", args...)
	}
}
