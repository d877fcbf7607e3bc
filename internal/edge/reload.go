package edge

import (
	"fmt"

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
	h.settings.Store(&s)
	h.feed.SetTiming(feed.NewTiming(s.Store.ShortestApplyWithin()))
	h.feed.SetRetention(catalog.RetentionOf(s.Limits.FlowAge))
	h.options.Apply(s)
	return nil
}

// checkRestartRequired returns a RestartRequiredError for the first changed setting
// that requires a restart, or nil. store.seeds is not among them, because a host asks
// its seeds only when it starts.
func checkRestartRequired(before, after *settings.Edge) error {
	fixedSettings := []struct {
		key       string
		unchanged bool
	}{
		{"host.id", before.Host.ID == after.Host.ID},
		{"host.data_centre", before.Host.DataCentre == after.Host.DataCentre},
		{"host.region", before.Host.Region == after.Host.Region},
		{"listen.packet", before.Listen.Packet == after.Listen.Packet},
		{"listen.peer", before.Listen.Peer == after.Listen.Peer},
		{"listen.ready", before.Listen.Ready == after.Listen.Ready},
		{"listen.seed", before.Listen.Seed == after.Listen.Seed},
		{"listen.metrics", before.Listen.Metrics == after.Listen.Metrics},
		{"store.history", before.Store.History == after.Store.History},
		{"limits.bandwidth", before.Limits.Bandwidth == after.Limits.Bandwidth},
		{"limits.flows", before.Limits.Flows == after.Limits.Flows},
		{"limits.memory", before.Limits.Memory == after.Limits.Memory},
		{"log.level", before.Log.Level == after.Log.Level},
	}
	for _, setting := range fixedSettings {
		if !setting.unchanged {
			return &RestartRequiredError{Key: setting.key}
		}
	}
	return nil
}
