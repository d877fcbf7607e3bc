package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/oatlatch/oatlatch/internal/experiment/chart"
	"github.com/oatlatch/oatlatch/internal/experiment/lag"
)

// experimentLagCommand simulates the feeds of many hosts and measures how far each is behind
// what other hosts know.
type experimentLagCommand struct {
	Seed           uint64        `default:"1" help:"Seed of the random choices."`
	Sites          int           `default:"7" help:"Data centres."`
	Hosts          int           `default:"30" help:"Entry hosts in all data centres."`
	FaultyHosts    float64       `default:"0" help:"Part of the hosts that fail as sources of others, each in a random way."`
	FaultyStores   float64       `default:"0" help:"Part of the hosts that the store does not serve well, each in a random way."`
	Drains         time.Duration `default:"500ms" help:"Mean time between two drains of an upstream; 0 for none."`
	Configurations time.Duration `default:"2s" help:"Mean time between two configurations; 0 for none."`
	Limit          time.Duration `default:"5s" help:"Time within which a change must be in force; sets pauses and timeouts."`
	Seconds        int           `default:"20" help:"How long changes are made and sources fail."`
	Bytes          bool          `help:"Count the bytes between hosts as well, which takes longer."`
	JSON           bool          `help:"Print one JSON object, with the quantiles over time."`
	Plot           string        `type:"path" placeholder:"FILE.svg" help:"Write a chart of the lag by quantile over time."`
}

// Run prints the result of a simulation.
func (c *experimentLagCommand) Run() error {
	options := lag.DefaultOptions()
	options.Seed, options.DataCentres, options.Hosts = c.Seed, c.Sites, c.Hosts
	options.FaultyHosts, options.FaultyStores = c.FaultyHosts, c.FaultyStores
	options.Drains, options.Configurations, options.Limit = c.Drains, c.Configurations, c.Limit
	options.Duration, options.MeasureBytes = time.Duration(c.Seconds)*time.Second, c.Bytes
	if err := options.Validate(); err != nil {
		return err
	}
	r := lag.Run(options)
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return fmt.Errorf("print the result: %w", err)
		}
	} else {
		fmt.Printf("hosts that work          %d of %d\n", r.Measured, r.Hosts)
		fmt.Printf("longest lag              %s  %s\n", r.Worst.Round(time.Millisecond), r.WorstHost)
		fmt.Printf("configuration in force   %s\n", r.Operator.Round(time.Millisecond))
		fmt.Printf("calls/s of a host        %.2f  to other data centres %.2f  served at most in a second %d\n", r.Calls, r.RemoteCalls, r.ServedPeak)
		fmt.Printf("messages/s of a host      %.2f\n", r.Messages)
		fmt.Printf("calls/s to the store     %.2f  at most in a second %d\n", r.StoreCalls, r.StorePeak)
		if c.Bytes {
			fmt.Printf("B/s to a host            %.0f  for partners %.0f  from other data centres %.0f\n", r.Bytes, r.PartnerBytes, r.RemoteBytes)
		}
	}
	if c.Plot == "" {
		return nil
	}
	return writeLagChart(c.Plot, r)
}

// writeLagChart writes a chart of the lag to a file, which it overwrites if it exists.
func writeLagChart(path string, r lag.Result) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("cannot create the chart, choose a file in an existing directory: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return chart.WriteLag(file, r)
}
