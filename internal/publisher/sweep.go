package publisher

import (
	"context"
	"slices"

	"github.com/oatlatch/oatlatch/internal/config"
)

const (
	// sweepEvery is the number of versions between deletions of unused pages.
	sweepEvery = 32
	// sweepKept is the number of versions whose unused pages stay, for hosts and
	// publishers that are still reading them.
	sweepKept = 64
)

// sweep deletes pages that no head has named for a while. A failure is harmless:
// the next sweep deletes what is left.
func (d *driver) sweep(ctx context.Context, version config.Version) {
	if version%sweepEvery != 0 {
		return
	}
	deleted, err := d.sweepOnce(ctx)
	if err != nil {
		d.options.Logger.Warn().Str("event", "page_sweep_failed").Err(err).Send()
		return
	}
	d.options.Logger.Info().Str("event", "pages_swept").Int("deleted", deleted).Send()
}

func (d *driver) sweepOnce(ctx context.Context) (int, error) {
	value, err := d.port.Get(ctx, config.HeadKey)
	if err != nil {
		return 0, err
	}
	head, err := config.DecodeHead(value.Data)
	if err != nil {
		return 0, err
	}
	keys, err := d.port.Keys(ctx, config.PagePrefix)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, key := range keys {
		if !unused(key, head) {
			continue
		}
		page, err := d.port.Get(ctx, key)
		if err != nil {
			return deleted, err
		}
		if _, err := d.port.Delete(ctx, key, page.Revision); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

func unused(key string, head config.Head) bool {
	version, ok := config.ParsePageKey(key)
	if !ok || version+sweepKept > head.Version {
		return false
	}
	return !slices.ContainsFunc(head.Pages, func(ref config.PageRef) bool { return ref.Key() == key })
}
