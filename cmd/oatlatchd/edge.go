package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/oatlatch/oatlatch/internal/edge"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
	"github.com/oatlatch/oatlatch/internal/logging"
	"github.com/oatlatch/oatlatch/internal/settings"
	"github.com/oatlatch/oatlatch/platform"
)

// withoutMechanisms lists mechanisms of the engine that are switched off. It is set by the
// linker, and only for trials: -ldflags=-X=main.withoutMechanisms=ejection.
var withoutMechanisms string

// edgeCommand runs an edge host. It forwards packets of callers that echo a token, to
// upstreams that are registered on the users' platform.
type edgeCommand struct {
	settings.Edge `embed:""`
}

// Run checks the settings and forwards packets until a signal stops the process.
func (c *edgeCommand) Run() error {
	if err := c.Check(); err != nil {
		return err
	}
	if err := checkBoottime(); err != nil {
		return err
	}
	limitMemory(c.Limits.Memory)
	out := logging.NewRateLimitedWriter(os.Stdout, logLimits(&c.Log), time.Now)
	defer out.Close()
	logger, err := logging.NewRateLimited(out, c.Log.Level)
	if err != nil {
		return err
	}
	logger = logger.With().Str("host", c.Host.ID).Logger()
	without, err := echo.ParseMechanisms(withoutMechanisms)
	if err != nil {
		return err
	}
	store := platform.NewStore(c.Store.Address)
	apply := func(s settings.Edge) {
		store.SetAddress(s.Store.Address)
		out.SetLimits(logLimits(&s.Log))
	}
	host, err := edge.New(edge.Options{
		Settings: c.Edge, Apply: apply, Store: store, Snapshots: store, Registration: store, Warmups: store, Boottime: boottime, Codec: platform.Codec{}, Check: platform.NewChecker().Check,
		ReadyPath: platform.ReadyPath, Logger: logger, Now: time.Now, Seed: randomUint64(), Without: without,
		Started: startedAt, ProcessorTime: processorTime,
	})
	if err != nil {
		return err
	}
	reloader := edge.NewReloader(string(c.File), host.Reload, logger)
	stop, force := handleSignals(reloader.RequestReload, logger)
	err = host.Run(stop, force, reloader)
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// logLimits returns the log limits of the settings.
func logLimits(s *settings.EdgeLog) logging.Limits {
	return logging.Limits{LinesPerSecond: s.LinesPerSecond, BytesPerSecond: s.BytesPerSecond}
}
