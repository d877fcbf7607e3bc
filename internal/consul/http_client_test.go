package consul_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch/internal/consul"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTestClient returns a client of a test server with the handler.
func newTestClient(t *testing.T, options consul.Options, handler http.HandlerFunc) *consul.HTTPClient {
	t.Helper()
	server := httptest.NewServer(handler)
	options.Addresses = []string{server.URL}
	options.Seed = 1
	client, err := consul.NewHTTPClient(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// A write is sent only once. Its error tells whether it may have taken effect.
func TestWriteOutcome(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	hang := func(_ http.ResponseWriter, r *http.Request) {
		// The server notices that the client has closed the connection only after the
		// body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		_, _ = w.Write([]byte("tr"))
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		// ambiguous selects the wanted error: AmbiguousError or else UnavailableError.
		ambiguous bool
	}{
		"forbidden":          {respond(http.StatusForbidden, "no"), false},
		"redirect":           {respond(http.StatusTemporaryRedirect, ""), false},
		"server error":       {respond(http.StatusInternalServerError, "leadership lost"), true},
		"unexpected body":    {respond(http.StatusOK, "perhaps"), true},
		"no response":        {hang, true},
		"truncated response": {truncate, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			client := newTestClient(t, consul.Options{Timeout: 100 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				c.handler(w, r)
			})
			_, err := client.CompareAndSwap(context.Background(), "k", []byte("v"), 0)
			var ambiguous *consul.AmbiguousError
			var unavailable *consul.UnavailableError
			if errors.As(err, &ambiguous) != c.ambiguous || errors.As(err, &unavailable) == c.ambiguous {
				t.Fatalf("wrong kind of error: %v", err)
			}
			if n := requests.Load(); n != 1 {
				t.Fatalf("the write was sent %d times, want once", n)
			}
		})
	}
}

func TestReadRejectsInvalidResponse(t *testing.T) {
	for name, body := range map[string]string{
		"garbage": "<html>", "two keys": `[{"Key":"a"},{"Key":"b"}]`, "bad base64": `[{"Key":"a","Value":"%"}]`,
	} {
		client := newTestClient(t, consul.Options{}, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Consul-Index", "7")
			_, _ = w.Write([]byte(body))
		})
		var unavailable *consul.UnavailableError
		if _, err := client.Get(context.Background(), "a"); !errors.As(err, &unavailable) {
			t.Fatalf("%s: want an UnavailableError, got %v", name, err)
		}
	}
}

func TestReadIsRetried(t *testing.T) {
	var requests atomic.Int32
	client := newTestClient(t, consul.Options{}, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("X-Consul-Index", "7")
		w.WriteHeader(http.StatusNotFound)
	})
	if value, err := client.Get(context.Background(), "a"); err != nil || value.Exists() || value.Index != 7 {
		t.Fatalf("want an absent key with index 7, got %+v, %v", value, err)
	}
}

// At 10 calls per second, the burst size is two: the third call has to wait for the rate
// limit, for longer than its context allows.
func TestRateLimit(t *testing.T) {
	registry := prometheus.NewRegistry()
	client := newTestClient(t, consul.Options{CallsPerSecond: 10, Registerer: registry}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("true"))
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	var unavailable *consul.UnavailableError
	for call := range 3 {
		_, err := client.CompareAndSwap(ctx, "k", nil, 0)
		if overLimit := call == 2; overLimit != errors.As(err, &unavailable) {
			t.Fatalf("call %d: got %v, want an UnavailableError only for call 2", call, err)
		}
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "oatlatch_platform_budget_waits_total" && family.Metric[0].Counter.GetValue() != 1 {
			t.Fatalf("want one call that waited for the rate limit, got %v", family)
		}
	}
}

func TestBackoffIsCappedAndJittered(t *testing.T) {
	a, b := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(2, 1))
	different := 0
	for failures := range 100 {
		first, second := consul.Backoff(failures, a), consul.Backoff(failures, b)
		if first <= 0 || first > consul.BackoffCap {
			t.Fatalf("delay after %d failures is %s, want more than 0 and at most BackoffCap", failures, first)
		}
		if first != second {
			different++
		}
	}
	if different < 95 {
		t.Fatalf("two hosts had the same delay %d times out of 100", 100-different)
	}
}

func TestAddressesAreValidated(t *testing.T) {
	for _, addresses := range [][]string{nil, {"192.0.2.1:8500"}, {"ftp://192.0.2.1"}, {"http://"}} {
		var settings *consul.SettingsError
		if _, err := consul.NewHTTPClient(consul.Options{Addresses: addresses}); !errors.As(err, &settings) {
			t.Errorf("addresses %q: want a SettingsError, got %v", addresses, err)
		}
	}
}

func TestOversizedValueIsNotSent(t *testing.T) {
	client := newTestClient(t, consul.Options{}, func(http.ResponseWriter, *http.Request) { t.Error("sent") })
	var large *consul.TooLargeError
	if _, err := client.CompareAndSwap(context.Background(), "k", make([]byte, consul.MaxValueBytes+1), 0); !errors.As(err, &large) {
		t.Fatal(err)
	}
}
