package main

import (
	"syscall"
	"time"
)

// startedAt is when the process started, up to the time that its runtime took.
var startedAt = time.Now()

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the own process fails only for a bad pointer.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
