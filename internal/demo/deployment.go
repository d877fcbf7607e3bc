package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/publisher"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/fabric"
	"github.com/oatlatch/oatlatch/internal/standin/platform"
	"github.com/oatlatch/oatlatch/internal/standin/upstream"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// errNotReady is returned when a host does not serve in time.
var errNotReady = errors.New("a host has not adopted the configuration in time, run again with --verbose to see why")

// target is a running upstream and the entry of the service file that names it.
type target struct {
	service  string
	name     string
	upstream *upstream.Upstream
}

// deployment is everything that the demo runs.
type deployment struct {
	options  Options
	group    *errgroup.Group
	ctx      context.Context
	cancel   context.CancelFunc
	platform *platform.Server
	fabric   *fabric.Fabric

	services []service.Service
	targets  []target
	answers  *answers

	mu      sync.Mutex
	nodes   []node
	entries []*entry
	started int
}

// newDeployment starts the platform and the upstreams, publishes the examples
// and starts the entry hosts. The deployment must be closed, also after an error.
func newDeployment(ctx context.Context, group *errgroup.Group, options Options) (*deployment, error) {
	d := &deployment{options: options, group: group, answers: newAnswers()}
	d.ctx, d.cancel = context.WithCancel(ctx)
	for _, start := range []func() error{d.startPlatform, d.startUpstreams, d.publishFirst, d.startHosts, d.tellUpstreams} {
		if err := start(); err != nil {
			return d, err
		}
	}
	return d, nil
}

// close cuts everything that still runs and waits for it.
func (d *deployment) close() {
	d.cancel()
	d.waitEnded()
	if d.fabric != nil {
		d.fabric.Close()
	}
}

func (d *deployment) startPlatform() error {
	var err error
	if d.services, err = loadExamples(d.options.User); err != nil {
		return err
	}
	if d.platform, err = platform.New(platform.Options{}); err != nil {
		return err
	}
	d.group.Go(func() error { return d.platform.Run(d.ctx) })
	d.fabric, err = fabric.New(d.options.Seed)
	return err
}

func (d *deployment) publishFirst() error {
	_, err := d.publish()
	return err
}

func (d *deployment) startHosts() error {
	for range cmp.Or(d.options.hosts, hostCount) {
		if err := d.addHost(); err != nil {
			return err
		}
	}
	return nil
}

// startUpstreams runs a stand-in for each upstream and writes its address into the service.
func (d *deployment) startUpstreams() error {
	for i := range d.services {
		s := &d.services[i]
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			u.Address, u.PacketAddress = netip.AddrPort{}, netip.AddrPort{}
			running, err := upstream.New(upstream.Options{
				Upstream: *u, Work: upstreamWork, QueueLimit: upstreamQueue, OnPacket: d.answers.note,
			})
			if err != nil {
				return err
			}
			u.Address, u.PacketAddress = running.HTTPAddr(), running.PacketAddr()
			d.targets = append(d.targets, target{service: s.Name, name: u.Name, upstream: running})
			d.group.Go(func() error { return running.Run(d.ctx) })
		}
	}
	return nil
}

// publish writes the services as they stand and returns how long the slowest
// host took to put them in force; zero before there is a host.
func (d *deployment) publish() (time.Duration, error) {
	port, err := d.openPlatform()
	if err != nil {
		return 0, err
	}
	result, err := publisher.Publish(d.ctx, port, publisher.Options{Operator: "demo", Seed: d.options.Seed}, d.services)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	if err := d.waitFor(result.Version); err != nil {
		return 0, err
	}
	return time.Since(started), d.tellUpstreams()
}

// tellUpstreams gives each stand-in the identifier of its service.
func (d *deployment) tellUpstreams() error {
	entries := d.hosts()
	if len(entries) == 0 {
		return nil
	}
	status, err := entries[0].Status()
	if err != nil {
		return err
	}
	ids := make(map[string]service.ID)
	for _, s := range status.Flows.Services {
		ids[s.Name] = s.ID
	}
	for _, t := range d.targets {
		t.upstream.SetService(ids[t.service])
	}
	return nil
}

// waitFor returns when every host has adopted the version.
func (d *deployment) waitFor(version config.Version) error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range d.hosts() {
		for {
			status, err := e.Status()
			if err == nil && status.ConfigVersion >= version {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s: %w", e.host.ID, errors.Join(errNotReady, err))
			}
			if err := wait.For(d.ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// service returns the service of the given name.
func (d *deployment) service(name string) *service.Service {
	for i := range d.services {
		if d.services[i].Name == name {
			return &d.services[i]
		}
	}
	return nil
}
