package dispatch

import (
	"context"
	"sync"

	"github.com/oatlatch/oatlatch/internal/host"
)

// maxRelaysPerHost bounds the relays in progress to one host. It is half of the calls
// that a peer allows to be in progress at once, so that relays to a slow service leave room
// for heartbeats and loans.
const maxRelaysPerHost = 32

// relayLimiter bounds the relays in progress to each host.
type relayLimiter struct {
	mu         sync.Mutex
	semaphores map[host.ID]chan struct{}
}

func newRelayLimiter() *relayLimiter {
	return &relayLimiter{semaphores: make(map[host.ID]chan struct{})}
}

// acquire waits until a relay to the host may start. The caller must call release when
// the relay has ended.
func (l *relayLimiter) acquire(ctx context.Context, to host.ID) (release func(), err error) {
	semaphore := l.semaphore(to)
	select {
	case semaphore <- struct{}{}:
		return func() { <-semaphore }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *relayLimiter) semaphore(to host.ID) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	semaphore := l.semaphores[to]
	if semaphore == nil {
		semaphore = make(chan struct{}, maxRelaysPerHost)
		l.semaphores[to] = semaphore
	}
	return semaphore
}
