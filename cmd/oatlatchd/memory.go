package main

import "runtime/debug"

const (
	// gcPercent lets the heap grow by half between two collections. The heap of an
	// edge host is a few megabytes, so frequent collections cost little processor
	// time and save memory.
	gcPercent = 50
	// memoryShare is the fraction of the memory limit that the Go runtime may use
	// before it collects more often. The rest is for memory that the runtime does
	// not count.
	memoryShare = 0.8
)

// limitMemory configures the garbage collector for a memory limit in MB of 2^20
// bytes. A limit of 0 means no limit.
func limitMemory(limit int) {
	debug.SetGCPercent(gcPercent)
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit) * (1 << 20)))
	}
}
