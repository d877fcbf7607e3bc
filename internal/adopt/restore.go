package adopt

import (
	"context"
	"errors"
	"slices"

	"github.com/oatlatch/oatlatch/internal/config"
)

// errPlatformChanged says that the platform's head is not the one to be replaced.
var errPlatformChanged = errors.New("the platform's head has changed")

// restore writes the adopted configuration to a platform that lost it.
func (r *Runner) restore(ctx context.Context, restore config.Restore) {
	version := uint64(restore.Bundle.Version())
	if err := r.writeBack(ctx, restore); err != nil {
		r.metrics.restores.WithLabelValues("failed").Inc()
		r.logger.Warn().Str("event", "config_restore_failed").Uint64("version", version).Err(err).Send()
		r.report(ctx, config.RestoreFailed{Err: err})
		return
	}
	r.metrics.restores.WithLabelValues("written").Inc()
	r.logger.Warn().Str("event", "config_restored").Uint64("version", version).Send()
	r.report(ctx, config.Restored{})
}

// writeBack creates the pages that are absent and then replaces the head. A write
// whose answer is lost is settled by the next read of the head.
func (r *Runner) writeBack(ctx context.Context, restore config.Restore) error {
	head, err := r.options.Port.Get(ctx, config.HeadKey)
	if err != nil {
		return err
	}
	if head.Revision != restore.Revision {
		return errPlatformChanged
	}
	present, err := r.options.Port.Keys(ctx, config.PagePrefix)
	if err != nil {
		return err
	}
	for _, ref := range restore.Bundle.Head.Pages {
		if slices.Contains(present, ref.Key()) {
			continue
		}
		page, _ := restore.Bundle.Page(ref)
		if _, err := r.options.Port.CompareAndSwap(ctx, ref.Key(), page.Data, 0); err != nil {
			return err
		}
	}
	written, err := r.options.Port.CompareAndSwap(ctx, config.HeadKey, restore.Bundle.HeadData, restore.Revision)
	if err == nil && !written {
		return errPlatformChanged
	}
	return err
}
