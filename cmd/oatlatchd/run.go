package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"os"
	"time"

	"github.com/oatlatch/oatlatch"
	"github.com/oatlatch/oatlatch/internal/host"
	"github.com/oatlatch/oatlatch/internal/logging"
	"github.com/oatlatch/oatlatch/internal/settings"
)

// errForcedStop is returned when a second signal ended a graceful stop.
var errForcedStop = errors.New("stop forced by a second signal, work in progress was aborted")

// runCommand serves packets and requests as an entry host.
type runCommand struct {
	settings.Settings `embed:""`
}

// Run checks the settings and serves until a signal stops the process. The first
// SIGTERM or SIGINT starts a graceful stop, a second one stops immediately, and
// SIGHUP reloads the TLS keys.
func (c *runCommand) Run() error {
	logger, err := logging.New(os.Stdout, c.Log.Level)
	if err != nil {
		return err
	}
	entryHost, err := oatlatch.NewHost(oatlatch.HostOptions{
		Settings: c.Settings, Logger: logger, Now: time.Now,
		Seed: randomUint64(), Incarnation: host.Incarnation(randomUint64()),
	})
	if err != nil {
		return err
	}
	stop, force := handleSignals(func() {
		if err := entryHost.ReloadKeys(); err != nil {
			logger.Error().Err(err).Msg("reload_failed")
		}
	}, logger)
	if err := entryHost.Run(stop, force); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	if force.Err() != nil {
		return errForcedStop
	}
	return nil
}

// randomUint64 returns a cryptographically random number.
func randomUint64() uint64 {
	var buffer [8]byte
	// crypto/rand.Read never fails (documented since Go 1.24).
	_, _ = rand.Read(buffer[:])
	return binary.LittleEndian.Uint64(buffer[:])
}
