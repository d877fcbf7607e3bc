package dispatch

import (
	"context"
	"sync"

	"github.com/oatlatch/oatlatch/internal/host"
)

// maxRelaysPerHost bounds the relays in progress to one host. It is half of the
// calls that peers allow, so that relays to a slow service leave room for
// heartbeats and loans.
const maxRelaysPerHost = 32

// gates bounds the relays to each host.
type gates struct {
	mu    sync.Mutex
	slots map[host.ID]chan struct{}
}

func newGates() *gates { return &gates{slots: make(map[host.ID]chan struct{})} }

// enter waits for room and returns the function that leaves.
func (g *gates) enter(ctx context.Context, to host.ID) (leave func(), err error) {
	slots := g.of(to)
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (g *gates) of(to host.ID) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots := g.slots[to]
	if slots == nil {
		slots = make(chan struct{}, maxRelaysPerHost)
		g.slots[to] = slots
	}
	return slots
}
