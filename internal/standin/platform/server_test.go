package platform_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/standin/platform"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer returns a running stand-in and a client of it.
func startServer(t *testing.T) (*platform.Server, *consul.HTTPClient) {
	t.Helper()
	server, err := platform.New(platform.Options{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	client, err := consul.NewHTTPClient(consul.Options{
		Addresses: []string{server.URL()}, Timeout: time.Second, WatchWait: time.Second, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server, client
}

func TestCompareAndSwap(t *testing.T) {
	_, client := startServer(t)
	ctx := context.Background()
	if written, err := client.CompareAndSwap(ctx, "a/b c", []byte("one"), 0); err != nil || !written {
		t.Fatalf("create: %v %v", written, err)
	}
	if written, err := client.CompareAndSwap(ctx, "a/b c", []byte("two"), 0); err != nil || written {
		t.Fatalf("create of an existing key: %v %v", written, err)
	}
	value, err := client.Get(ctx, "a/b c")
	if err != nil || string(value.Data) != "one" {
		t.Fatalf("get: %q %v", value.Data, err)
	}
	if written, err := client.CompareAndSwap(ctx, "a/b c", []byte("two"), value.Revision); err != nil || !written {
		t.Fatalf("swap: %v %v", written, err)
	}
	if keys, err := client.Keys(ctx, "a/"); err != nil || len(keys) != 1 || keys[0] != "a/b c" {
		t.Fatalf("keys: %q %v", keys, err)
	}
	if removed, err := client.Delete(ctx, "a/b c", value.Revision); err != nil || removed {
		t.Fatalf("delete with an old revision: %v %v", removed, err)
	}
	if value, err = client.Get(ctx, "absent"); err != nil || value.Exists() {
		t.Fatalf("get of an absent key: %+v %v", value, err)
	}
}

func TestWatchReturnsChangedValue(t *testing.T) {
	server, client := startServer(t)
	ctx := context.Background()
	first, err := client.Watch(ctx, "k", 0)
	if err != nil {
		t.Fatal(err)
	}
	changed := make(chan consul.Value, 1)
	go func() {
		value, _ := client.Watch(ctx, "k", first.Index)
		changed <- value
	}()
	server.Store().CompareAndSwap("k", []byte("v"), 0)
	if value := <-changed; string(value.Data) != "v" {
		t.Fatalf("watch returned %+v", value)
	}
}

func TestLostResponseIsAmbiguousAndWriteIsNotRepeated(t *testing.T) {
	server, client := startServer(t)
	ctx := context.Background()
	// net/http resends a request by itself only on a reused connection, so make one
	// request first.
	if _, err := client.Get(ctx, "k"); err != nil {
		t.Fatal(err)
	}
	server.SetFaults(fake.Faults{LoseResponses: 1})
	_, err := client.CompareAndSwap(ctx, "k", []byte("v"), 0)
	var ambiguous *consul.AmbiguousError
	if !errors.As(err, &ambiguous) {
		t.Fatalf("got error %v, want an AmbiguousError", err)
	}
	if value, err := client.Get(ctx, "k"); err != nil || string(value.Data) != "v" {
		t.Fatalf("the write did not take effect: %q %v", value.Data, err)
	}
	if writes := server.Calls().Writes; writes != 1 {
		t.Fatalf("the write was sent %d times, want once", writes)
	}
}

func TestUnreachableServerReturnsUnavailableError(t *testing.T) {
	client, err := consul.NewHTTPClient(consul.Options{Addresses: []string{"http://127.0.0.1:1"}, Timeout: time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	var unavailable *consul.UnavailableError
	if _, err := client.CompareAndSwap(context.Background(), "k", nil, 0); !errors.As(err, &unavailable) {
		t.Fatalf("got error %v, want an UnavailableError", err)
	}
}

func TestClientFailsOverToNextServer(t *testing.T) {
	server, _ := startServer(t)
	server.Store().CompareAndSwap("k", []byte("v"), 0)
	client, err := consul.NewHTTPClient(consul.Options{Addresses: []string{"http://127.0.0.1:1", server.URL()}, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if value, err := client.Get(context.Background(), "k"); err != nil || string(value.Data) != "v" {
		t.Fatalf("get: %q %v", value.Data, err)
	}
}

func TestStaleReadsAndStaleHosts(t *testing.T) {
	server, client := startServer(t)
	ctx := context.Background()
	server.Store().CompareAndSwap("k", []byte("old"), 0)
	server.SetFaults(fake.Faults{Stale: true, StaleHosts: true})
	server.Store().CompareAndSwap("k", []byte("new"), server.Store().Get("k").Revision)
	server.SetHosts([]host.Host{{ID: "h", DataCentre: "d", PeerAddress: netip.MustParseAddrPort("192.0.2.1:7000")}}, nil)
	value, err := client.Get(ctx, "k")
	if err != nil || string(value.Data) != "old" {
		t.Fatalf("stale read: %q %v", value.Data, err)
	}
	if hosts, err := client.Hosts(ctx); err != nil || len(hosts.Live) != 0 {
		t.Fatalf("stale hosts: %+v %v", hosts, err)
	}
	server.SetFaults(fake.Faults{})
	hosts, err := client.Hosts(ctx)
	if err != nil || len(hosts.Live) != 1 || hosts.Live[0].ID != "h" || hosts.Live[0].DataCentre != "d" {
		t.Fatalf("hosts: %+v %v", hosts, err)
	}
}
