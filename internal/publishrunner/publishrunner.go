package publishrunner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Result describes what a publication wrote.
type Result = publish.Result

// maxAttempts bounds the attempts at one read of the state or one write of a page.
const maxAttempts = 8

// Publish publishes the services. It writes only what differs and merges with concurrent
// publications of other services. After a lost response it reads the state again to
// determine whether the write took effect. Errors that are not of package publish mean
// that nothing was written.
func Publish(ctx context.Context, client consul.Client, options Options, services []service.Service) (Result, error) {
	options.setDefaults()
	request, err := options.request(services)
	if err != nil {
		return Result{}, err
	}
	d := &driver{client: client, options: options, rng: rand.New(rand.NewPCG(options.Seed, 1))}
	machine := publish.NewStateMachine(request)
	action := machine.Start()
	for {
		if finish, ok := action.(publish.Finish); ok {
			d.logResult(request, finish)
			if finish.Err == nil {
				d.cleanUpPages(ctx, finish.Result.Version)
			}
			return finish.Result, finish.Err
		}
		action = machine.Step(d.perform(ctx, action))
	}
}

// driver performs the actions of one publish.StateMachine against the platform.
type driver struct {
	client  consul.Client
	options Options
	rng     *rand.Rand
	// cached is the configuration read last. Its pages need not be read again.
	cached *config.Bundle
}

// perform executes the action and returns its result for the machine.
func (d *driver) perform(ctx context.Context, action publish.Action) publish.Event {
	switch a := action.(type) {
	case publish.WritePages:
		return d.writePages(ctx, a.Pages)
	case publish.SwapHead:
		return d.swap(ctx, a)
	default:
		return d.readState(ctx)
	}
}

// swap writes the head once: the machine decides whether to repeat it.
func (d *driver) swap(ctx context.Context, swap publish.SwapHead) publish.Event {
	written, err := d.client.CompareAndSwap(ctx, config.HeadKey, swap.Head, swap.Revision)
	var ambiguous *consul.AmbiguousError
	switch {
	case errors.As(err, &ambiguous):
		d.options.Logger.Warn().Str("event", "publish_answer_lost").Err(err).Send()
		return publish.SwapAmbiguous{Err: err}
	case err != nil:
		return publish.SwapFailed{Err: err}
	default:
		return publish.Swapped{Written: written}
	}
}

// writePages creates the pages. A page's key derives from its contents, so repeating a
// write whose response was lost is harmless.
func (d *driver) writePages(ctx context.Context, pages []config.PageData) publish.Event {
	for _, page := range pages {
		err := d.retry(ctx, func() error {
			_, err := d.client.CompareAndSwap(ctx, page.Ref.Key(), page.Data, 0)
			return err
		})
		if err != nil {
			return publish.PagesFailed{Err: err}
		}
	}
	return publish.PagesWritten{}
}

// readState reads the published state, with retries.
func (d *driver) readState(ctx context.Context) publish.Event {
	var state publish.State
	err := d.retry(ctx, func() error {
		var err error
		state, err = d.tryReadState(ctx)
		return err
	})
	if err != nil {
		return publish.ReadFailed{Err: err}
	}
	d.cached = state.Bundle
	return publish.StateRead{State: state}
}

// tryReadState reads the published state once. The hosts are read only if an address is
// in quarantine.
func (d *driver) tryReadState(ctx context.Context) (publish.State, error) {
	head, err := d.client.Get(ctx, config.HeadKey)
	if err != nil || !head.Exists() {
		return publish.State{}, err
	}
	bundle, err := d.readBundle(ctx, head.Data)
	if err != nil {
		return publish.State{}, err
	}
	state := publish.State{Bundle: bundle, Revision: head.Revision}
	if len(bundle.Head.Quarantined) == 0 {
		return state, nil
	}
	if state.Hosts, err = d.readHosts(ctx); err != nil {
		// Without the hosts, addresses stay in quarantine, but everything else can be
		// published.
		d.options.Logger.Warn().Str("event", "publish_hosts_unread").Err(err).Send()
	}
	return state, nil
}

// readBundle reads the pages of the head that are not cached.
func (d *driver) readBundle(ctx context.Context, headData []byte) (*config.Bundle, error) {
	head, err := config.DecodeHead(headData)
	if err != nil {
		return nil, err
	}
	var pages []config.PageData
	for _, ref := range d.cached.MissingPages(head) {
		value, err := d.client.Get(ctx, ref.Key())
		if err != nil {
			return nil, err
		}
		if !value.Exists() {
			return nil, &config.InvalidError{Object: ref.Key(), Reason: "the page does not exist on the platform"}
		}
		pages = append(pages, config.PageData{Ref: ref, Data: value.Data})
	}
	return config.NewBundle(headData, pages, d.cached)
}

// readHosts reads the platform's host list and the hosts' confirmations.
func (d *driver) readHosts(ctx context.Context) (*publish.Hosts, error) {
	list, err := d.client.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	values, err := d.client.List(ctx, config.ConfirmationPrefix)
	if err != nil {
		return nil, err
	}
	hosts := &publish.Hosts{}
	for _, h := range append(list.Live, list.Leaving...) {
		hosts.Listed = append(hosts.Listed, h.ID)
	}
	for _, value := range values {
		confirmation, err := config.DecodeConfirmation(value.Key, value.Data)
		if err != nil {
			return nil, err
		}
		hosts.Confirmations = append(hosts.Confirmations, confirmation)
	}
	return hosts, nil
}

// retry calls an idempotent operation with backoff until it succeeds, maxAttempts have
// failed or ctx ends. It returns the operation's last error.
func (d *driver) retry(ctx context.Context, operation func() error) error {
	for failures := 1; ; failures++ {
		err := operation()
		if err == nil || failures == maxAttempts {
			return err
		}
		timer := time.NewTimer(consul.Backoff(failures, d.rng))
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

func (d *driver) logResult(r publish.Request, f publish.Finish) {
	if f.Err != nil {
		d.options.Logger.Error().Str("event", "publish_failed").Str("publication", r.ID).Err(f.Err).Send()
		return
	}
	d.options.Logger.Info().Str("event", "published").Str("publication", r.ID).
		Uint64("version", uint64(f.Result.Version)).Int("changed", len(f.Result.Changed)).
		Int("removed", len(f.Result.Removed)).Bool("unchanged", f.Result.Unchanged).
		Int("swaps", f.Result.Swaps).Send()
}
