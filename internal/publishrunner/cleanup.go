package publishrunner

import (
	"context"
	"slices"

	"github.com/oatlatch/oatlatch/internal/config"
)

const (
	// cleanupInterval is the number of versions between two cleanups.
	cleanupInterval = 32
	// retainedVersions is the number of latest versions whose pages are kept even if
	// unused: hosts and publishers may still be reading them.
	retainedVersions = 64
)

// cleanUpPages deletes old pages that the head does not reference. A failure is harmless:
// the next cleanup deletes the remaining pages.
func (d *driver) cleanUpPages(ctx context.Context, version config.Version) {
	if version%cleanupInterval != 0 {
		return
	}
	deleted, err := d.deleteUnusedPages(ctx)
	if err != nil {
		d.options.Logger.Warn().Str("event", "page_sweep_failed").Err(err).Send()
		return
	}
	d.options.Logger.Info().Str("event", "pages_swept").Int("deleted", deleted).Send()
}

// deleteUnusedPages returns the number of pages that it deleted, also when it fails.
func (d *driver) deleteUnusedPages(ctx context.Context) (int, error) {
	value, err := d.client.Get(ctx, config.HeadKey)
	if err != nil {
		return 0, err
	}
	head, err := config.DecodeHead(value.Data)
	if err != nil {
		return 0, err
	}
	keys, err := d.client.Keys(ctx, config.PagePrefix)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, key := range keys {
		if !isUnused(key, head) {
			continue
		}
		page, err := d.client.Get(ctx, key)
		if err != nil {
			return deleted, err
		}
		if _, err := d.client.Delete(ctx, key, page.Revision); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// isUnused reports whether the key is that of a page which the head does not reference
// and which is older than the retained versions.
func isUnused(key string, head config.Head) bool {
	version, ok := config.ParsePageKey(key)
	if !ok || version+retainedVersions > head.Version {
		return false
	}
	return !slices.ContainsFunc(head.Pages, func(ref config.PageRef) bool { return ref.Key() == key })
}
