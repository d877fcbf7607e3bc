package publishrunner_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/publish"
	"github.com/oatlatch/oatlatch/internal/publishrunner"
	"github.com/oatlatch/oatlatch/internal/service"
)

// svc returns a service whose addresses derive from the index.
func svc(name string, index int) service.Service {
	return service.Service{
		Name:     name,
		Region:   "nz-north",
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(index >> 8), byte(index)}), 443),
		Protocol: service.TCP,
		Upstreams: []service.Upstream{{
			Name: "one", DataCentre: "akl-a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(2 + index>>8), byte(index)}), 80),
			PacketAddress: netip.MustParseAddrPort("192.0.2.1:6081"), Weight: 1, Slots: 2, Connections: 2000,
		}},
	}
}

// options returns options whose identifiers and keys are determined by the seed.
func options(seed uint64) publishrunner.Options {
	var key [32]byte
	key[0], key[1] = byte(seed), byte(seed>>8)
	return publishrunner.Options{
		Operator: fmt.Sprintf("operator-%d", seed), Random: rand.NewChaCha8(key), Seed: seed,
		Now: func() time.Time { return time.Unix(1_800_000_000, 0) },
	}
}

func TestRepeatedPublicationWritesNothing(t *testing.T) {
	client := fake.NewClient(fake.NewStore())
	ctx := context.Background()
	first, err := publishrunner.Publish(ctx, client, options(1), []service.Service{svc("a", 1), svc("b", 2)})
	if err != nil || first.Version != 1 || len(first.Changed) != 2 {
		t.Fatalf("%+v %v", first, err)
	}
	before := client.Calls()
	again, err := publishrunner.Publish(ctx, client, options(2), []service.Service{svc("b", 2)})
	if err != nil || !again.Unchanged || again.Version != 1 {
		t.Fatalf("%+v %v", again, err)
	}
	if writes := client.Calls().Sub(before).Writes; writes != 0 {
		t.Fatalf("the repeated publication wrote %d times", writes)
	}
}

// TestAmbiguousHeadWriteIsResolved: the responses to the first writes are lost, with and
// without the writes taking effect. Publish must still learn that it succeeded.
func TestAmbiguousHeadWriteIsResolved(t *testing.T) {
	for _, faults := range []fake.Faults{{LoseResponses: 2}, {DropWrites: 2}} {
		client := fake.NewClient(fake.NewStore())
		client.SetFaults(faults)
		result, err := publishrunner.Publish(context.Background(), client, options(3), []service.Service{svc("a", 1)})
		if err != nil || result.Version != 1 {
			t.Fatalf("%+v: %+v %v", faults, result, err)
		}
	}
}

func TestOutageIsReportedAsNotPublished(t *testing.T) {
	client := fake.NewClient(fake.NewStore())
	client.SetFaults(fake.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := publishrunner.Publish(ctx, client, options(4), []service.Service{svc("a", 1)})
	var notPublished *publish.NotPublishedError
	if !errors.As(err, &notPublished) {
		t.Fatalf("want NotPublishedError, got %v", err)
	}
}

func TestPublishFailsWithoutRandomness(t *testing.T) {
	client := fake.NewClient(fake.NewStore())
	o := options(5)
	o.Random = bytes.NewReader(nil)
	if _, err := publishrunner.Publish(context.Background(), client, o, []service.Service{svc("a", 1)}); err == nil {
		t.Fatal("published without random bytes")
	}
}

// hostListUnavailable is a platform client whose host list cannot be read.
type hostListUnavailable struct{ *fake.Client }

func (hostListUnavailable) Hosts(context.Context) (consul.HostList, error) {
	return consul.HostList{}, &consul.UnavailableError{Call: "hosts", Err: errors.New("access denied")}
}

// TestPublishWithoutTheHostList: with an unreadable host list, addresses must stay in
// quarantine, but other changes must be published.
func TestPublishWithoutTheHostList(t *testing.T) {
	client := hostListUnavailable{fake.NewClient(fake.NewStore())}
	ctx := context.Background()
	if _, err := publishrunner.Publish(ctx, client, options(1), []service.Service{svc("a", 1)}); err != nil {
		t.Fatal(err)
	}
	if _, err := publishrunner.Publish(ctx, client, options(2), []service.Service{svc("a", 2)}); err != nil {
		t.Fatal(err)
	}
	if _, err := publishrunner.Publish(ctx, client, options(3), []service.Service{svc("b", 3)}); err != nil {
		t.Fatal(err)
	}
	var quarantined *publish.QuarantinedError
	if _, err := publishrunner.Publish(ctx, client, options(4), []service.Service{svc("c", 1)}); !errors.As(err, &quarantined) {
		t.Fatalf("want QuarantinedError, got %v", err)
	}
}

// TestUnusedPagesAreDeleted guards against pages piling up on the platform, and against
// deleting a page that is still in use.
func TestUnusedPagesAreDeleted(t *testing.T) {
	const publications = 200
	client := fake.NewClient(fake.NewStore())
	ctx := context.Background()
	for i := range publications {
		changed := svc("a", 1)
		changed.Upstreams[0].Weight = uint32(i + 1)
		if _, err := publishrunner.Publish(ctx, client, options(uint64(i)), []service.Service{changed, svc("b", 2)}); err != nil {
			t.Fatal(err)
		}
	}
	// The cleanup runs every 32 versions and keeps the pages of the last 64.
	if pages := len(client.Store().List(config.PagePrefix)); pages > 100 {
		t.Fatalf("%d pages exist after %d publications", pages, publications)
	}
	if again, err := publishrunner.Publish(ctx, client, options(1), []service.Service{svc("b", 2)}); err != nil || !again.Unchanged {
		t.Fatalf("%+v %v", again, err)
	}
}
