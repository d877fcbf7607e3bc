package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// processSignals receives the signals of the process. They are caught during
// package initialization, because a SIGHUP that arrives earlier, such as while the
// command line is parsed, terminates the process.
var processSignals = catchSignals()

// catchSignals starts to catch the signals that stop or reload the daemon.
func catchSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// handleSignals returns two contexts: stop is cancelled by the first SIGTERM or
// SIGINT, force by the second. Until then, each SIGHUP calls reload.
func handleSignals(reload func(), logger zerolog.Logger) (stop, force context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	go func() {
		for s := range processSignals {
			logger.Info().Stringer("signal", s).Msg("signal_received")
			switch {
			case s == syscall.SIGHUP:
				reload()
			case stop.Err() == nil:
				cancelStop()
			default:
				cancelForce()
				return
			}
		}
	}()
	return stop, force
}
