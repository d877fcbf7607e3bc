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
	oracleNames = []string{"a", "b", "c", "d", "e"}
	oracleHosts = []host.ID{"one", "two", "three"}
)

// oracle is what a reader of the service files expects to be published. It follows
// hosts that adopt versions, each at its own pace.
type oracle struct {
	*deployment
	published map[string]service.Service
	// owners are, for each address, the services that any listed host may still
	// serve under it, by version.
	history []map[netip.AddrPort]string
	ids     map[service.ID]string
	adopted map[host.ID]int
}

// serves reports whether a host may still serve the address for another service.
func (o *oracle) serves(address netip.AddrPort, name string) bool {
	for _, id := range oracleHosts {
		if owner, ok := o.history[o.adopted[id]][address]; ok && owner != name {
			return true
		}
	}
	return false
}

func oracleAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(number)}), 443)
}

// addresses returns what no two services may share.
func addresses(s service.Service) []netip.AddrPort {
	return []netip.AddrPort{s.Address, s.Upstreams[0].Address}
}

func (o *oracle) change(t *rapid.T) {
	s := svc(rapid.SampledFrom(oracleNames).Draw(t, "name"), rapid.IntRange(1, 3).Draw(t, "weight"))
	s.Address = oracleAddress(rapid.IntRange(1, 6).Draw(t, "address"))
	s.Upstreams[0].Address = oracleAddress(rapid.IntRange(101, 108).Draw(t, "upstream"))
	request := publish.Request{Services: []service.Service{s}}
	if rapid.Bool().Draw(t, "remove another") {
		other := rapid.SampledFrom(oracleNames).Draw(t, "other")
		if _, ok := o.published[other]; ok && other != s.Name {
			request.Remove = []string{other}
		}
	}
	next := o.expected(request)
	result, err := o.publish(request)
	var duplicate *config.DuplicateError
	var quarantined *publish.QuarantinedError
	switch {
	case errors.As(err, &duplicate):
		if !o.taken(next, s) {
			t.Fatalf("%v, but no other service has the address", err)
		}
	case errors.As(err, &quarantined):
	case err != nil:
		t.Fatal(err)
	default:
		if o.taken(next, s) {
			t.Fatalf("%s got an address in use", s.Name)
		}
		for _, address := range addresses(s) {
			if o.serves(address, s.Name) {
				t.Fatalf("%s got address %s, which a host still serves for another service", s.Name, address)
			}
		}
		o.published = next
		o.landed(t, result)
	}
}

// expected returns what is published if the request lands.
func (o *oracle) expected(request publish.Request) map[string]service.Service {
	next := map[string]service.Service{}
	for name, s := range o.published {
		if !slices.Contains(request.Remove, name) {
			next[name] = s
		}
	}
	next[request.Services[0].Name] = request.Services[0]
	return next
}

func (o *oracle) taken(published map[string]service.Service, s service.Service) bool {
	for name, other := range published {
		shared := func(a netip.AddrPort) bool { return slices.Contains(addresses(other), a) }
		if name != s.Name && slices.ContainsFunc(addresses(s), shared) {
			return true
		}
	}
	return false
}

// landed notes who has which address in the new version.
func (o *oracle) landed(t *rapid.T, result publish.Result) {
	if result.Unchanged {
		return
	}
	if int(result.Version) != len(o.history) {
		t.Fatalf("version %d follows version %d", result.Version, len(o.history)-1)
	}
	o.record()
}

func (o *oracle) record() {
	owners := map[netip.AddrPort]string{}
	for name, s := range o.published {
		for _, address := range addresses(s) {
			owners[address] = name
		}
	}
	o.history = append(o.history, owners)
}

// adopt lets a host adopt a later version and confirm it or not.
func (o *oracle) adopt(t *rapid.T) {
	id := rapid.SampledFrom(oracleHosts).Draw(t, "host")
	o.adopted[id] = rapid.IntRange(o.adopted[id], len(o.history)-1).Draw(t, "version")
	if rapid.Bool().Draw(t, "confirm") {
		o.confirm(config.Version(o.adopted[id]), id)
	}
}

// check compares the published services with the oracle.
func (o *oracle) check(t *rapid.T) {
	snapshot := o.readState().Bundle.Snapshot
	if len(snapshot.Services) != len(o.published) {
		t.Fatalf("%d services are published instead of %d", len(snapshot.Services), len(o.published))
	}
	for _, got := range snapshot.Services {
		if owner, ok := o.ids[got.ID]; ok && owner != got.Name {
			t.Fatalf("ID %d of service %s was given to %s", got.ID, owner, got.Name)
		}
		o.ids[got.ID] = got.Name
		got.ID = 0
		want, err := config.HashService(o.published[got.Name])
		if err != nil {
			t.Fatal(err)
		}
		if hash, err := config.HashService(got); err != nil || hash != want {
			t.Fatalf("service %s differs: %+v %v", got.Name, got, err)
		}
	}
}

func TestPublishingAgainstAnOracle(t *testing.T) {
	landed := 0
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			deployment: &deployment{race: newRace(t, 1, raceFaults{}), at: time.Unix(1_800_000_000, 0)},
			published:  map[string]service.Service{"a": svc("a", 1), "b": svc("b", 1), "c": svc("c", 1)},
			history:    []map[netip.AddrPort]string{{}},
			ids:        map[service.ID]string{},
			adopted:    map[host.ID]int{},
		}
		o.hosts = &publish.Hosts{Listed: oracleHosts}
		o.record()
		t.Repeat(map[string]func(*rapid.T){
			"change": o.change,
			"adopt":  o.adopt,
			"wait": func(t *rapid.T) {
				o.at = o.at.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "minutes")) * time.Minute)
			},
			"": o.check,
		})
		landed += len(o.history) - 2
	})
	if landed == 0 {
		t.Fatal("no publication landed")
	}
	t.Logf("%d publications landed", landed)
}
