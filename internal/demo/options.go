// Package demo runs the whole path in one process over loopback sockets:
// platform, upstreams, entry hosts, fabric and callers, with changes under load.
package demo

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Options say what to run.
type Options struct {
	// User is the directory of examples to publish: amarres or kowhai-lane.
	User string
	// Duration is how long flows and requests run.
	Duration time.Duration
	Seed     uint64
	// Progress takes one line for each step; nil for none.
	Progress io.Writer
	// Logger takes the hosts' events.
	Logger zerolog.Logger

	// launch starts hosts; nil starts them within this process.
	launch launcher
	// hosts is how many hosts are started; zero stands for hostCount.
	hosts int
	// flowsPerSecond is how many flows are opened on each service; zero stands for flowsPerSecond.
	flowsPerSecond int
	// steps are the changes made under load; nil makes the demo's own.
	steps func(*run) []step
}

// Sizes of the demo's load.
const (
	hostCount      = 4
	flowsPerSecond = 300
	// longFlowStride is how many flows there are to each that stays open to the end.
	longFlowStride  = 5
	shortFlowLife   = 5 * time.Second
	packetInterval  = time.Second
	requestWorkers  = 6
	requestPause    = 20 * time.Millisecond
	requestDeadline = 5 * time.Second
	upstreamWork    = 10 * time.Millisecond
	upstreamQueue   = 4
	downloadBytes   = 20_000
	readyTimeout    = 10 * time.Second
	spreadLimit     = 3 * time.Second
	pollInterval    = 20 * time.Millisecond
	// lastPause is the least time for which flows and requests go on after the last change.
	lastPause     = time.Second
	fabricLag     = 500 * time.Millisecond
	settleTimeout = 5 * time.Second
	stopTimeLimit = 20 * time.Second
)
