package main

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch"
)

// platformCallsPerSecond limits the rate of calls to the platform.
const platformCallsPerSecond = 100

// platformFlags configure access to the platform's key-value service.
type platformFlags struct {
	Platform []string      `default:"http://127.0.0.1:8500" help:"Base URLs of the platform's key-value service."`
	Token    string        `env:"OATLATCH_PLATFORM_TOKEN" help:"Access token sent with each call to the platform."`
	Deadline time.Duration `default:"2s" help:"Time limit of one call to the platform."`
}

// options returns the platform options of the flags, with logging disabled and with
// a metrics registry that is not exported.
func (f *platformFlags) options(seed uint64) oatlatch.PlatformOptions {
	return oatlatch.PlatformOptions{
		Addresses: f.Platform, Token: f.Token, Timeout: f.Deadline, CallsPerSecond: platformCallsPerSecond,
		Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(), Now: time.Now, Seed: seed,
	}
}
