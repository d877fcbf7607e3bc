package demo

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/daemon"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// localNode is an entry host within this process.
type localNode struct {
	daemon *daemon.Daemon
	stop   context.CancelFunc
	done   chan struct{}
	err    error
}

// launchLocal returns a launcher of hosts within this process.
func launchLocal(seed uint64, logger zerolog.Logger) launcher {
	return func(ctx context.Context, s settings.Settings, number int) (node, error) {
		created, err := daemon.New(daemon.Options{
			Settings: s, Logger: logger, Now: time.Now,
			Seed: seed + uint64(number), Incarnation: host.Incarnation(seed<<16 + uint64(number)),
		})
		if err != nil {
			return nil, err
		}
		running, stop := context.WithCancel(ctx)
		n := &localNode{daemon: created, stop: stop, done: make(chan struct{})}
		go func() {
			defer close(n.done)
			n.err = created.Run(running, ctx)
		}()
		return n, nil
	}
}

// Status returns the host's state.
func (n *localNode) Status() (daemon.Status, error) { return n.daemon.Status(), nil }

// Stop begins a planned stop.
func (n *localNode) Stop() { n.stop() }

// Done is closed when the host has ended.
func (n *localNode) Done() <-chan struct{} { return n.done }

// Err returns why the host ended.
func (n *localNode) Err() error { return n.err }
