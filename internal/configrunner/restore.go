package configrunner

import (
	"context"
	"errors"
	"slices"

	"github.com/oatlatch/oatlatch/internal/config"
)

// errPlatformChanged reports that the platform's head no longer has the revision that was
// to be replaced.
var errPlatformChanged = errors.New("the platform's head has changed in the meantime")

// restore writes the adopted configuration back to a platform that has lost it.
func (r *Runner) restore(ctx context.Context, restore config.Restore) {
	version := uint64(restore.Bundle.Version())
	if err := r.writeBundle(ctx, restore); err != nil {
		r.metrics.restores.WithLabelValues("failed").Inc()
		r.logger.Warn().Str("event", "config_restore_failed").Uint64("version", version).Err(err).Send()
		r.sendEvent(ctx, config.RestoreFailed{Err: err})
		return
	}
	r.metrics.restores.WithLabelValues("written").Inc()
	r.logger.Warn().Str("event", "config_restored").Uint64("version", version).Send()
	r.sendEvent(ctx, config.Restored{})
}

// writeBundle creates the missing pages and then replaces the head. If the answer to a
// write is lost, the next read of the head shows whether it took effect.
func (r *Runner) writeBundle(ctx context.Context, restore config.Restore) error {
	head, err := r.options.Client.Get(ctx, config.HeadKey)
	if err != nil {
		return err
	}
	if head.Revision != restore.Revision {
		return errPlatformChanged
	}
	present, err := r.options.Client.Keys(ctx, config.PagePrefix)
	if err != nil {
		return err
	}
	for _, ref := range restore.Bundle.Head.Pages {
		if slices.Contains(present, ref.Key()) {
			continue
		}
		page, _ := restore.Bundle.Page(ref)
		if _, err := r.options.Client.CompareAndSwap(ctx, ref.Key(), page.Data, 0); err != nil {
			return err
		}
	}
	written, err := r.options.Client.CompareAndSwap(ctx, config.HeadKey, restore.Bundle.HeadData, restore.Revision)
	if err == nil && !written {
		return errPlatformChanged
	}
	return err
}
