package configrunner

import (
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
)

// errQueueFull is the error of an action that was dropped because its queue was full.
var errQueueFull = errors.New("this host's queue is full")

// missingLogInterval is the minimum time between log lines about a missing configuration.
const missingLogInterval = 10 * time.Second

// logMissing logs why there is no configuration, at most once per missingLogInterval.
func (r *Runner) logMissing(now time.Time, reason string) {
	if reason == "" || now.Sub(r.missingLoggedAt) < missingLogInterval {
		return
	}
	r.missingLoggedAt = now
	r.logger.Warn().Str("event", "config_missing").Str("reason", reason).Send()
}

// handleAdopt logs and counts an adopted configuration and passes it to OnAdopt.
func (r *Runner) handleAdopt(a config.Adopt) {
	version := a.Bundle.Version()
	r.metrics.version.Set(float64(version))
	r.metrics.countAdoption(a.Source)
	r.logger.Info().Str("event", "config_adopted").Uint64("version", uint64(version)).
		Str("source", a.Source.String()).Int("services", len(a.Bundle.Snapshot.Services)).Send()
	r.options.OnAdopt(a.Bundle.Snapshot)
}

// handleRefuse logs and counts a configuration that was not adopted.
func (r *Runner) handleRefuse(a config.Refuse) {
	r.metrics.refused.WithLabelValues(string(a.Reason)).Inc()
	r.logger.Error().Str("event", "config_refused").Str("reason", string(a.Reason)).
		Str("source", a.Source.String()).Uint64("version", uint64(a.Version)).
		Uint64("adopted", uint64(r.adopter.Bundle().Version())).AnErr("error", a.Err).
		Str("remedy", remedies[a.Reason]).Send()
}

// remedies tell operators what to do about a refused configuration.
var remedies = map[config.RefuseReason]string{
	config.RefuseStale:    "none if it ends within a minute, as hosts write the adopted version back; otherwise check why the platform returns stale data",
	config.RefuseAbsent:   "none if it ends within a minute, as hosts write the adopted version back; otherwise check what deletes the configuration",
	config.RefuseDiverged: "the platform was restored and then published to; delete its key oatlatch/head, wait for config_restored, then publish again, with --above if hosts differ",
	config.RefuseInvalid:  "publish again from the service files",
	config.RefuseFormat:   "run the program version that published the configuration",
}

// logPlatformReads logs when reads of the platform start to fail and when they succeed
// again.
func (r *Runner) logPlatformReads(event config.Event) {
	switch e := event.(type) {
	case config.PlatformReadFailed:
		if !r.readsFailing {
			r.logger.Warn().Str("event", "config_watch_failed").Err(e.Err).Send()
		}
		r.readsFailing = true
	case config.PlatformRead:
		if r.readsFailing {
			r.logger.Info().Str("event", "config_watch_recovered").Send()
		}
		r.readsFailing = false
	}
}
