package demo

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/daemon"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// localNode is an entry host that runs in this process.
type localNode struct {
	daemon *daemon.Daemon
	stop   context.CancelFunc
	done   chan struct{}
	err    error
}

// launchLocal returns a launcher that runs hosts in this process.
func launchLocal(seed uint64, logger zerolog.Logger) launcher {
	return func(ctx context.Context, s settings.Settings, number int) (node, error) {
		d, err := daemon.New(daemon.Options{
			Settings: s, Logger: logger, Now: time.Now,
			Seed: seed + uint64(number), Incarnation: host.Incarnation(seed<<16 + uint64(number)),
		})
		if err != nil {
			return nil, err
		}
		stopCtx, stop := context.WithCancel(ctx)
		n := &localNode{daemon: d, stop: stop, done: make(chan struct{})}
		go func() {
			defer close(n.done)
			n.err = d.Run(stopCtx, ctx)
		}()
		return n, nil
	}
}

// Status implements node. Its error is always nil.
func (n *localNode) Status() (daemon.Status, error) { return n.daemon.Status(), nil }

// Stop implements node.
func (n *localNode) Stop() { n.stop() }

// Done implements node.
func (n *localNode) Done() <-chan struct{} { return n.done }

// Err implements node.
func (n *localNode) Err() error { return n.err }
