package fake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oatlatch/oatlatch/internal/consul"
)

// DefaultWatchWait is how long Watch waits for a change.
const DefaultWatchWait = 5 * time.Second

var (
	errDown         = errors.New("platform is down")
	errResponseLost = errors.New("response lost")
)

// Client is a client of a store. It simulates the faults that are set on it. Each host in
// a test can have a Client of its own, so that faults affect single hosts.
type Client struct {
	store *Store

	mu     sync.Mutex
	faults Faults
	// staleStore is the store that Stale and StaleHosts read.
	staleStore *Store
	calls      Calls
	// faultsChanged is closed and replaced when the faults change, which ends the watches
	// in progress.
	faultsChanged chan struct{}
}

var _ consul.Client = (*Client)(nil)

// NewClient returns a client of the store.
func NewClient(store *Store) *Client {
	return &Client{store: store, faultsChanged: make(chan struct{})}
}

// Store returns the store that the client uses.
func (p *Client) Store() *Store { return p.store }

// SetFaults replaces the faults and ends the watches in progress. If Stale or StaleHosts is
// set and both were off before, they read a copy of the store made now.
func (p *Client) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if (faults.Stale || faults.StaleHosts) && !p.faults.Stale && !p.faults.StaleHosts {
		p.staleStore = p.store.Copy()
	}
	if faults.StaleFrom != nil {
		p.staleStore = faults.StaleFrom
	}
	p.faults = faults
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// Calls returns the number of calls so far.
func (p *Client) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Get reads one key.
func (p *Client) Get(ctx context.Context, key string) (consul.Value, error) {
	store, err := p.startCall(ctx, "get", key, func(c *Calls) { c.Gets++ })
	if err != nil {
		return consul.Value{}, err
	}
	return store.Get(key), nil
}

// List reads all keys with the prefix, sorted by key.
func (p *Client) List(ctx context.Context, prefix string) ([]consul.Value, error) {
	store, err := p.startCall(ctx, "list", prefix, func(c *Calls) { c.Lists++ })
	if err != nil {
		return nil, err
	}
	return store.List(prefix), nil
}

// Keys returns the names of the keys with the prefix, sorted.
func (p *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	values, err := p.List(ctx, prefix)
	keys := make([]string, 0, len(values))
	for _, value := range values {
		keys = append(keys, value.Key)
	}
	return keys, err
}

// CompareAndSwap writes the key if it still has the given revision, or if it is absent
// and the revision is zero.
func (p *Client) CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) (bool, error) {
	if len(data) > consul.MaxValueBytes {
		return false, &consul.TooLargeError{Key: key, Bytes: len(data)}
	}
	return p.write(ctx, "cas", key, func() bool { return p.store.CompareAndSwap(key, data, revision) })
}

// Delete removes the key if it still has the given revision.
func (p *Client) Delete(ctx context.Context, key string, revision uint64) (bool, error) {
	return p.write(ctx, "delete", key, func() bool { return p.store.Delete(key, revision) })
}

// write simulates a write. It calls apply, unless the call fails or the write is lost
// before it takes effect.
func (p *Client) write(ctx context.Context, call, key string, apply func() bool) (bool, error) {
	if _, err := p.startCall(ctx, call, key, func(c *Calls) { c.Writes++ }); err != nil {
		return false, err
	}
	switch p.nextWriteOutcome() {
	case writeDropped:
		return false, &consul.AmbiguousError{Call: call, Key: key, Err: errResponseLost}
	case writeResponseLost:
		apply()
		return false, &consul.AmbiguousError{Call: call, Key: key, Err: errResponseLost}
	default:
		return apply(), nil
	}
}

// writeOutcome is the simulated outcome of a write.
type writeOutcome int

const (
	writeApplied      writeOutcome = iota
	writeDropped                   // fails without effect
	writeResponseLost              // takes effect, but fails
)

// nextWriteOutcome returns the outcome of the next write, and counts down the fault that
// causes it.
func (p *Client) nextWriteOutcome() writeOutcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.faults.DropWrites > 0:
		p.faults.DropWrites--
		return writeDropped
	case p.faults.LoseResponses > 0:
		p.faults.LoseResponses--
		return writeResponseLost
	default:
		return writeApplied
	}
}

// Watch waits until the key has changed since the index, or until DefaultWatchWait ends.
func (p *Client) Watch(ctx context.Context, key string, index uint64) (consul.Value, error) {
	return p.WatchFor(ctx, key, index, DefaultWatchWait)
}

// WatchFor is like Watch, but with the given wait time instead of DefaultWatchWait.
func (p *Client) WatchFor(ctx context.Context, key string, index uint64, wait time.Duration) (consul.Value, error) {
	store, err := p.startCall(ctx, "watch", key, func(c *Calls) { c.Watches++ })
	if err != nil {
		return consul.Value{}, err
	}
	if index == 0 {
		return store.Get(key), nil
	}
	watchCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	defer p.cancelOnFaultChange(cancel)()
	if p.currentFaults().MissChanges {
		<-watchCtx.Done()
		return consul.Value{}, &consul.UnavailableError{Call: "watch", Key: key, Err: errResponseLost}
	}
	value := store.Wait(watchCtx, key, index)
	if err := ctx.Err(); err != nil {
		return consul.Value{}, &consul.UnavailableError{Call: "watch", Key: key, Err: err}
	}
	if p.currentFaults().Down {
		return consul.Value{}, &consul.UnavailableError{Call: "watch", Key: key, Err: errDown}
	}
	return value, nil
}

// cancelOnFaultChange calls cancel if the faults change before the returned function is
// called.
func (p *Client) cancelOnFaultChange(cancel context.CancelFunc) func() {
	p.mu.Lock()
	changed := p.faultsChanged
	p.mu.Unlock()
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		select {
		case <-changed:
			cancel()
		case <-done:
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// Hosts reads the host list.
func (p *Client) Hosts(ctx context.Context) (consul.HostList, error) {
	if _, err := p.startCall(ctx, "hosts", "", func(c *Calls) { c.Hosts++ }); err != nil {
		return consul.HostList{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.StaleHosts {
		return p.staleStore.Hosts(), nil
	}
	return p.store.Hosts(), nil
}

func (p *Client) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// startCall counts the call, simulates an outage and the delay, and returns the store to
// read from.
func (p *Client) startCall(ctx context.Context, call, key string, count func(*Calls)) (*Store, error) {
	p.mu.Lock()
	count(&p.calls)
	faults, store := p.faults, p.store
	if faults.Stale {
		store = p.staleStore
	}
	p.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, &consul.UnavailableError{Call: call, Key: key, Err: err}
	}
	if faults.Down {
		return nil, &consul.UnavailableError{Call: call, Key: key, Err: errDown}
	}
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil, &consul.UnavailableError{Call: call, Key: key, Err: ctx.Err()}
		case <-timer.C:
		}
	}
	return store, nil
}
