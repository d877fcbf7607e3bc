package idle

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/oatlatch/oatlatch/internal/wait"
	"github.com/oatlatch/oatlatch/platform/standin"
)

// service is the name of the service of all upstreams and routes.
const service = "desk"

// Run starts the hosts and a stand-in of the store, and returns what each host cost.
func Run(ctx context.Context, options Options) (result Result, err error) {
	if err := options.Validate(); err != nil {
		return Result{}, err
	}
	dir, err := os.MkdirTemp("", "oatlatch-idle")
	if err != nil {
		return Result{}, fmt.Errorf("directory for settings: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	store, err := standin.NewStore()
	if err != nil {
		return Result{}, err
	}
	defer store.Close()
	if err := fill(store, options); err != nil {
		return Result{}, err
	}
	var hosts []*process
	defer func() {
		for _, h := range hosts {
			h.kill()
		}
	}()
	for i := range options.Hosts {
		h, err := start(ctx, options, dir, store.Address(), i)
		if err != nil {
			return Result{}, err
		}
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := h.awaitReady(ctx); err != nil {
			return Result{}, err
		}
	}
	if err := wait.Sleep(ctx, options.Settle); err != nil {
		return Result{}, fmt.Errorf("wait for the hosts to settle: %w", err)
	}
	before, err := sampleAll(ctx, hosts)
	if err != nil {
		return Result{}, err
	}
	storeCalls := store.Calls()
	if err := wait.Sleep(ctx, options.Duration); err != nil {
		return Result{}, fmt.Errorf("wait for the end of the measurement: %w", err)
	}
	storeCalls = store.Calls() - storeCalls
	after, err := sampleAll(ctx, hosts)
	if err != nil {
		return Result{}, err
	}
	return newResult(options, before, after, storeCalls), nil
}

// fill writes the configuration and the upstreams to the store.
func fill(store *standin.Store, options Options) error {
	var routes []standin.Route
	for i := range options.Routes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		routes = append(routes, standin.Route{Address: address, Service: service, Repeatable: true, Priority: 1, Timeout: 2500})
	}
	if err := store.Put(standin.ConfigurationKey, standin.Configuration(1, routes, []string{service})); err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	for i := range options.Upstreams {
		u := standin.UpstreamOptions{
			Name: fmt.Sprintf("i-%010x", i), Service: service, DataCentre: dataCentre(i % options.DataCentres), Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080),
		}
		if err := store.Put(u.StoreKey(), u.Registration(false)); err != nil {
			return fmt.Errorf("register an upstream: %w", err)
		}
	}
	return nil
}

// sampleAll samples all hosts.
func sampleAll(ctx context.Context, hosts []*process) ([]sample, error) {
	samples := make([]sample, 0, len(hosts))
	for _, h := range hosts {
		s, err := h.sample(ctx)
		if err != nil {
			return nil, err
		}
		samples = append(samples, s)
	}
	return samples, nil
}
