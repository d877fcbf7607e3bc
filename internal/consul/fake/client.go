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
func (c *Client) Store() *Store { return c.store }

// SetFaults replaces the faults and ends the watches in progress. If Stale or StaleHosts is
// set and both were off before, they read a copy of the store made now.
func (c *Client) SetFaults(faults Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (faults.Stale || faults.StaleHosts) && !c.faults.Stale && !c.faults.StaleHosts {
		c.staleStore = c.store.Copy()
	}
	if faults.StaleFrom != nil {
		c.staleStore = faults.StaleFrom
	}
	c.faults = faults
	close(c.faultsChanged)
	c.faultsChanged = make(chan struct{})
}

// Calls returns the number of calls so far.
func (c *Client) Calls() Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (consul.Value, error) {
	store, err := c.startCall(ctx, "get", key, func(calls *Calls) { calls.Gets++ })
	if err != nil {
		return consul.Value{}, err
	}
	return store.Get(key), nil
}

// List reads all keys with the prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix string) ([]consul.Value, error) {
	store, err := c.startCall(ctx, "list", prefix, func(calls *Calls) { calls.Lists++ })
	if err != nil {
		return nil, err
	}
	return store.List(prefix), nil
}

// Keys returns the names of the keys with the prefix, sorted.
func (c *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	values, err := c.List(ctx, prefix)
	keys := make([]string, 0, len(values))
	for _, value := range values {
		keys = append(keys, value.Key)
	}
	return keys, err
}

// CompareAndSwap writes the key if it still has the given revision, or if it is absent
// and the revision is zero.
func (c *Client) CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) (bool, error) {
	if len(data) > consul.MaxValueBytes {
		return false, &consul.TooLargeError{Key: key, Bytes: len(data)}
	}
	return c.write(ctx, "cas", key, func() bool { return c.store.CompareAndSwap(key, data, revision) })
}

// Delete removes the key if it still has the given revision.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) (bool, error) {
	return c.write(ctx, "delete", key, func() bool { return c.store.Delete(key, revision) })
}

// write simulates a write. It calls apply, unless the call fails or the write is lost
// before it takes effect.
func (c *Client) write(ctx context.Context, call, key string, apply func() bool) (bool, error) {
	if _, err := c.startCall(ctx, call, key, func(calls *Calls) { calls.Writes++ }); err != nil {
		return false, err
	}
	switch c.nextWriteOutcome() {
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
func (c *Client) nextWriteOutcome() writeOutcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.faults.DropWrites > 0:
		c.faults.DropWrites--
		return writeDropped
	case c.faults.LoseResponses > 0:
		c.faults.LoseResponses--
		return writeResponseLost
	default:
		return writeApplied
	}
}

// Watch waits until the key has changed since the index, or until DefaultWatchWait ends.
func (c *Client) Watch(ctx context.Context, key string, index uint64) (consul.Value, error) {
	return c.WatchFor(ctx, key, index, DefaultWatchWait)
}

// WatchFor is like Watch, but with the given wait time instead of DefaultWatchWait.
func (c *Client) WatchFor(ctx context.Context, key string, index uint64, wait time.Duration) (consul.Value, error) {
	store, err := c.startCall(ctx, "watch", key, func(calls *Calls) { calls.Watches++ })
	if err != nil {
		return consul.Value{}, err
	}
	if index == 0 {
		return store.Get(key), nil
	}
	watchCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	defer c.cancelOnFaultChange(cancel)()
	if c.currentFaults().MissChanges {
		<-watchCtx.Done()
		return consul.Value{}, &consul.UnavailableError{Call: "watch", Key: key, Err: errResponseLost}
	}
	value := store.Wait(watchCtx, key, index)
	if err := ctx.Err(); err != nil {
		return consul.Value{}, &consul.UnavailableError{Call: "watch", Key: key, Err: err}
	}
	if c.currentFaults().Down {
		return consul.Value{}, &consul.UnavailableError{Call: "watch", Key: key, Err: errDown}
	}
	return value, nil
}

// cancelOnFaultChange calls cancel if the faults change before the returned function is
// called.
func (c *Client) cancelOnFaultChange(cancel context.CancelFunc) func() {
	c.mu.Lock()
	changed := c.faultsChanged
	c.mu.Unlock()
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
func (c *Client) Hosts(ctx context.Context) (consul.HostList, error) {
	if _, err := c.startCall(ctx, "hosts", "", func(calls *Calls) { calls.Hosts++ }); err != nil {
		return consul.HostList{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.StaleHosts {
		return c.staleStore.Hosts(), nil
	}
	return c.store.Hosts(), nil
}

func (c *Client) currentFaults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// startCall counts the call, simulates an outage and the delay, and returns the store to
// read from.
func (c *Client) startCall(ctx context.Context, call, key string, count func(*Calls)) (*Store, error) {
	c.mu.Lock()
	count(&c.calls)
	faults, store := c.faults, c.store
	if faults.Stale {
		store = c.staleStore
	}
	c.mu.Unlock()
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
