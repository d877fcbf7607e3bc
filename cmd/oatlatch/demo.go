package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/oatlatch/oatlatch/internal/demo"
	"github.com/oatlatch/oatlatch/internal/logging"
)

// errPromisesBroken is returned if the load balancer violated one of its promises,
// the guarantees that the demo checks.
var errPromisesBroken = errors.New("a promise was broken, see the lines above")

// demoCommand runs hosts, upstreams and callers in one process on loopback.
type demoCommand struct {
	Users   string `enum:"amarres,kowhai-lane" default:"amarres" help:"Whose services to run: amarres or kowhai-lane."`
	Seconds int    `default:"20" help:"How long flows and requests run."`
	Seed    uint64 `default:"1" help:"Seed of the demo's random choices."`
	Verbose bool   `help:"Print the hosts' log to standard error."`
}

// minDemoSeconds is the length of the shortest run in which the demo can make all its
// changes.
const minDemoSeconds = 12

// Run runs the demo and prints a table of the results. It returns an error if a
// promise was broken.
func (c *demoCommand) Run(ctx context.Context) error {
	if c.Seconds < minDemoSeconds {
		return fmt.Errorf("--seconds %d is too short for the changes of the demo, must be at least %d", c.Seconds, minDemoSeconds)
	}
	logger := zerolog.Nop()
	if c.Verbose {
		var err error
		if logger, err = logging.New(os.Stderr, "info"); err != nil {
			return err
		}
	}
	report, err := demo.Run(ctx, demo.Options{
		User: c.Users, Duration: time.Duration(c.Seconds) * time.Second, Seed: c.Seed,
		Progress: progressWriter(), Logger: logger,
	})
	if err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	violations := report.Violations()
	for _, line := range violations {
		fmt.Fprintln(os.Stderr, "broken:", line)
	}
	if len(violations) > 0 {
		return errPromisesBroken
	}
	fmt.Println("all promises held")
	return nil
}

// progressWriter returns standard error if it is a terminal, and nil otherwise.
func progressWriter() io.Writer {
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		return os.Stderr
	}
	return nil
}
