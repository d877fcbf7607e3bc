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
	"github.com/oatlatch/oatlatch/internal/publishrunner"
	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/fabric"
	"github.com/oatlatch/oatlatch/internal/standin/platform"
	"github.com/oatlatch/oatlatch/internal/standin/upstream"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// errNotReady is returned if a host does not adopt the configuration within readyTimeout.
var errNotReady = errors.New("a host has not adopted the configuration in time, run again with --verbose to see why")

// runningUpstream is an upstream stand-in with the names of its service and upstream in
// the service file.
type runningUpstream struct {
	service string
	name    string
	standIn *upstream.Upstream
}

// deployment is a platform, upstreams, entry hosts and a fabric, all connected.
type deployment struct {
	options  Options
	group    *errgroup.Group
	ctx      context.Context
	cancel   context.CancelFunc
	platform *platform.Server
	fabric   *fabric.Fabric

	services  []service.Service
	upstreams []runningUpstream
	answered  *answeredFlows

	mu sync.Mutex
	// nodes holds every host that was ever started, including those that have ended.
	nodes []node
	// entryHosts holds the hosts that currently receive packets and requests.
	entryHosts     []*entryHost
	lastHostNumber int
}

// newDeployment starts the platform and the upstreams, publishes the examples and starts
// the entry hosts. The returned deployment must be closed even if there is an error.
func newDeployment(ctx context.Context, group *errgroup.Group, options Options) (*deployment, error) {
	d := &deployment{options: options, group: group, answered: newAnsweredFlows()}
	d.ctx, d.cancel = context.WithCancel(ctx)
	for _, start := range []func() error{d.startPlatform, d.startUpstreams, d.publishInitial, d.startHosts, d.setUpstreamServiceIDs} {
		if err := start(); err != nil {
			return d, err
		}
	}
	return d, nil
}

// close ends the hosts that still run, without a graceful stop, and waits for them.
func (d *deployment) close() {
	d.cancel()
	d.waitForNodes()
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

func (d *deployment) publishInitial() error {
	_, err := d.publish()
	return err
}

func (d *deployment) startHosts() error {
	for range cmp.Or(d.options.hosts, defaultHosts) {
		if err := d.addHost(); err != nil {
			return err
		}
	}
	return nil
}

// startUpstreams starts a stand-in for each upstream and replaces the upstream's addresses
// in d.services with those of the stand-in.
func (d *deployment) startUpstreams() error {
	for i := range d.services {
		s := &d.services[i]
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			u.Address, u.PacketAddress = netip.AddrPort{}, netip.AddrPort{}
			running, err := upstream.New(upstream.Options{
				Upstream: *u, ServiceTime: upstreamServiceTime, QueueLimit: upstreamQueueLimit, OnPacket: d.answered.record,
			})
			if err != nil {
				return err
			}
			u.Address, u.PacketAddress = running.HTTPAddr(), running.PacketAddr()
			d.upstreams = append(d.upstreams, runningUpstream{service: s.Name, name: u.Name, standIn: running})
			d.group.Go(func() error { return running.Run(d.ctx) })
		}
	}
	return nil
}

// publish publishes the current services, waits until every host has adopted them and
// returns the duration of that wait, without the publication itself. Without hosts it
// does not wait.
func (d *deployment) publish() (time.Duration, error) {
	client, err := d.newPlatformClient()
	if err != nil {
		return 0, err
	}
	result, err := publishrunner.Publish(d.ctx, client, publishrunner.Options{Operator: "demo", Seed: d.options.Seed}, d.services)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	if err := d.waitForVersion(result.Version); err != nil {
		return 0, err
	}
	return time.Since(started), d.setUpstreamServiceIDs()
}

// setUpstreamServiceIDs sets the service ID of each upstream stand-in, so that it detects
// packets of other services. The IDs are assigned by the publication and read from a host.
func (d *deployment) setUpstreamServiceIDs() error {
	hosts := d.hosts()
	if len(hosts) == 0 {
		return nil
	}
	status, err := hosts[0].Status()
	if err != nil {
		return err
	}
	ids := make(map[string]service.ID)
	for _, s := range status.Flows.Services {
		ids[s.Name] = s.ID
	}
	for _, u := range d.upstreams {
		u.standIn.SetService(ids[u.service])
	}
	return nil
}

// waitForVersion returns when every host has adopted the version or a later one.
func (d *deployment) waitForVersion(version config.Version) error {
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
			if err := wait.Sleep(d.ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// service returns the service of the given name, or nil if there is none.
func (d *deployment) service(name string) *service.Service {
	for i := range d.services {
		if d.services[i].Name == name {
			return &d.services[i]
		}
	}
	return nil
}
