package oatlatch_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oatlatch/oatlatch"
)

// TestPublishClosesItsConnections covers programs that publish repeatedly: each call left the
// idle connections of its client open.
func TestPublishClosesItsConnections(t *testing.T) {
	var opened, closed atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) }))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			opened.Add(1)
		case http.StateClosed:
			closed.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	services, err := oatlatch.Collect([]string{"examples/amarres"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := oatlatch.Publish(ctx, oatlatch.PlatformOptions{Addresses: []string{server.URL}}, oatlatch.PublishOptions{Operator: "test"}, services); err == nil {
		t.Fatal("Publish succeeded at a platform that refuses all requests")
	}
	deadline := time.Now().Add(5 * time.Second)
	for closed.Load() < opened.Load() && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if opened.Load() == 0 || closed.Load() < opened.Load() {
		t.Errorf("%d connections were opened and %d closed, want all closed", opened.Load(), closed.Load())
	}
}
