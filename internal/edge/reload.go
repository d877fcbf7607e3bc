package edge

import (
	"fmt"
	"slices"

	"github.com/oatlatch/oatlatch/internal/catalog"
	"github.com/oatlatch/oatlatch/internal/feed"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// RestartRequiredError is returned for a changed setting that takes effect only after
// a restart.
type RestartRequiredError struct {
	// Key is the setting as section.key.
	Key string
}

func (e *RestartRequiredError) Error() string {
	return fmt.Sprintf("settings:%s cannot change while the host runs: restart it, or restore the value", e.Key)
}

// Reload applies changed settings. It applies none if one of them requires a
// restart.
func (h *Host) Reload(s settings.Edge) error {
	if err := checkRestartRequired(h.settings.Load(), &s); err != nil {
		return err
	}
	for _, key := range changedStartSettings(h.settings.Load(), &s) {
		h.options.Logger.Warn().Str("setting", key).Msg("setting_needs_restart")
	}
	h.settings.Store(&s)
	h.feed.SetTiming(feed.NewTiming(s.Store.ShortestApplyWithin()))
	h.feed.SetRetention(catalog.RetentionOf(s.Limits.FlowAge))
	h.engine.SetRegions(h.options.Now(), s.Zones)
	h.options.Apply(s)
	return nil
}

// changedStartSettings returns the changed settings that are read only when a host starts.
// The others are applied all the same, because the platform may change them together.
func changedStartSettings(before, after *settings.Edge) []string {
	startSettings := []struct {
		key       string
		unchanged bool
	}{
		{"host.region", before.Host.Region == after.Host.Region},
		{"store.history", before.Store.History == after.Store.History},
		{"store.seeds", slices.Equal(before.Store.Seeds, after.Store.Seeds)},
		{"limits.bandwidth", before.Limits.Bandwidth == after.Limits.Bandwidth},
		{"limits.memory", before.Limits.Memory == after.Limits.Memory},
		{"log.level", before.Log.Level == after.Log.Level},
	}
	var changed []string
	for _, setting := range startSettings {
		if !setting.unchanged {
			changed = append(changed, setting.key)
		}
	}
	return changed
}

// checkRestartRequired returns a RestartRequiredError for the first changed setting
// without which the others cannot be applied, or nil.
func checkRestartRequired(before, after *settings.Edge) error {
	fixedSettings := []struct {
		key       string
		unchanged bool
	}{
		{"host.id", before.Host.ID == after.Host.ID},
		{"host.data_centre", before.Host.DataCentre == after.Host.DataCentre},
		{"listen.packet", before.Listen.Packet == after.Listen.Packet},
		{"listen.peer", before.Listen.Peer == after.Listen.Peer},
		{"listen.ready", before.Listen.Ready == after.Listen.Ready},
		{"listen.seed", before.Listen.Seed == after.Listen.Seed},
		{"listen.metrics", before.Listen.Metrics == after.Listen.Metrics},
		{"warmup.overage", before.Warmup.Overage == after.Warmup.Overage},
		{"warmup.slack", before.Warmup.Slack == after.Warmup.Slack},
		{"limits.flows", before.Limits.Flows == after.Limits.Flows},
	}
	for _, setting := range fixedSettings {
		if !setting.unchanged {
			return &RestartRequiredError{Key: setting.key}
		}
	}
	return nil
}
