package main

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// boottime returns the time since the machine was started, suspensions included, which the
// clock of time.Now leaves out.
func boottime() time.Duration {
	var now unix.Timespec
	// ClockGettime fails only for an unknown clock, which checkBoottime excludes.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	return time.Duration(now.Nano())
}

// checkBoottime returns an error if the kernel lacks the clock that boottime reads.
func checkBoottime() error {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return fmt.Errorf("CLOCK_BOOTTIME cannot be read, use Linux 2.6.39 or later: %w", err)
	}
	return nil
}
