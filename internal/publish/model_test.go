package publish_test

import (
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
	"pgregory.net/rapid"
)

var (
	modelServices = []string{"a", "b", "c", "d", "e"}
	modelHosts    = []host.ID{"one", "two", "three"}
)

// model is the expected state: the services that should be published, and the version
// that each host has adopted. Hosts adopt versions independently of each other.
type model struct {
	*driver
	published map[string]service.Service
	// ownersByVersion holds, for each version, the service that owns each address. A
	// host serves the addresses of the version that it has adopted.
	ownersByVersion []map[netip.AddrPort]string
	// servicesByID holds the name of the service that was first seen with each ID.
	servicesByID    map[service.ID]string
	adoptedVersions map[host.ID]int
}

// servedForOther reports whether a host still serves the address for a service other
// than the named one.
func (m *model) servedForOther(address netip.AddrPort, name string) bool {
	for _, id := range modelHosts {
		if owner, ok := m.ownersByVersion[m.adoptedVersions[id]][address]; ok && owner != name {
			return true
		}
	}
	return false
}

// modelAddress returns the address with the number, out of a small range that makes
// services compete for addresses.
func modelAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(number)}), 443)
}

// exclusiveAddresses returns the addresses that no two services may share.
func exclusiveAddresses(s service.Service) []netip.AddrPort {
	return []netip.AddrPort{s.Address, s.Upstreams[0].Address}
}

// change publishes a random service, optionally removes another, and checks that no
// address in use by another service was accepted.
func (m *model) change(t *rapid.T) {
	s := svc(rapid.SampledFrom(modelServices).Draw(t, "name"), rapid.IntRange(1, 3).Draw(t, "weight"))
	s.Address = modelAddress(rapid.IntRange(1, 6).Draw(t, "address"))
	s.Upstreams[0].Address = modelAddress(rapid.IntRange(101, 108).Draw(t, "upstream"))
	request := publish.Request{Services: []service.Service{s}}
	if rapid.Bool().Draw(t, "remove another") {
		other := rapid.SampledFrom(modelServices).Draw(t, "other")
		if _, ok := m.published[other]; ok && other != s.Name {
			request.Remove = []string{other}
		}
	}
	next := m.expected(request)
	result, err := m.publish(request)
	var duplicate *config.DuplicateError
	var quarantined *publish.QuarantinedError
	switch {
	case errors.As(err, &duplicate):
		if !m.addressInUse(next, s) {
			t.Fatalf("%v, but no other service has the address", err)
		}
	case errors.As(err, &quarantined):
	case err != nil:
		t.Fatal(err)
	default:
		if m.addressInUse(next, s) {
			t.Fatalf("%s was published with an address that another service has", s.Name)
		}
		for _, address := range exclusiveAddresses(s) {
			if m.servedForOther(address, s.Name) {
				t.Fatalf("%s was published with address %s, which a host still serves for another service", s.Name, address)
			}
		}
		m.published = next
		m.recordPublication(t, result)
	}
}

// expected returns the published services if the request succeeds.
func (m *model) expected(request publish.Request) map[string]service.Service {
	next := map[string]service.Service{}
	for name, s := range m.published {
		if !slices.Contains(request.Remove, name) {
			next[name] = s
		}
	}
	next[request.Services[0].Name] = request.Services[0]
	return next
}

// addressInUse reports whether another published service has an address of s.
func (m *model) addressInUse(published map[string]service.Service, s service.Service) bool {
	for name, other := range published {
		shared := func(a netip.AddrPort) bool { return slices.Contains(exclusiveAddresses(other), a) }
		if name != s.Name && slices.ContainsFunc(exclusiveAddresses(s), shared) {
			return true
		}
	}
	return false
}

// recordPublication records the owners of the addresses in the new version.
func (m *model) recordPublication(t *rapid.T, result publish.Result) {
	if result.Unchanged {
		return
	}
	if int(result.Version) != len(m.ownersByVersion) {
		t.Fatalf("version %d follows version %d", result.Version, len(m.ownersByVersion)-1)
	}
	m.recordOwners()
}

func (m *model) recordOwners() {
	owners := map[netip.AddrPort]string{}
	for name, s := range m.published {
		for _, address := range exclusiveAddresses(s) {
			owners[address] = name
		}
	}
	m.ownersByVersion = append(m.ownersByVersion, owners)
}

// adopt lets a host adopt the same or a later version and perhaps confirm it.
func (m *model) adopt(t *rapid.T) {
	id := rapid.SampledFrom(modelHosts).Draw(t, "host")
	m.adoptedVersions[id] = rapid.IntRange(m.adoptedVersions[id], len(m.ownersByVersion)-1).Draw(t, "version")
	if rapid.Bool().Draw(t, "confirm") {
		m.confirm(config.Version(m.adoptedVersions[id]), id)
	}
}

// check compares the published services and their IDs with the model.
func (m *model) check(t *rapid.T) {
	snapshot := m.readState().Bundle.Snapshot
	if len(snapshot.Services) != len(m.published) {
		t.Fatalf("%d services are published instead of %d", len(snapshot.Services), len(m.published))
	}
	for _, got := range snapshot.Services {
		if owner, ok := m.servicesByID[got.ID]; ok && owner != got.Name {
			t.Fatalf("ID %d of service %s was given to %s", got.ID, owner, got.Name)
		}
		m.servicesByID[got.ID] = got.Name
		got.ID = 0
		want, err := config.HashService(m.published[got.Name])
		if err != nil {
			t.Fatal(err)
		}
		if hash, err := config.HashService(got); err != nil || hash != want {
			t.Fatalf("service %s differs: %+v %v", got.Name, got, err)
		}
	}
}

// TestPublishMatchesModel guards against two services getting the same address while
// some host still serves it for the former owner, and against reused service IDs.
func TestPublishMatchesModel(t *testing.T) {
	publications := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			driver:          &driver{simulation: newSimulation(t, 1, faultRates{}), now: time.Unix(1_800_000_000, 0)},
			published:       map[string]service.Service{"a": svc("a", 1), "b": svc("b", 1), "c": svc("c", 1)},
			ownersByVersion: []map[netip.AddrPort]string{{}},
			servicesByID:    map[service.ID]string{},
			adoptedVersions: map[host.ID]int{},
		}
		m.hosts = &publish.Hosts{Listed: modelHosts}
		m.recordOwners()
		t.Repeat(map[string]func(*rapid.T){
			"change": m.change,
			"adopt":  m.adopt,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "minutes")) * time.Minute)
			},
			"": m.check,
		})
		publications += len(m.ownersByVersion) - 2
	})
	if publications == 0 {
		t.Fatal("no publication succeeded")
	}
	t.Logf("%d publications succeeded", publications)
}
