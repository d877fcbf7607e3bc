// Package platform is a stand-in for the platform in tests and the demo: a server
// of the platform's HTTP API that keeps its data in memory and injects faults.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/consul/fake"
	"github.com/oatlatch/oatlatch/internal/host"
)

// Options configures a Server.
type Options struct {
	// Listen is the address to listen on, where port 0 picks a free port. It
	// defaults to 127.0.0.1:0.
	Listen string
	// Store holds the data. It defaults to an empty store.
	Store *fake.Store
}

// Server serves the key-value and catalog endpoints.
type Server struct {
	store *fake.Store
	// client accesses the store and injects the faults.
	client   *fake.Client
	listener net.Listener
}

// New returns a server that already listens, so that Addr is valid before Run.
func New(options Options) (*Server, error) {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	if options.Store == nil {
		options.Store = fake.NewStore()
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("cannot listen for the platform stand-in on %q: %w: choose a free address", options.Listen, err)
	}
	return &Server{store: options.Store, client: fake.NewClient(options.Store), listener: listener}, nil
}

// Run serves requests until ctx is cancelled.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	done := make(chan struct{})
	defer close(done)
	wg.Go(func() {
		select {
		case <-ctx.Done():
		case <-done:
		}
		_ = server.Close()
	})
	if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("cannot serve the platform stand-in: %w", err)
	}
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Addr().String() }

// Store returns the store that holds the data.
func (s *Server) Store() *fake.Store { return s.store }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults fake.Faults) { s.client.SetFaults(faults) }

// SetHosts replaces the hosts in the catalog.
func (s *Server) SetHosts(live, leaving []host.Host) { s.store.SetHosts(live, leaving) }

// Calls returns the number of calls received so far.
func (s *Server) Calls() fake.Calls { return s.client.Calls() }
