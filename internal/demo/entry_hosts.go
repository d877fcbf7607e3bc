package demo

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/internal/wait"
)

// anyPort makes a listener choose a free port.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// entryHost is a node that is ready, with its identity and addresses.
type entryHost struct {
	node
	host host.Host
}

// newPlatformClient returns a client for the platform stand-in.
func (d *deployment) newPlatformClient() (*consul.HTTPClient, error) {
	return consul.NewHTTPClient(consul.Options{
		Addresses: []string{d.platform.URL()}, Timeout: time.Second, CallsPerSecond: 100,
		Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(), Now: time.Now, Seed: d.options.Seed,
	})
}

// hosts returns a copy of the list of hosts that receive packets and requests.
func (d *deployment) hosts() []*entryHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*entryHost(nil), d.entryHosts...)
}

// addHost starts a host, waits until it is ready and adds it to the fabric. Successive
// hosts are placed in the data centres in turn.
func (d *deployment) addHost() error {
	d.lastHostNumber++
	started, err := d.options.launch(d.ctx, d.hostSettings(d.lastHostNumber), d.lastHostNumber)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.nodes = append(d.nodes, started)
	d.mu.Unlock()
	self, err := d.waitUntilReady(started)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.entryHosts = append(d.entryHosts, &entryHost{node: started, host: self})
	d.mu.Unlock()
	d.updateFabric()
	return nil
}

// removeHost stops the oldest host gracefully. The fabric keeps sending packets to the
// host for fabricUpdateDelay, and callers keep it in their lists.
func (d *deployment) removeHost() error {
	leaving := d.removeFromList(0)
	leaving.Stop()
	if err := wait.Sleep(d.ctx, fabricUpdateDelay); err != nil {
		return err
	}
	d.updateFabric()
	<-leaving.Done()
	if err := leaving.Err(); err != nil {
		return fmt.Errorf("the host did not stop gracefully: %w", err)
	}
	return nil
}

// removeFromList removes a host from the list returned by hosts. The host keeps running.
func (d *deployment) removeFromList(index int) *entryHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	removed := d.entryHosts[index]
	d.entryHosts = append(d.entryHosts[:index:index], d.entryHosts[index+1:]...)
	return removed
}

// waitUntilReady waits until the host is ready and returns its identity and addresses.
func (d *deployment) waitUntilReady(n node) (host.Host, error) {
	deadline := time.Now().Add(readyTimeout)
	for {
		status, err := n.Status()
		if err == nil && status.Ready {
			return status.Host, nil
		}
		if time.Now().After(deadline) {
			return host.Host{}, errors.Join(errNotReady, err)
		}
		if err := wait.Sleep(d.ctx, pollInterval); err != nil {
			return host.Host{}, err
		}
	}
}

// waitForNodes waits until all hosts that were ever started have ended.
func (d *deployment) waitForNodes() {
	d.mu.Lock()
	nodes := append([]node(nil), d.nodes...)
	d.mu.Unlock()
	for _, n := range nodes {
		<-n.Done()
	}
}

// updateFabric makes the fabric send packets to the current hosts.
func (d *deployment) updateFabric() {
	var addresses []netip.AddrPort
	for _, e := range d.hosts() {
		addresses = append(addresses, e.host.PacketAddress)
	}
	d.fabric.SetHosts(addresses)
}

// requestAddresses returns the addresses at which the current hosts accept requests.
func (d *deployment) requestAddresses() []string {
	var addresses []string
	for _, e := range d.hosts() {
		addresses = append(addresses, e.host.RequestAddress.String())
	}
	return addresses
}

// hostSettings returns the settings of the host of the given number, counted from 1. Its
// seeds are all current hosts.
func (d *deployment) hostSettings(number int) settings.Settings {
	centres := d.dataCentres()
	centre := centres[(number-1)%len(centres)]
	s := settings.Settings{
		Host:     settings.Host{ID: fmt.Sprintf("%s-entry-%d", centre, number), DataCentre: centre, Region: d.services[0].Region},
		Listen:   settings.Listen{Peer: anyPort, Packet: anyPort, Request: anyPort, Admin: anyPort},
		Platform: settings.Platform{Addresses: []string{d.platform.URL()}, Deadline: time.Second, CallsPerSecond: 5},
		Log:      settings.Log{Level: "info"},
		Limits: settings.Limits{
			Flows: 500_000, Workers: 2, Connections: 20_000, RequestBody: 1 << 20, RequestHeader: 16 << 10, Queue: 64, Deadline: requestDeadline,
		},
		Stop: settings.Stop{TimeLimit: stopTimeLimit},
	}
	for _, e := range d.hosts() {
		s.Peers.Seeds = append(s.Peers.Seeds, e.host.PeerAddress)
	}
	return s
}

// dataCentres returns the distinct data centres of the first service's upstreams, in the
// order of its service file.
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
