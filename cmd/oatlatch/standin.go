package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oatlatch/oatlatch/internal/service"
	"github.com/oatlatch/oatlatch/internal/standin/platform"
	"github.com/oatlatch/oatlatch/internal/standin/upstream"
)

// standinCommand runs stand-ins of external systems for testing.
type standinCommand struct {
	Platform standinPlatformCommand `cmd:"" help:"Run a key-value service that keeps its data in memory."`
	Keys     standinKeysCommand     `cmd:"" help:"Write keys for mutual TLS, signed by a throw-away authority."`
	Upstream standinUpstreamCommand `cmd:"" help:"Run an upstream that answers requests and counts packets; SIGUSR1 drains it, SIGUSR2 takes it back."`
}

// standinPlatformCommand runs an in-memory stand-in of the platform's key-value
// service.
type standinPlatformCommand struct {
	Listen netip.AddrPort `default:"127.0.0.1:8500" help:"IP:port of the HTTP API."`
}

// Run serves until ctx is cancelled.
func (c *standinPlatformCommand) Run(ctx context.Context) error {
	server, err := platform.New(platform.Options{Listen: c.Listen.String()})
	if err != nil {
		return err
	}
	fmt.Printf("platform stand-in at %s\n", server.URL())
	return server.Run(ctx)
}

// standinUpstreamCommand runs a stand-in of an upstream.
type standinUpstreamCommand struct {
	Listen      netip.AddrPort `default:"127.0.0.1:9001" help:"IP:port for requests (TCP)."`
	Packet      netip.AddrPort `default:"127.0.0.1:9101" help:"IP:port for packets (UDP, Geneve)."`
	ServiceID   uint32         `help:"Identifier of its service; packets of others are counted as misdelivered. 0 takes all."`
	Slots       uint32         `default:"3" help:"Requests run at a time."`
	Connections uint32         `default:"2000" help:"Flows held, told in the load report."`
	Queue       int            `default:"8" help:"Requests that wait for a slot before others are shed."`
	Work        time.Duration  `default:"20ms" help:"Time that a request takes."`
	ColdStart   time.Duration  `help:"Time after the start in which requests take longer."`
	ColdFactor  float64        `default:"4" help:"How much longer a request takes right after a cold start."`
}

// Run serves until ctx is cancelled.
func (c *standinUpstreamCommand) Run(ctx context.Context) error {
	server, err := upstream.New(upstream.Options{
		Service: service.ID(c.ServiceID),
		Upstream: service.Upstream{
			Name: "standin", Address: c.Listen, PacketAddress: c.Packet, Slots: c.Slots, Connections: c.Connections,
		},
		ServiceTime: c.Work, QueueLimit: c.Queue, ColdStart: c.ColdStart, ColdFactor: c.ColdFactor,
	})
	if err != nil {
		return err
	}
	fmt.Printf("upstream stand-in: requests at %s, packets at %s\n", server.HTTPAddr(), server.PacketAddr())
	stop := handleDrainSignals(server)
	defer stop()
	return server.Run(ctx)
}

// handleDrainSignals drains the upstream on SIGUSR1 and resumes it on SIGUSR2,
// until stop is called.
func handleDrainSignals(u *upstream.Upstream) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for received := range signals {
			if received == syscall.SIGUSR1 {
				u.Drain()
				fmt.Println("draining")
			} else {
				u.Resume()
				fmt.Println("taking requests")
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}
