package publish_test

import (
	"errors"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/service"
)

// driver publishes one request after another in a simulation without faults.
type driver struct {
	*simulation
	now time.Time
	// hosts are reported with each state; nil stands for an unreadable host list.
	hosts *publish.Hosts
	// count is the number of publications so far. It determines the next one's ID.
	count int
}

func newDriver(t *testing.T) *driver {
	return &driver{simulation: newSimulation(t, 1, faultRates{}), now: time.Unix(1_800_000_000, 0)}
}

// publish runs the machine of one request to its end.
func (d *driver) publish(request publish.Request) (publish.Result, error) {
	d.count++
	request.ID = string(rune('A' + d.count))
	request.At = d.now
	machine := publish.NewStateMachine(request)
	a := &attempt{machine: machine, request: request, next: machine.Start(), hasRead: true}
	for {
		if finish, ok := a.next.(publish.Finish); ok {
			return finish.Result, finish.Err
		}
		event := d.perform(a)
		if read, ok := event.(publish.StateRead); ok {
			read.State.Hosts = d.hosts
			event = read
		}
		a.next = machine.Step(event)
	}
}

// confirm adds confirmations of the version by the hosts.
func (d *driver) confirm(version config.Version, ids ...host.ID) {
	for _, id := range ids {
		d.hosts.Confirmations = append(d.hosts.Confirmations, config.Confirmation{Host: id, Version: version})
	}
}

// services returns the names of the published services.
func (d *driver) services() []string {
	var names []string
	for _, entry := range d.readState().Bundle.Snapshot.Manifest.Services {
		names = append(names, entry.Name)
	}
	return names
}

// serviceWithAddressOf returns a service with the address of another one.
func serviceWithAddressOf(name, from string) service.Service {
	s := svc(name, 1)
	s.Address = svc(from, 1).Address
	return s
}

// TestReleasedAddressIsQuarantinedUntilEveryListedHostConfirms guards against giving an
// address to a new service while some host still serves it for the former owner.
func TestReleasedAddressIsQuarantinedUntilEveryListedHostConfirms(t *testing.T) {
	d := newDriver(t)
	released, err := d.publish(publish.Request{Remove: []string{"a"}})
	if err != nil || !slices.Equal(released.Removed, []string{"a"}) {
		t.Fatalf("%+v %v", released, err)
	}
	claim := publish.Request{Services: []service.Service{serviceWithAddressOf("z", "a")}}
	expectQuarantined := func(when string, unconfirmed ...host.ID) {
		t.Helper()
		var quarantined *publish.QuarantinedError
		if _, err := d.publish(claim); !errors.As(err, &quarantined) {
			t.Fatalf("%s: want QuarantinedError, got %v", when, err)
		}
		if !slices.Equal(quarantined.Unconfirmed, unconfirmed) {
			t.Fatalf("%s: unconfirmed hosts are %q, want %q", when, quarantined.Unconfirmed, unconfirmed)
		}
	}
	expectQuarantined("right away")
	d.now = d.now.Add(publish.MinQuarantine)
	expectQuarantined("without a host list")
	d.hosts = &publish.Hosts{Listed: []host.ID{"one", "two", "three"}}
	d.confirm(released.Version, "one")
	d.confirm(released.Version-1, "two")
	expectQuarantined("with two hosts behind", "two", "three")
	d.confirm(released.Version, "two", "three")
	if result, err := d.publish(claim); err != nil || !slices.Equal(result.Changed, []string{"z"}) {
		t.Fatalf("after all hosts have confirmed: %+v %v", result, err)
	}
	if remaining := d.readState().Bundle.Head.Quarantined; len(remaining) != 0 {
		t.Fatalf("entries are still in quarantine: %+v", remaining)
	}
}

func TestServiceTakesItsOwnAddressBack(t *testing.T) {
	d := newDriver(t)
	moved := svc("a", 1)
	moved.Address = netip.MustParseAddrPort("203.0.113.9:443")
	if _, err := d.publish(publish.Request{Services: []service.Service{moved}}); err != nil {
		t.Fatal(err)
	}
	if _, err := d.publish(publish.Request{Services: []service.Service{svc("a", 1)}}); err != nil {
		t.Fatal(err)
	}
}

// TestSwappingAddressesIsRefused: two services that exchange their addresses in one
// publication would each use an address that hosts still serve for the other.
func TestSwappingAddressesIsRefused(t *testing.T) {
	d := newDriver(t)
	_, err := d.publish(publish.Request{Services: []service.Service{serviceWithAddressOf("a", "b"), serviceWithAddressOf("b", "a")}})
	var quarantined *publish.QuarantinedError
	if !errors.As(err, &quarantined) {
		t.Fatalf("want QuarantinedError, got %v", err)
	}
}

// TestUpstreamThatMovesToAnotherServiceIsQuarantined first shares an upstream address
// between two services, which is a duplicate, then moves it from one to the other.
func TestUpstreamThatMovesToAnotherServiceIsQuarantined(t *testing.T) {
	d := newDriver(t)
	shared := svc("b", 2)
	shared.Upstreams = append(shared.Upstreams, svc("a", 1).Upstreams...)
	var duplicate *config.DuplicateError
	if _, err := d.publish(publish.Request{Services: []service.Service{shared}}); !errors.As(err, &duplicate) {
		t.Fatalf("want DuplicateError, got %v", err)
	}
	replaced := svc("a", 1)
	replaced.Upstreams[0].Address = netip.MustParseAddrPort("203.0.113.7:80")
	if _, err := d.publish(publish.Request{Services: []service.Service{replaced}}); err != nil {
		t.Fatal(err)
	}
	var quarantined *publish.QuarantinedError
	if _, err := d.publish(publish.Request{Services: []service.Service{shared}}); !errors.As(err, &quarantined) {
		t.Fatalf("want QuarantinedError, got %v", err)
	}
}

// TestPausedPublisherWritesNothingStale guards against overwriting newer changes with a
// write that was planned before them: a publisher pauses between its last read and its
// write, while others publish.
func TestPausedPublisherWritesNothingStale(t *testing.T) {
	for name, want := range map[string]outcome{"a": conflicted, "b": published} {
		d := newDriver(t)
		paused := d.newAttempt("paused", "a", 50)
		for _, swapping := paused.next.(publish.SwapHead); !swapping; _, swapping = paused.next.(publish.SwapHead) {
			d.stepAttempt(paused)
		}
		for weight := range 3 {
			if _, err := d.publish(publish.Request{Services: []service.Service{svc(name, 60+weight)}}); err != nil {
				t.Fatal(err)
			}
		}
		d.runAll([]*attempt{paused})
		if got := paused.outcome(t); got != want {
			t.Fatalf("others changed %s: got %v, want %v", name, got, want)
		}
		if got := weightOf(d.readState(), name); got != 62 {
			t.Fatalf("service %s has weight %d", name, got)
		}
	}
}

func TestReleasedRequestHostIsQuarantined(t *testing.T) {
	d := newDriver(t)
	withRequestHost := func(name, requestHost string) publish.Request {
		s := svc(name, 1)
		s.RequestHost = requestHost
		return publish.Request{Services: []service.Service{s}}
	}
	if _, err := d.publish(withRequestHost("a", "desk.example")); err != nil {
		t.Fatal(err)
	}
	if _, err := d.publish(withRequestHost("a", "other.example")); err != nil {
		t.Fatal(err)
	}
	var quarantined *publish.QuarantinedError
	if _, err := d.publish(withRequestHost("b", "desk.example")); !errors.As(err, &quarantined) {
		t.Fatalf("want QuarantinedError, got %v", err)
	}
}

// TestRefusals checks that rejected requests name their cause and leave the head as it is.
func TestRefusals(t *testing.T) {
	huge := svc("a", 1)
	huge.Upstreams = nil
	for range 12000 {
		huge.Upstreams = append(huge.Upstreams, svc("a", 1).Upstreams[0])
	}
	cases := map[string]struct {
		request publish.Request
		target  any
		message string
	}{
		"duplicate address":     {publish.Request{Services: []service.Service{serviceWithAddressOf("z", "b")}}, new(*config.DuplicateError), `"b" and "z"`},
		"duplicate name":        {publish.Request{Services: []service.Service{svc("z", 1), svc("z", 2)}}, new(*config.DuplicateError), `"z"`},
		"unknown service":       {publish.Request{Remove: []string{"z"}}, new(*publish.UnknownServiceError), `"z"`},
		"published and removed": {publish.Request{Services: []service.Service{svc("a", 2)}, Remove: []string{"a"}}, new(*publish.InvalidServiceError), `"a"`},
		"over-size":             {publish.Request{Services: []service.Service{huge}}, new(*config.TooLargeError), `"a"`},
		"changed since base":    {publish.Request{Services: []service.Service{svc("b", 3)}, Base: 1}, new(*publish.ConflictError), "publication B"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			if _, err := d.publish(publish.Request{Services: []service.Service{svc("b", 2)}}); err != nil {
				t.Fatal(err)
			}
			before := d.readState().Revision
			_, err := d.publish(c.request)
			var failed *publish.NotPublishedError
			if !errors.As(err, &failed) || !errors.As(err, c.target) || !strings.Contains(err.Error(), c.message) {
				t.Fatalf("got %v", err)
			}
			if d.readState().Revision != before {
				t.Fatal("a rejected publication wrote the head")
			}
		})
	}
}

// TestKeysAndIDsSurviveLaterPublications guards against a changed flow key, which would
// remap flows, a lost ticket key, and a service that gets another ID when it is removed
// and published again while its address is in quarantine.
func TestKeysAndIDsSurviveLaterPublications(t *testing.T) {
	d := newDriver(t)
	first := d.readState().Bundle.Head
	entryOfC, _ := d.readState().Bundle.Snapshot.Manifest.Entry("c")
	idOfC := entryOfC.ID
	secrets := publish.Secrets{FlowKey: [16]byte{9}, TicketKey: [32]byte{9}}
	if _, err := d.publish(publish.Request{Services: []service.Service{svc("d", 1)}, Remove: []string{"c"}, Secrets: secrets}); err != nil {
		t.Fatal(err)
	}
	rotated, err := d.publish(publish.Request{RotateTicketKeys: true, Secrets: secrets})
	if err != nil || rotated.Unchanged {
		t.Fatalf("%+v %v", rotated, err)
	}
	if _, err := d.publish(publish.Request{Services: []service.Service{svc("c", 1)}}); err != nil {
		t.Fatal(err)
	}
	head := d.readState().Bundle.Head
	if !slices.Equal(head.FlowKey, first.FlowKey) {
		t.Fatal("the flow key changed")
	}
	if len(head.TicketKeys) != 2 || head.TicketKeys[0][0] != 9 || !slices.Equal(head.TicketKeys[1], first.TicketKeys[0]) {
		t.Fatalf("ticket keys: %x", head.TicketKeys)
	}
	if head.NextID != first.NextID+1 {
		t.Fatalf("next ID %d after one new service, was %d", head.NextID, first.NextID)
	}
	entry, _ := d.readState().Bundle.Snapshot.Manifest.Entry("c")
	if entry.ID != idOfC {
		t.Fatalf("service c was republished with ID %d instead of %d", entry.ID, idOfC)
	}
	if got := d.services(); !slices.Equal(got, []string{"a", "b", "c", "d"}) {
		t.Fatalf("services %q", got)
	}
}

func TestAboveRaisesTheVersion(t *testing.T) {
	d := newDriver(t)
	raised, err := d.publish(publish.Request{AboveVersion: 40})
	if err != nil || raised.Version != 41 {
		t.Fatalf("%+v %v", raised, err)
	}
	if again, err := d.publish(publish.Request{AboveVersion: 40}); err != nil || !again.Unchanged {
		t.Fatalf("%+v %v", again, err)
	}
}
