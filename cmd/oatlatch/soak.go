package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/oatlatch/oatlatch/internal/soak"
)

// soakCommand runs edge hosts as processes and injects faults into them.
type soakCommand struct {
	Daemon  string `placeholder:"FILE" help:"oatlatchd to run; by default the one beside this program."`
	Earlier string `placeholder:"COMMIT" help:"Commit of an earlier build, from the history of the repository in the current directory, or 'production' for the one of deploy/system.toml: hosts are upgraded from it one after the other, and go back."`
	Seed    uint64 `help:"Seed of the first run; 0 draws one."`
	Runs    int    `default:"1" help:"Runs, each with the next seed."`
	Seconds int    `default:"30" help:"How long faults are injected in each run."`
	Hosts   int    `default:"2" help:"Hosts in each of two data centres."`
	Callers int    `default:"24" help:"Callers, at most 250."`
	Log     string `placeholder:"FILE" help:"File for the hosts' logs."`
	Report  string `placeholder:"FILE" help:"File for the report, besides standard output."`
	Verbose bool   `help:"Print each fault to standard error."`
}

// maxLoopbackAddresses is the largest number of callers, and of hosts in a data
// centre. Each of them needs a loopback address of its own.
const maxLoopbackAddresses = 250

// Run runs the seeds one after the other and prints a report of each run. It returns
// an error if a run violated a guarantee, called a promise in the report.
func (c *soakCommand) Run(ctx context.Context) error {
	if c.Callers < 1 || c.Callers > maxLoopbackAddresses || c.Hosts < 1 || c.Hosts > maxLoopbackAddresses {
		return fmt.Errorf("--callers %d and --hosts %d: must be numbers from 1 to %d", c.Callers, c.Hosts, maxLoopbackAddresses)
	}
	options, closeFiles, err := c.options(ctx)
	if err != nil {
		return err
	}
	defer closeFiles()
	out := io.Writer(os.Stdout)
	if c.Report != "" {
		file, err := os.Create(c.Report)
		if err != nil {
			return fmt.Errorf("create the report: %w", err)
		}
		defer file.Close()
		out = io.MultiWriter(out, file)
	}
	var violations []error
	for range c.Runs {
		report, err := soak.Run(ctx, options)
		if err != nil {
			return err
		}
		if err := report.Print(out); err != nil {
			return err
		}
		violations = append(violations, report.Err())
		options.Seed++
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(violations...)
}

// options returns the options of the first run, and a function that closes the
// log file.
func (c *soakCommand) options(ctx context.Context) (soak.Options, func(), error) {
	options := soak.Options{
		Seed: c.Seed, Duration: time.Duration(c.Seconds) * time.Second, Hosts: c.Hosts, Callers: c.Callers,
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64N(1_000_000) + 1
	}
	var err error
	if options.Daemon, err = daemonPath(c.Daemon); err != nil {
		return options, nil, err
	}
	if c.Earlier != "" {
		if options.Earlier, err = earlierDaemon(ctx, c.Earlier); err != nil {
			return options, nil, err
		}
	}
	if c.Verbose {
		options.Progress = os.Stderr
	}
	if c.Log == "" {
		return options, func() {}, nil
	}
	file, err := os.Create(c.Log)
	if err != nil {
		return options, nil, fmt.Errorf("create the log: %w", err)
	}
	options.Log = file
	return options, func() { _ = file.Close() }, nil
}
