package service

import "time"

// Limits and defaults of values in service files.
const (
	maxUpstreams          = 4096
	maxWeight      uint32 = 1000
	maxSlots       uint32 = 100_000
	maxConnections uint32 = 10_000_000

	defaultSlots       uint32 = 3
	defaultConnections uint32 = 2000
	// genevePort is the UDP port assigned to Geneve by IANA (RFC 8926, section 3.3).
	genevePort uint32 = 6081

	defaultDrainLimit  = time.Hour
	minDrainLimit      = time.Second
	maxDrainLimit      = 7 * 24 * time.Hour
	defaultIdleTimeout = 15 * time.Minute
	minIdleTimeout     = time.Second
	maxIdleTimeout     = 24 * time.Hour
	defaultSlowStart   = 15 * time.Second
	maxSlowStart       = 10 * time.Minute

	defaultFlowsDeviationThreshold   = 0.30
	defaultBalanceDeviationThreshold = 0.01
	maxDeviationThreshold            = 10.0
)
