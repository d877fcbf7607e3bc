package fake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/platform"
)

// DefaultWatchWait is how long a watch waits without a change.
const DefaultWatchWait = 5 * time.Second

var (
	errDown   = errors.New("platform is down")
	errAnswer = errors.New("answer lost")
)

// Port is one client's connection to a store. Each has its own faults, so that
// tests can cut off single hosts.
type Port struct {
	store *Store

	mu     sync.Mutex
	faults Faults
	stale  *Store
	calls  Calls
	// faultsChanged ends the waits of watches when faults change.
	faultsChanged chan struct{}
}

var _ platform.Port = (*Port)(nil)

// NewPort returns a client of the store.
func NewPort(store *Store) *Port {
	return &Port{store: store, faultsChanged: make(chan struct{})}
}

// Store returns the store behind the port.
func (p *Port) Store() *Store { return p.store }

// SetFaults replaces the faults in force.
func (p *Port) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if (faults.Stale || faults.StaleHosts) && !p.faults.Stale && !p.faults.StaleHosts {
		p.stale = p.store.Copy()
	}
	if faults.StaleFrom != nil {
		p.stale = faults.StaleFrom
	}
	p.faults = faults
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// Calls returns the calls counted so far.
func (p *Port) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Get reads one key.
func (p *Port) Get(ctx context.Context, key string) (platform.Value, error) {
	store, err := p.begin(ctx, "get", key, func(c *Calls) { c.Gets++ })
	if err != nil {
		return platform.Value{}, err
	}
	return store.Get(key), nil
}

// List reads all keys under the prefix, sorted by key.
func (p *Port) List(ctx context.Context, prefix string) ([]platform.Value, error) {
	store, err := p.begin(ctx, "list", prefix, func(c *Calls) { c.Lists++ })
	if err != nil {
		return nil, err
	}
	return store.List(prefix), nil
}

// Keys lists the names of the keys under the prefix, sorted.
func (p *Port) Keys(ctx context.Context, prefix string) ([]string, error) {
	values, err := p.List(ctx, prefix)
	keys := make([]string, 0, len(values))
	for _, value := range values {
		keys = append(keys, value.Key)
	}
	return keys, err
}

// CompareAndSwap writes the key if its revision is still the given one.
func (p *Port) CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) (bool, error) {
	if len(data) > platform.MaxValueBytes {
		return false, &platform.TooLargeError{Key: key, Bytes: len(data)}
	}
	return p.write(ctx, "cas", key, func() bool { return p.store.CompareAndSwap(key, data, revision) })
}

// Delete removes the key if its revision is still the given one.
func (p *Port) Delete(ctx context.Context, key string, revision uint64) (bool, error) {
	return p.write(ctx, "delete", key, func() bool { return p.store.Delete(key, revision) })
}

func (p *Port) write(ctx context.Context, call, key string, apply func() bool) (bool, error) {
	if _, err := p.begin(ctx, call, key, func(c *Calls) { c.Writes++ }); err != nil {
		return false, err
	}
	switch p.nextWrite() {
	case dropped:
		return false, &platform.AmbiguousError{Call: call, Key: key, Err: errAnswer}
	case answerLost:
		apply()
		return false, &platform.AmbiguousError{Call: call, Key: key, Err: errAnswer}
	default:
		return apply(), nil
	}
}

type writeFate int

const (
	answered writeFate = iota
	dropped
	answerLost
)

func (p *Port) nextWrite() writeFate {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.faults.DropWrites > 0:
		p.faults.DropWrites--
		return dropped
	case p.faults.LoseAnswers > 0:
		p.faults.LoseAnswers--
		return answerLost
	default:
		return answered
	}
}

// Watch waits until the key changes after the index or DefaultWatchWait ends.
func (p *Port) Watch(ctx context.Context, key string, index uint64) (platform.Value, error) {
	return p.WatchFor(ctx, key, index, DefaultWatchWait)
}

// WatchFor waits until the key changes after the index or the wait ends.
func (p *Port) WatchFor(ctx context.Context, key string, index uint64, wait time.Duration) (platform.Value, error) {
	store, err := p.begin(ctx, "watch", key, func(c *Calls) { c.Watches++ })
	if err != nil {
		return platform.Value{}, err
	}
	if index == 0 {
		return store.Get(key), nil
	}
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	defer p.cancelOnFaults(cancel)()
	if p.current().DeafWatches {
		<-waiting.Done()
		return platform.Value{}, &platform.UnavailableError{Call: "watch", Key: key, Err: errAnswer}
	}
	value := store.Wait(waiting, key, index)
	if err := ctx.Err(); err != nil {
		return platform.Value{}, &platform.UnavailableError{Call: "watch", Key: key, Err: err}
	}
	if p.current().Down {
		return platform.Value{}, &platform.UnavailableError{Call: "watch", Key: key, Err: errDown}
	}
	return value, nil
}

// cancelOnFaults calls cancel when the faults change, until the returned function is called.
func (p *Port) cancelOnFaults(cancel context.CancelFunc) func() {
	p.mu.Lock()
	changed := p.faultsChanged
	p.mu.Unlock()
	done := make(chan struct{})
	var joined sync.WaitGroup
	joined.Go(func() {
		select {
		case <-changed:
			cancel()
		case <-done:
		}
	})
	return func() {
		close(done)
		joined.Wait()
	}
}

// Hosts reads the host list.
func (p *Port) Hosts(ctx context.Context) (platform.HostList, error) {
	if _, err := p.begin(ctx, "hosts", "", func(c *Calls) { c.Hosts++ }); err != nil {
		return platform.HostList{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.StaleHosts {
		return p.stale.Hosts(), nil
	}
	return p.store.Hosts(), nil
}

func (p *Port) current() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// begin counts the call, applies delay and outage, and returns the store to read from.
func (p *Port) begin(ctx context.Context, call, key string, count func(*Calls)) (*Store, error) {
	p.mu.Lock()
	count(&p.calls)
	faults, store := p.faults, p.store
	if faults.Stale {
		store = p.stale
	}
	p.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, &platform.UnavailableError{Call: call, Key: key, Err: err}
	}
	if faults.Down {
		return nil, &platform.UnavailableError{Call: call, Key: key, Err: errDown}
	}
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil, &platform.UnavailableError{Call: call, Key: key, Err: ctx.Err()}
		case <-timer.C:
		}
	}
	return store, nil
}
