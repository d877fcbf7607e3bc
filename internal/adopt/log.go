package adopt

import (
	"errors"
	"time"

	"github.com/oatlatch/oatlatch/internal/config"
)

var errQueueFull = errors.New("queue of this host is full")

// missingInterval is the time between log lines about having no configuration.
const missingInterval = 10 * time.Second

// logMissing logs now and then why there is no configuration.
func (r *Runner) logMissing(now time.Time, reason string) {
	if reason == "" || now.Sub(r.reasonLogged) < missingInterval {
		return
	}
	r.reasonLogged = now
	r.logger.Warn().Str("event", "config_missing").Str("reason", reason).Send()
}

func (r *Runner) adopted(a config.Adopt) {
	version := a.Bundle.Version()
	r.metrics.version.Set(float64(version))
	r.metrics.adoptedFrom(a.Source)
	r.logger.Info().Str("event", "config_adopted").Uint64("version", uint64(version)).
		Str("source", a.Source.String()).Int("services", len(a.Bundle.Snapshot.Services)).Send()
	r.options.OnAdopt(a.Bundle.Snapshot)
}

func (r *Runner) refused(a config.Refuse) {
	r.metrics.refused.WithLabelValues(string(a.Reason)).Inc()
	r.logger.Error().Str("event", "config_refused").Str("reason", string(a.Reason)).
		Str("source", a.Source.String()).Uint64("version", uint64(a.Version)).
		Uint64("adopted", uint64(r.adopter.Bundle().Version())).AnErr("error", a.Err).
		Str("remedy", remedies[a.Reason]).Send()
}

// remedies tell operators what to do about a refused configuration.
var remedies = map[config.RefuseReason]string{
	config.RefuseStale:    "none if it ends within a minute, as hosts write the adopted version back; otherwise check why the platform answers stale",
	config.RefuseAbsent:   "none if it ends within a minute, as hosts write the adopted version back; otherwise check who deletes it",
	config.RefuseDiverged: "the platform was restored and then published to; delete its key oatlatch/head, wait for config_restored, then publish again, with --above if hosts differ",
	config.RefuseInvalid:  "publish again from the service files",
	config.RefuseFormat:   "run the program version that published",
}

// logWatch logs when reads of the platform begin to fail and when they work again.
func (r *Runner) logWatch(event config.Event) {
	switch e := event.(type) {
	case config.PlatformReadFailed:
		if !r.watchFailed {
			r.logger.Warn().Str("event", "config_watch_failed").Err(e.Err).Send()
		}
		r.watchFailed = true
	case config.PlatformRead:
		if r.watchFailed {
			r.logger.Info().Str("event", "config_watch_recovered").Send()
		}
		r.watchFailed = false
	}
}
