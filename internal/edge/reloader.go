package edge

import (
	"bytes"
	"context"
	"errors"
	"io/fs"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/settings"
)

// settingsPollInterval is the time between reads of the settings file. The file is
// polled because it may change without a signal; no setting is urgent.
const settingsPollInterval = 2 * time.Second

// Reloader applies the settings file when it changes or when a reload is requested.
type Reloader struct {
	path   string
	load   func(path string) (settings.Edge, error)
	apply  func(settings.Edge) error
	logger zerolog.Logger
	// content is the content that was last applied or refused.
	content []byte
	// unreadable is set while the file is there but cannot be read.
	unreadable bool
	// requested receives a value when an operator requests a reload.
	requested chan struct{}
}

// NewReloader returns a reloader of the settings file at path. It assumes that the
// current content has been applied.
func NewReloader(path string, apply func(settings.Edge) error, logger zerolog.Logger) *Reloader {
	r := &Reloader{path: path, load: settings.LoadEdge, apply: apply, logger: logger, requested: make(chan struct{}, 1)}
	r.content, _ = r.readFile()
	return r
}

// RequestReload requests a reload. It never blocks.
func (r *Reloader) RequestReload() {
	select {
	case r.requested <- struct{}{}:
	default:
	}
}

// Run polls the file and handles reload requests until ctx is cancelled.
func (r *Reloader) Run(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.requested:
			r.reload("signal", true)
		case <-ticker.C:
			r.reload("file", false)
		}
	}
}

// reload applies the file if it has changed, or unconditionally if forced. Unless
// forced, it ignores a file that is missing, because it may just be replaced, and reports
// another failure to read it once.
func (r *Reloader) reload(cause string, forced bool) {
	content, err := r.readFile()
	reported := r.unreadable
	r.unreadable = err != nil && !errors.Is(err, fs.ErrNotExist)
	if err != nil {
		if forced || r.unreadable && !reported {
			r.logRefused(cause, err)
		}
		return
	}
	if !forced && bytes.Equal(content, r.content) {
		return
	}
	s, err := r.load(r.path)
	if errors.Is(err, fs.ErrNotExist) && !forced {
		return // replaced since it was read: the next poll tries again
	}
	r.content = content
	if err == nil {
		err = r.apply(s)
	}
	if err != nil {
		r.logRefused(cause, err)
		return
	}
	r.logger.Info().Str("cause", cause).Str("file", r.path).Msg("settings_reloaded")
}

// logRefused logs why the settings were not applied.
func (r *Reloader) logRefused(cause string, err error) {
	r.logger.Error().Str("cause", cause).Str("file", r.path).Err(err).Msg("settings_refused")
}

// readFile returns the file's content. It returns os.ErrNotExist if no path is set.
func (r *Reloader) readFile() ([]byte, error) {
	if r.path == "" {
		return nil, os.ErrNotExist
	}
	return os.ReadFile(r.path)
}
