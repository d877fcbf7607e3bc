package demo

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/host"
	client "github.com/oatlatch/oatlatch/internal/platform"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/internal/wait"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// entry is a running entry host and its addresses.
type entry struct {
	node
	host host.Host
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
	started, err := d.options.launch(d.ctx, d.hostSettings(d.started), d.started)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.nodes = append(d.nodes, started)
	d.mu.Unlock()
	self, err := d.waitReady(started)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.entries = append(d.entries, &entry{node: started, host: self})
	d.mu.Unlock()
	d.updateFabric()
	return nil
}

// removeHost stops the oldest host gracefully. The fabric learns of it late.
func (d *deployment) removeHost() error {
	leaving := d.takeOut(0)
	leaving.Stop()
	if err := wait.For(d.ctx, fabricLag); err != nil {
		return err
	}
	d.updateFabric()
	<-leaving.Done()
	if err := leaving.Err(); err != nil {
		return fmt.Errorf("the host did not stop cleanly: %w", err)
	}
	return nil
}

// takeOut removes an entry from the list of running hosts.
func (d *deployment) takeOut(index int) *entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := d.entries[index]
	d.entries = append(d.entries[:index:index], d.entries[index+1:]...)
	return taken
}

// waitReady returns the host's addresses once it serves.
func (d *deployment) waitReady(n node) (host.Host, error) {
	deadline := time.Now().Add(readyTimeout)
	for {
		status, err := n.Status()
		if err == nil && status.Ready {
			return status.Host, nil
		}
		if time.Now().After(deadline) {
			return host.Host{}, errors.Join(errNotReady, err)
		}
		if err := wait.For(d.ctx, pollInterval); err != nil {
			return host.Host{}, err
		}
	}
}

// waitEnded returns when every host that was started has ended.
func (d *deployment) waitEnded() {
	d.mu.Lock()
	nodes := append([]node(nil), d.nodes...)
	d.mu.Unlock()
	for _, n := range nodes {
		<-n.Done()
	}
}

func (d *deployment) updateFabric() {
	var addresses []netip.AddrPort
	for _, e := range d.hosts() {
		addresses = append(addresses, e.host.PacketAddress)
	}
	d.fabric.SetHosts(addresses)
}

// requestAddresses returns where callers send requests.
func (d *deployment) requestAddresses() []string {
	var addresses []string
	for _, e := range d.hosts() {
		addresses = append(addresses, e.host.RequestAddress.String())
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
