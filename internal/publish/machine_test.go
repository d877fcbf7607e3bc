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

// deployment publishes one request after the other.
type deployment struct {
	*race
	at     time.Time
	hosts  *publish.Hosts
	number int
}

func newDeployment(t *testing.T) *deployment {
	return &deployment{race: newRace(t, 1, raceFaults{}), at: time.Unix(1_800_000_000, 0)}
}

func (d *deployment) publish(request publish.Request) (publish.Result, error) {
	d.number++
	request.ID = string(rune('A' + d.number))
	request.At = d.at
	machine := publish.NewMachine(request)
	o := &operator{machine: machine, request: request, next: machine.Start(), read: true}
	for {
		if finish, ok := o.next.(publish.Finish); ok {
			return finish.Result, finish.Err
		}
		event := d.perform(o)
		if read, ok := event.(publish.StateRead); ok {
			read.State.Hosts = d.hosts
			event = read
		}
		o.next = machine.Step(event)
	}
}

// confirm lets listed hosts confirm the version.
func (d *deployment) confirm(version config.Version, ids ...host.ID) {
	for _, id := range ids {
		d.hosts.Confirmed = append(d.hosts.Confirmed, config.Confirmation{Host: id, Version: version})
	}
}

func (d *deployment) services() []string {
	var names []string
	for _, entry := range d.readState().Bundle.Snapshot.Manifest.Services {
		names = append(names, entry.Name)
	}
	return names
}

// takeover returns a new service that claims the address of another.
func takeover(name, from string) service.Service {
	s := svc(name, 1)
	s.Address = svc(from, 1).Address
	return s
}

func TestReleasedAddressIsQuarantinedUntilEveryListedHostConfirms(t *testing.T) {
	d := newDeployment(t)
	released, err := d.publish(publish.Request{Remove: []string{"a"}})
	if err != nil || !slices.Equal(released.Removed, []string{"a"}) {
		t.Fatalf("%+v %v", released, err)
	}
	claim := publish.Request{Services: []service.Service{takeover("z", "a")}}
	refused := func(why string, waiting ...host.ID) {
		t.Helper()
		var quarantined *publish.QuarantinedError
		if _, err := d.publish(claim); !errors.As(err, &quarantined) {
			t.Fatalf("%s: want QuarantinedError, got %v", why, err)
		}
		if !slices.Equal(quarantined.Waiting, waiting) {
			t.Fatalf("%s: waits for %q, want %q", why, quarantined.Waiting, waiting)
		}
	}
	refused("at once")
	d.at = d.at.Add(publish.QuarantineHold)
	refused("without a host list")
	d.hosts = &publish.Hosts{Listed: []host.ID{"one", "two", "three"}}
	d.confirm(released.Version, "one")
	d.confirm(released.Version-1, "two")
	refused("with two hosts behind", "two", "three")
	d.confirm(released.Version, "two", "three")
	if result, err := d.publish(claim); err != nil || !slices.Equal(result.Changed, []string{"z"}) {
		t.Fatalf("after all hosts have confirmed: %+v %v", result, err)
	}
	if left := d.readState().Bundle.Head.Quarantined; len(left) != 0 {
		t.Fatalf("quarantine stays: %+v", left)
	}
}

func TestServiceTakesItsOwnAddressBack(t *testing.T) {
	d := newDeployment(t)
	moved := svc("a", 1)
	moved.Address = netip.MustParseAddrPort("203.0.113.9:443")
	if _, err := d.publish(publish.Request{Services: []service.Service{moved}}); err != nil {
		t.Fatal(err)
	}
	if _, err := d.publish(publish.Request{Services: []service.Service{svc("a", 1)}}); err != nil {
		t.Fatal(err)
	}
}

func TestSwappingAddressesIsRefused(t *testing.T) {
	d := newDeployment(t)
	_, err := d.publish(publish.Request{Services: []service.Service{takeover("a", "b"), takeover("b", "a")}})
	var quarantined *publish.QuarantinedError
	if !errors.As(err, &quarantined) {
		t.Fatalf("want QuarantinedError, got %v", err)
	}
}

func TestUpstreamThatMovesToAnotherServiceIsQuarantined(t *testing.T) {
	d := newDeployment(t)
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

// TestPausedPublisherWritesNothingStale pauses an operator between its last read and
// its write, while others publish.
func TestPausedPublisherWritesNothingStale(t *testing.T) {
	for name, want := range map[string]verdict{"a": conflicted, "b": landed} {
		d := newDeployment(t)
		paused := d.operator("paused", "a", 50)
		for _, swapping := paused.next.(publish.Swap); !swapping; _, swapping = paused.next.(publish.Swap) {
			d.stepOne(paused)
		}
		for weight := range 3 {
			if _, err := d.publish(publish.Request{Services: []service.Service{svc(name, 60+weight)}}); err != nil {
				t.Fatal(err)
			}
		}
		d.runAll([]*operator{paused})
		if got := paused.verdict(t); got != want {
			t.Fatalf("others changed %s: got %v, want %v", name, got, want)
		}
		if got := weightOf(d.readState(), name); got != 62 {
			t.Fatalf("service %s went back to weight %d", name, got)
		}
	}
}

func TestReleasedRequestHostIsQuarantined(t *testing.T) {
	d := newDeployment(t)
	with := func(name, requestHost string) publish.Request {
		s := svc(name, 1)
		s.RequestHost = requestHost
		return publish.Request{Services: []service.Service{s}}
	}
	if _, err := d.publish(with("a", "desk.example")); err != nil {
		t.Fatal(err)
	}
	if _, err := d.publish(with("a", "other.example")); err != nil {
		t.Fatal(err)
	}
	var quarantined *publish.QuarantinedError
	if _, err := d.publish(with("b", "desk.example")); !errors.As(err, &quarantined) {
		t.Fatalf("want QuarantinedError, got %v", err)
	}
}

func TestRefusals(t *testing.T) {
	huge := svc("a", 1)
	huge.Upstreams = nil
	for range 12000 {
		huge.Upstreams = append(huge.Upstreams, svc("a", 1).Upstreams[0])
	}
	cases := map[string]struct {
		request publish.Request
		target  any
		names   string
	}{
		"duplicate address":    {publish.Request{Services: []service.Service{takeover("z", "b")}}, new(*config.DuplicateError), `"b" and "z"`},
		"duplicate name":       {publish.Request{Services: []service.Service{svc("z", 1), svc("z", 2)}}, new(*config.DuplicateError), `"z"`},
		"removing the unknown": {publish.Request{Remove: []string{"z"}}, new(*publish.UnknownServiceError), `"z"`},
		"given and removed":    {publish.Request{Services: []service.Service{svc("a", 2)}, Remove: []string{"a"}}, new(*publish.InvalidServiceError), `"a"`},
		"over-size":            {publish.Request{Services: []service.Service{huge}}, new(*config.TooLargeError), `"a"`},
		"changed since base":   {publish.Request{Services: []service.Service{svc("b", 3)}, Base: 1}, new(*publish.ConflictError), "publication B"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			if _, err := d.publish(publish.Request{Services: []service.Service{svc("b", 2)}}); err != nil {
				t.Fatal(err)
			}
			before := d.readState().Revision
			_, err := d.publish(c.request)
			var failed *publish.NotPublishedError
			if !errors.As(err, &failed) || !errors.As(err, c.target) || !strings.Contains(err.Error(), c.names) {
				t.Fatalf("got %v", err)
			}
			if d.readState().Revision != before {
				t.Fatal("a refused publication wrote the head")
			}
		})
	}
}

func TestKeysAndIDsSurviveLaterPublications(t *testing.T) {
	d := newDeployment(t)
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
		t.Fatalf("service c came back with ID %d instead of %d", entry.ID, idOfC)
	}
	if got := d.services(); !slices.Equal(got, []string{"a", "b", "c", "d"}) {
		t.Fatalf("services %q", got)
	}
}

func TestAboveRaisesTheVersion(t *testing.T) {
	d := newDeployment(t)
	raised, err := d.publish(publish.Request{Above: 40})
	if err != nil || raised.Version != 41 {
		t.Fatalf("%+v %v", raised, err)
	}
	if again, err := d.publish(publish.Request{Above: 40}); err != nil || !again.Unchanged {
		t.Fatalf("%+v %v", again, err)
	}
}
