// Package platform is an in-process server of the platform's HTTP endpoints with
// faults that tests switch on. It stands in for the real platform in tests and demos.
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

	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/platform/fake"
)

// Options configure the server.
type Options struct {
	// Listen is the address to serve on; port zero picks a free one.
	Listen string
	// Store holds the contents; nil starts with an empty one.
	Store *fake.Store
}

// Server serves the KV and catalog endpoints.
type Server struct {
	store    *fake.Store
	port     *fake.Port
	listener net.Listener
}

// New listens at once, so that Addr is valid before Run.
func New(options Options) (*Server, error) {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	if options.Store == nil {
		options.Store = fake.NewStore()
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for the platform stand-in on %q: %w: choose a free address", options.Listen, err)
	}
	return &Server{store: options.Store, port: fake.NewPort(options.Store), listener: listener}, nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	var joined sync.WaitGroup
	defer joined.Wait()
	stop := make(chan struct{})
	defer close(stop)
	joined.Go(func() {
		select {
		case <-ctx.Done():
		case <-stop:
		}
		_ = server.Close()
	})
	if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve the platform stand-in: %w", err)
	}
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// URL returns the base URL for the adapter's Addresses option.
func (s *Server) URL() string { return "http://" + s.Addr().String() }

// Store returns the contents.
func (s *Server) Store() *fake.Store { return s.store }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults fake.Faults) { s.port.SetFaults(faults) }

// SetHosts replaces the host list.
func (s *Server) SetHosts(live, leaving []host.Host) { s.store.SetHosts(live, leaving) }

// Calls returns the calls counted so far.
func (s *Server) Calls() fake.Calls { return s.port.Calls() }
