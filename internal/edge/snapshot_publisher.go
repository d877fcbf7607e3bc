package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/registration"
	"github.com/oatlatch/oatlatch/internal/snapshot"
)

const (
	// snapshotWriteTimeout is the time limit of one write of a snapshot.
	snapshotWriteTimeout = 2 * time.Second
	// refreshesPerHistory is how often the snapshot is refreshed within the time for which
	// the store keeps its history. A host that starts reads the changes since the snapshot
	// from that history, so the snapshot must be younger; stores may keep less history
	// than they promise.
	refreshesPerHistory = 4
)

// snapshotCatalog is the catalog that a snapshotPublisher writes. *feed.Feed implements
// it.
type snapshotCatalog interface {
	// SnapshotState returns the catalog's state and the snapshot in the store.
	SnapshotState() (own catalog.Have, stored catalog.StoredSnapshot)
	// Snapshot returns the whole catalog, or false while it is incomplete.
	Snapshot() (catalog.Page, bool)
	// SetStoredSnapshot records the snapshot that the store holds.
	SetStoredSnapshot(catalog.StoredSnapshot)
}

// snapshotView is the part of a view that decides whether this host writes snapshots.
type snapshotView struct {
	peerKey []byte
	rank    int
}

// snapshotPublisher keeps a snapshot of the catalog in the store, together with the other
// hosts that read the store.
type snapshotPublisher struct {
	catalog snapshotCatalog
	// store is nil if there is no store for snapshots.
	store    snapshot.Store
	schedule *snapshot.Schedule
	// lease returns the lease of the host's registration; its ID is 0 while there is none.
	// The snapshot is removed when the lease ends, so hosts that start never read one of
	// long ago.
	lease  func() registration.Lease
	now    func() time.Time
	logger zerolog.Logger
	// view is nil until the peer key is known.
	view atomic.Pointer[snapshotView]
	// wake receives a value after each read of the store.
	wake chan struct{}
}

// setView passes the hosts and the peer key of a view.
func (p *snapshotPublisher) setView(view *catalog.View, dataCentre string) {
	if view.PeerKey != nil {
		p.view.Store(&snapshotView{peerKey: view.PeerKey, rank: snapshot.Rank(view.Hosts, dataCentre)})
	}
}

// wakeUp makes run check whether a snapshot is due. It never blocks.
func (p *snapshotPublisher) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run writes snapshots when they are due until ctx is cancelled.
func (p *snapshotPublisher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
			p.publishIfDue(ctx)
		}
	}
}

// publishIfDue writes a snapshot if one is due.
func (p *snapshotPublisher) publishIfDue(ctx context.Context) {
	view, lease := p.view.Load(), p.lease()
	if p.store == nil || view == nil || lease.ID == 0 {
		return
	}
	own, stored := p.catalog.SnapshotState()
	if lease.Registered.Epoch != own.Position.Epoch {
		return // the store was restored; the lease may belong to another host
	}
	if !p.schedule.Due(p.now(), snapshot.Inputs{Rank: view.rank, Own: own, Stored: stored}) {
		return
	}
	page, ok := p.catalog.Snapshot()
	if !ok {
		return
	}
	sealed, err := snapshot.Seal(view.peerKey, &page, own.Version)
	if err != nil {
		p.logger.Warn().Err(err).Msg("snapshot_not_written")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotWriteTimeout)
	defer cancel()
	current, err := p.store.WriteSnapshot(ctx, sealed, lease.ID, stored.Written)
	switch {
	case errors.Is(err, snapshot.ErrConflict):
		p.logger.Info().Uint64("epoch", current.Written.Epoch).Uint64("revision", current.Written.Revision).
			Uint64("position", current.Position.Revision).Msg("snapshot_conflict")
	case err != nil:
		p.logger.Warn().Err(err).Msg("snapshot_not_written")
		return
	default:
		p.logger.Info().Uint64("epoch", current.Written.Epoch).Uint64("revision", current.Written.Revision).
			Uint64("position", current.Position.Revision).Uint64("version", current.Version).Int("bytes", len(sealed)).Int("rank", view.rank).Msg("snapshot_written")
	}
	p.catalog.SetStoredSnapshot(current)
}
