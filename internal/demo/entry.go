package demo

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/daemon"
	"github.com/oatlatch/oatlatch/internal/host"
	client "github.com/oatlatch/oatlatch/internal/platform"
	"github.com/oatlatch/oatlatch/internal/settings"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// entry is a running entry host.
type entry struct {
	daemon *daemon.Daemon
	stop   context.CancelFunc
	done   chan struct{}
	err    error
}

// openPlatform returns a client of the platform stand-in.
func (d *deployment) openPlatform() (*client.HTTP, error) {
	return client.NewHTTP(client.Options{
		Addresses: []string{d.platform.URL()}, Deadline: time.Second, CallsPerSecond: 100,
		Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(), Now: time.Now, Seed: d.options.Seed,
	})
}

// hosts returns the hosts that run now.
func (d *deployment) hosts() []*entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*entry(nil), d.entries...)
}

// addHost starts one more host in the next data centre and tells the fabric.
func (d *deployment) addHost() error {
	d.started++
	created, err := daemon.New(daemon.Options{
		Settings: d.hostSettings(d.started), Logger: d.options.Logger, Now: time.Now,
		Seed: d.options.Seed + uint64(d.started), Incarnation: host.Incarnation(d.options.Seed<<16 + uint64(d.started)),
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(d.ctx)
	e := &entry{daemon: created, stop: stop, done: make(chan struct{})}
	d.group.Go(func() error {
		defer close(e.done)
		e.err = created.Run(ctx, d.ctx)
		return nil
	})
	if err := d.waitReady(e); err != nil {
		return err
	}
	d.mu.Lock()
	d.entries = append(d.entries, e)
	d.mu.Unlock()
	d.updateFabric()
	return nil
}

// removeHost stops the oldest host gracefully. The fabric learns of it late.
func (d *deployment) removeHost() error {
	d.mu.Lock()
	leaving := d.entries[0]
	d.entries = d.entries[1:]
	d.mu.Unlock()
	leaving.stop()
	if err := pause(d.ctx, fabricLag); err != nil {
		return err
	}
	d.updateFabric()
	<-leaving.done
	if leaving.err != nil {
		return fmt.Errorf("the host did not stop cleanly: %w", leaving.err)
	}
	return nil
}

func (d *deployment) waitReady(e *entry) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		if ready, _ := e.daemon.Ready(); ready {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: %w", e.daemon.Self().ID, errNotReady)
		}
		if err := pause(d.ctx, pollInterval); err != nil {
			return err
		}
	}
}

func (d *deployment) updateFabric() {
	var addresses []netip.AddrPort
	for _, e := range d.hosts() {
		addresses = append(addresses, e.daemon.Self().PacketAddress)
	}
	d.fabric.SetHosts(addresses)
}

// requestAddresses returns where callers send requests.
func (d *deployment) requestAddresses() []string {
	var addresses []string
	for _, e := range d.hosts() {
		addresses = append(addresses, e.daemon.Self().RequestAddress.String())
	}
	return addresses
}

func (d *deployment) hostSettings(number int) settings.Settings {
	centres := d.dataCentres()
	centre := centres[(number-1)%len(centres)]
	s := settings.Settings{
		Host:     settings.Host{ID: fmt.Sprintf("%s-entry-%d", centre, number), DataCentre: centre, Region: d.services[0].Region},
		Listen:   settings.Listen{Peer: anyPort, Packet: anyPort, Request: anyPort, Admin: anyPort},
		Platform: settings.Platform{Addresses: []string{d.platform.URL()}, Deadline: time.Second, CallsPerSecond: 5},
		Limits: settings.Limits{
			Flows: 500_000, Workers: 2, RequestBody: 1 << 20, RequestHeader: 16 << 10, Queue: 64, Deadline: requestDeadline,
		},
		Stop: settings.Stop{TimeLimit: stopTimeLimit},
	}
	for _, e := range d.hosts() {
		s.Peers.Seeds = append(s.Peers.Seeds, e.daemon.Self().PeerAddress)
	}
	return s
}

// dataCentres returns the data centres of the upstreams in the order of the files.
func (d *deployment) dataCentres() []string {
	var centres []string
	seen := make(map[string]bool)
	for _, u := range d.services[0].Upstreams {
		if !seen[u.DataCentre] {
			seen[u.DataCentre] = true
			centres = append(centres, u.DataCentre)
		}
	}
	return centres
}
