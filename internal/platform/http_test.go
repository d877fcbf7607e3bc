package platform_test

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

	"github.com/oatlatch/oatlatch/internal/platform"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// connect returns an adapter to a server with the handler.
func connect(t *testing.T, options platform.Options, handler http.HandlerFunc) *platform.HTTP {
	t.Helper()
	server := httptest.NewServer(handler)
	options.Addresses = []string{server.URL}
	options.Seed = 1
	client, err := platform.NewHTTP(options)
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

func TestOutcomeOfAWrite(t *testing.T) {
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	hang := func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		_, _ = w.Write([]byte("tr"))
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		// ambiguous, when false, means without effect.
		ambiguous bool
	}{
		"forbidden":      {reply(http.StatusForbidden, "no"), false},
		"redirect":       {reply(http.StatusTemporaryRedirect, ""), false},
		"server error":   {reply(http.StatusInternalServerError, "leadership lost"), true},
		"strange answer": {reply(http.StatusOK, "perhaps"), true},
		"no answer":      {hang, true},
		"half an answer": {cut, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int32
			client := connect(t, platform.Options{Deadline: 100 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
				sent.Add(1)
				c.handler(w, r)
			})
			_, err := client.CompareAndSwap(context.Background(), "k", []byte("v"), 0)
			var ambiguous *platform.AmbiguousError
			var unavailable *platform.UnavailableError
			if errors.As(err, &ambiguous) != c.ambiguous || errors.As(err, &unavailable) == c.ambiguous {
				t.Fatalf("got %v", err)
			}
			if n := sent.Load(); n != 1 {
				t.Fatalf("sent %d times", n)
			}
		})
	}
}

func TestReadsRefuseDamagedAnswers(t *testing.T) {
	for name, body := range map[string]string{
		"garbage": "<html>", "two keys": `[{"Key":"a"},{"Key":"b"}]`, "bad base64": `[{"Key":"a","Value":"%"}]`,
	} {
		client := connect(t, platform.Options{}, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Consul-Index", "7")
			_, _ = w.Write([]byte(body))
		})
		var unavailable *platform.UnavailableError
		if _, err := client.Get(context.Background(), "a"); !errors.As(err, &unavailable) {
			t.Fatalf("%s: got %v", name, err)
		}
	}
}

func TestReadIsTriedAgain(t *testing.T) {
	var calls atomic.Int32
	client := connect(t, platform.Options{}, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("X-Consul-Index", "7")
		w.WriteHeader(http.StatusNotFound)
	})
	if value, err := client.Get(context.Background(), "a"); err != nil || value.Exists() || value.Index != 7 {
		t.Fatalf("%+v %v", value, err)
	}
}

func TestCallBudget(t *testing.T) {
	registry := prometheus.NewRegistry()
	client := connect(t, platform.Options{CallsPerSecond: 10, Registerer: registry}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("true"))
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	var unavailable *platform.UnavailableError
	for call := range 3 {
		_, err := client.CompareAndSwap(ctx, "k", nil, 0)
		if exhausted := call == 2; exhausted != errors.As(err, &unavailable) {
			t.Fatalf("call %d: %v", call, err)
		}
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "oatlatch_platform_budget_waits_total" && family.Metric[0].Counter.GetValue() != 1 {
			t.Fatalf("waits: %v", family)
		}
	}
}

func TestBackoffIsCappedAndJittered(t *testing.T) {
	a, b := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(2, 1))
	differ := 0
	for failures := range 100 {
		first, second := platform.Backoff(failures, a), platform.Backoff(failures, b)
		if first <= 0 || first > platform.BackoffCap {
			t.Fatalf("after %d failures: %s", failures, first)
		}
		if first != second {
			differ++
		}
	}
	if differ < 95 {
		t.Fatalf("two hosts waited alike %d times of 100", 100-differ)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for _, addresses := range [][]string{nil, {"192.0.2.1:8500"}, {"ftp://192.0.2.1"}, {"http://"}} {
		var settings *platform.SettingsError
		if _, err := platform.NewHTTP(platform.Options{Addresses: addresses}); !errors.As(err, &settings) {
			t.Errorf("%q: got %v", addresses, err)
		}
	}
}

func TestOverSizeIsRefusedBeforeSending(t *testing.T) {
	client := connect(t, platform.Options{}, func(http.ResponseWriter, *http.Request) { t.Error("sent") })
	var large *platform.TooLargeError
	if _, err := client.CompareAndSwap(context.Background(), "k", make([]byte, platform.MaxValueBytes+1), 0); !errors.As(err, &large) {
		t.Fatal(err)
	}
}
