package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/oatlatch/oatlatch"
)

// errHostsNotRead is returned when the status of some host could not be read.
var errHostsNotRead = errors.New("not every host answered, check that it runs and that --admin names its admin address")

// statusCommand shows the state of hosts.
type statusCommand struct {
	Admin      []string `default:"http://127.0.0.1:7402" help:"Base URLs of the hosts' admin addresses."`
	adminFlags `embed:""`
	JSON       bool `help:"Print the whole status as JSON."`
}

// Run prints one block for each host.
func (c *statusCommand) Run(ctx context.Context) error {
	failed := false
	for _, base := range c.Admin {
		data, err := c.get(ctx, base, "/status", nil)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", base, err)
			failed = true
			continue
		}
		if err := c.print(data); err != nil {
			return err
		}
	}
	if failed {
		return errHostsNotRead
	}
	return nil
}

func (c *statusCommand) print(data []byte) error {
	if c.JSON {
		_, err := os.Stdout.Write(data)
		return err
	}
	var status oatlatch.HostStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return fmt.Errorf("the host's status cannot be read, use the client of the daemon's version: %w", err)
	}
	return printStatus(os.Stdout, &status)
}
