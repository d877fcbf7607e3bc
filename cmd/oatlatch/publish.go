package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/collect"
	"github.com/oatlatch/oatlatch/internal/publisher"
)

// publishCommand publishes service files.
type publishCommand struct {
	platformFlags `embed:""`
	Operator      string   `help:"Name recorded with the publication; the user's name by default."`
	Remove        []string `placeholder:"NAME" help:"Services to remove from the configuration."`
	Dirs          []string `arg:"" name:"dir" help:"Directories that hold *.oatlatch files."`
}

// Run checks the files and writes them, and prints the version in force.
func (c *publishCommand) Run(ctx context.Context) error {
	services, err := collect.Directories(c.Dirs)
	if err != nil {
		return fmt.Errorf("nothing published:\n%w", err)
	}
	seed := uint64(time.Now().UnixNano())
	port, err := c.open(seed)
	if err != nil {
		return err
	}
	result, err := publisher.Publish(ctx, port, publisher.Options{
		Operator: c.operator(), Remove: c.Remove, Seed: seed, Now: time.Now,
	}, services)
	if err != nil {
		return err
	}
	if result.Unchanged {
		fmt.Printf("version %d: no change, nothing written\n", result.Version)
		return nil
	}
	fmt.Printf("version %d: published %s (publication %s)\n", result.Version, strings.Join(result.Changed, ", "), result.Publication)
	return nil
}

func (c *publishCommand) operator() string {
	if c.Operator != "" {
		return c.Operator
	}
	if current, err := user.Current(); err == nil && current.Username != "" {
		return current.Username
	}
	name, _ := os.Hostname()
	return name
}
