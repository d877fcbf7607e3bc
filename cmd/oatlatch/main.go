// Command oatlatch is the command-line client for operators of the load balancer.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands defines the command line of the client.
type commands struct {
	Check      checkCommand      `cmd:"" help:"Check service files, or a configuration of the platform, without publishing them."`
	Publish    publishCommand    `cmd:"" help:"Check service files and publish them to the platform."`
	Status     statusCommand     `cmd:"" help:"Show the state of entry hosts of either kind."`
	Explain    explainCommand    `cmd:"" help:"Explain decisions about flows, by a host or by logs."`
	Experiment experimentCommand `cmd:"" help:"Simulate load, faults and lag in virtual time."`
	Demo       demoCommand       `cmd:"" help:"Run the whole path in one process on loopback and check the promises."`
	Soak       soakCommand       `cmd:"" help:"Run edge hosts as processes on loopback, inject faults and check the promises."`
	Standin    standinCommand    `cmd:"" help:"Run a small stand-in of an outside system, for trials."`
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	parsed := kong.Parse(&commands{},
		kong.Name("oatlatch"),
		kong.Description("Operators' client of a layer-4 load balancer."),
		kong.UsageOnError(),
		kong.Exit(func(status int) { os.Exit(exitStatus(status)) }),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err := parsed.Run(); err != nil {
		cancel()
		printError(os.Stderr, err)
		os.Exit(exitStatusOf(err))
	}
}
