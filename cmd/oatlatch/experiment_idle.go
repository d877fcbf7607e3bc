package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/oatlatch/oatlatch/internal/experiment/idle"
)

// experimentIdleCommand runs hosts as processes that forward no packets and prints what they
// cost. To compare builds, it is run with the daemon of each.
type experimentIdleCommand struct {
	Daemon    string        `placeholder:"FILE" help:"oatlatchd to run; by default the one beside this program."`
	Sites     int           `default:"3" help:"Data centres."`
	Hosts     int           `default:"24" help:"Entry hosts in all data centres."`
	Upstreams int           `default:"150" help:"Registered upstreams."`
	Routes    int           `default:"46" help:"Configured routes."`
	Settle    time.Duration `default:"10s" help:"Time from when all hosts are ready until the measurement."`
	Duration  time.Duration `default:"20s" help:"Time of the measurement."`
	JSON      bool          `help:"Print one JSON object with the costs of each host."`
}

// Run measures and prints the costs.
func (c *experimentIdleCommand) Run(ctx context.Context) error {
	daemon, err := daemonPath(c.Daemon)
	if err != nil {
		return err
	}
	r, err := idle.Run(ctx, idle.Options{
		Daemon: daemon, DataCentres: c.Sites, Hosts: c.Hosts, Upstreams: c.Upstreams, Routes: c.Routes, Settle: c.Settle, Duration: c.Duration,
	})
	if err != nil {
		return err
	}
	r.Sort()
	if !c.JSON {
		return r.Print(os.Stdout)
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}
