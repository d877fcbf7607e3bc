package main

import (
	"syscall"
	"time"
)

// startedAt is when package initialization ran, which is after the start of the
// process by the time that the Go runtime needs to start.
var startedAt = time.Now()

// processorTime returns the user and system time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage with RUSAGE_SELF fails only for an invalid pointer.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
