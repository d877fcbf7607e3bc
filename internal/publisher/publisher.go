package publisher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/platform"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
)

// Result says what a publication did.
type Result = publish.Result

// readAttempts bounds how often the published state is read before giving up.
const readAttempts = 8

// Publish publishes the services: it writes only what differs, merges with racing
// publications of other services, and says truthfully whether it was published.
// Its errors are those of package publish; all others mean that nothing was written.
func Publish(ctx context.Context, port platform.Port, options Options, services []service.Service) (Result, error) {
	options.setDefaults()
	request, err := options.request(services)
	if err != nil {
		return Result{}, err
	}
	d := &driver{port: port, options: options, rng: rand.New(rand.NewPCG(options.Seed, 1))}
	machine := publish.NewMachine(request)
	action := machine.Start()
	for {
		if finish, ok := action.(publish.Finish); ok {
			d.finished(request, finish)
			if finish.Err == nil {
				d.sweep(ctx, finish.Result.Version)
			}
			return finish.Result, finish.Err
		}
		action = machine.Step(d.perform(ctx, action))
	}
}

// driver performs the actions of one machine.
type driver struct {
	port    platform.Port
	options Options
	rng     *rand.Rand
	// last is the last state read, whose pages need not be read again.
	last *config.Bundle
}

func (d *driver) perform(ctx context.Context, action publish.Action) publish.Event {
	switch a := action.(type) {
	case publish.WritePages:
		return d.writePages(ctx, a.Pages)
	case publish.Swap:
		return d.swap(ctx, a)
	default:
		return d.readState(ctx)
	}
}

func (d *driver) swap(ctx context.Context, swap publish.Swap) publish.Event {
	written, err := d.port.CompareAndSwap(ctx, config.HeadKey, swap.Head, swap.Revision)
	var ambiguous *platform.AmbiguousError
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

// writePages creates the pages. Their names derive from their contents, so
// repeating a creation whose answer was lost is harmless.
func (d *driver) writePages(ctx context.Context, pages []config.PageData) publish.Event {
	for _, page := range pages {
		err := d.retry(ctx, func() error {
			_, err := d.port.CompareAndSwap(ctx, page.Ref.Key(), page.Data, 0)
			return err
		})
		if err != nil {
			return publish.PagesFailed{Err: err}
		}
	}
	return publish.PagesWritten{}
}

func (d *driver) readState(ctx context.Context) publish.Event {
	var state publish.State
	err := d.retry(ctx, func() error {
		var err error
		state, err = d.readOnce(ctx)
		return err
	})
	if err != nil {
		return publish.ReadFailed{Err: err}
	}
	d.last = state.Bundle
	return publish.StateRead{State: state}
}

func (d *driver) readOnce(ctx context.Context) (publish.State, error) {
	head, err := d.port.Get(ctx, config.HeadKey)
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
		// Without the hosts every address stays in quarantine; all else can be published.
		d.options.Logger.Warn().Str("event", "publish_hosts_unread").Err(err).Send()
	}
	return state, nil
}

func (d *driver) readBundle(ctx context.Context, headData []byte) (*config.Bundle, error) {
	head, err := config.DecodeHead(headData)
	if err != nil {
		return nil, err
	}
	var pages []config.PageData
	for _, ref := range d.last.Missing(head) {
		value, err := d.port.Get(ctx, ref.Key())
		if err != nil {
			return nil, err
		}
		if !value.Exists() {
			return nil, &config.InvalidError{Object: ref.Key(), Reason: "page is absent from the platform"}
		}
		pages = append(pages, config.PageData{Ref: ref, Data: value.Data})
	}
	return config.NewBundle(headData, pages, d.last)
}

func (d *driver) readHosts(ctx context.Context) (*publish.Hosts, error) {
	list, err := d.port.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	values, err := d.port.List(ctx, config.AdoptedPrefix)
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

// retry repeats an idempotent step with backoff.
func (d *driver) retry(ctx context.Context, step func() error) error {
	for failures := 1; ; failures++ {
		err := step()
		if err == nil || failures == readAttempts {
			return err
		}
		timer := time.NewTimer(platform.Backoff(failures, d.rng))
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

func (d *driver) finished(r publish.Request, f publish.Finish) {
	if f.Err != nil {
		d.options.Logger.Error().Str("event", "publish_failed").Str("publication", r.ID).Err(f.Err).Send()
		return
	}
	d.options.Logger.Info().Str("event", "published").Str("publication", r.ID).
		Uint64("version", uint64(f.Result.Version)).Int("changed", len(f.Result.Changed)).
		Int("removed", len(f.Result.Removed)).Bool("unchanged", f.Result.Unchanged).
		Int("swaps", f.Result.Swaps).Send()
}
