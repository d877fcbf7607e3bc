package registration

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/latest"
)

const (
	// TTL is the time after which the store removes a registration that is not renewed.
	// Hosts detect failed hosts by other means, so TTL only limits how long the store
	// keeps the record of a failed host.
	TTL = 15 * time.Second
	// renewInterval leaves time for two more attempts before a registration expires.
	renewInterval = TTL / 3
	// callTimeout limits the duration of a call to the store.
	callTimeout = 2 * time.Second
	// startupSpread is the maximum delay of the first call. The delay is random and
	// spreads the registrations of hosts that start at the same time: 430 hosts with two
	// writes each then cause about 215 writes a second, half of what the smallest store
	// can handle.
	startupSpread = 4 * time.Second
	// retryDelay is the minimum delay after a failed call. It can be this long because
	// nothing waits for a registration.
	retryDelay = 2 * time.Second
)

// Options configure a Registrar.
type Options struct {
	Store  Store
	Host   catalog.Host
	Logger zerolog.Logger
	// Seed seeds the random delays.
	Seed uint64
}

// Registrar keeps an entry host registered.
type Registrar struct {
	options Options
	random  *rand.Rand
	// lease is the lease of the registration; its ID is 0 while the host is not registered.
	lease Lease
	// published is the value of lease for other goroutines.
	published atomic.Pointer[Lease]
	// restored receives what the store has after a restore.
	restored latest.Value[Restored]
}

// Restored describes a store that came back from an older copy.
type Restored struct {
	// Epoch is the epoch that began.
	Epoch uint64
	// Registered is the position of this host's registration in the store; its revision is
	// zero if there is none.
	Registered catalog.Position
}

// Lease returns the lease of the registration; its ID is 0 while the host is not
// registered.
func (r *Registrar) Lease() Lease { return *r.published.Load() }

func (r *Registrar) setLease(lease Lease) {
	r.lease = lease
	r.published.Store(&lease)
}

// NewRegistrar returns a registrar. Run registers the host.
func NewRegistrar(options Options) *Registrar {
	r := &Registrar{options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed)), restored: latest.New[Restored]()}
	r.setLease(Lease{})
	return r
}

// StoreRestored tells the registrar that the store was restored. It never blocks. Only
// one goroutine may call it.
func (r *Registrar) StoreRestored(restored Restored) {
	r.restored.Set(restored)
}

// Run registers the host, renews the registration until ctx ends, and then removes the
// registration.
func (r *Registrar) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Duration(r.random.Int64N(int64(startupSpread))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.unregister()
			return nil
		case restored := <-r.restored:
			if delay, changed := r.handleRestored(restored); changed {
				timer.Reset(delay)
			}
		case <-timer.C:
			timer.Reset(r.step(ctx))
		}
	}
}

// handleRestored keeps the lease if the copy of the store contains it, and otherwise
// forgets it. In that case it returns the delay before the host registers again, and true.
func (r *Registrar) handleRestored(restored Restored) (time.Duration, bool) {
	if r.lease.ID == 0 || r.lease.Registered.Epoch >= restored.Epoch {
		return 0, false
	}
	kept := r.lease.Registered.Revision == restored.Registered.Revision
	r.options.Logger.Info().Uint64("lease", r.lease.ID).Uint64("epoch", restored.Epoch).Bool("kept", kept).Msg("registration_restored")
	if kept {
		r.setLease(Lease{ID: r.lease.ID, Registered: restored.Registered})
		return 0, false
	}
	r.setLease(Lease{})
	return time.Duration(r.random.Int64N(int64(startupSpread))), true
}

// step makes one call to the store and returns the delay before the next.
func (r *Registrar) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.lease.ID == 0 {
		return r.register(ctx)
	}
	err := r.options.Store.Renew(ctx, r.lease)
	switch {
	case err == nil:
		return renewInterval
	case errors.Is(err, ErrLeaseEnded):
		r.options.Logger.Warn().Uint64("lease", r.lease.ID).Msg("registration_lapsed")
		r.setLease(Lease{})
		return 0
	default:
		return r.logFailure("renew", err)
	}
}

// register registers the host and returns the delay before the next call.
func (r *Registrar) register(ctx context.Context) time.Duration {
	lease, err := r.options.Store.Register(ctx, r.options.Host, TTL)
	if err != nil {
		return r.logFailure("register", err)
	}
	r.setLease(lease)
	r.options.Logger.Info().Uint64("lease", lease.ID).Msg("registered")
	return renewInterval
}

// logFailure logs a failed call and returns a random delay before the next call,
// between one and two times retryDelay.
func (r *Registrar) logFailure(call string, err error) time.Duration {
	r.options.Logger.Warn().Str("call", call).Err(err).Msg("registration_failed")
	return retryDelay + time.Duration(r.random.Int64N(int64(retryDelay)))
}

// unregister removes the registration. If the call fails, the registration expires
// within TTL.
func (r *Registrar) unregister() {
	if r.lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r.published.Store(&Lease{})
	if err := r.options.Store.Unregister(ctx, r.options.Host.Name, r.lease); err != nil {
		r.logFailure("leave", err)
		return
	}
	r.options.Logger.Info().Uint64("lease", r.lease.ID).Msg("unregistered")
}
