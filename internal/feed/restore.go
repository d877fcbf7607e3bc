package feed

import (
	"context"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/snapshot"
)

// snapshotTimeout is the time limit for reading the snapshot. After it, a listing is
// read.
const snapshotTimeout = time.Second

// restore reads the snapshot in the store into the empty catalog, so that the host can
// serve before it has read a listing. The next call reads the changes since then. If the
// snapshot cannot be used, or the store no longer has those changes, a listing follows.
func (f *Feed) restore(ctx context.Context) {
	if f.options.Snapshots == nil {
		return
	}
	readCtx, cancel := f.options.Clock.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := f.readSnapshot(readCtx); err != nil {
		if ctx.Err() == nil {
			f.options.Logger.Info().Err(err).Msg("snapshot_not_used")
		}
		return
	}
	f.publishView(storeName)
}

// readSnapshot merges the snapshot in the store into the catalog.
func (f *Feed) readSnapshot(ctx context.Context) error {
	record, err := f.options.Snapshots.ReadSnapshot(ctx)
	if err != nil {
		return err
	}
	page, err := snapshot.Open(record.PeerKey, record.Sealed, record.Written)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog.BeginListing()
	if err := f.catalog.AddPage(f.options.Clock.Now(), page); err != nil {
		return err
	}
	f.catalog.SetStoredSnapshot(catalog.StoredSnapshot{Written: record.Written, Have: f.catalog.Have()})
	f.listed, f.confirming = true, true
	f.options.Logger.Info().Int("records", len(page.Changes)).Int("bytes", len(record.Sealed)).Uint64("epoch", record.Written.Epoch).
		Uint64("revision", record.Written.Revision).Uint64("position", page.Position.Revision).Uint64("version", f.catalog.Version()).Msg("snapshot_read")
	return nil
}
