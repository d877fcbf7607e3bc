package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/oatlatch/oatlatch"
	"github.com/oatlatch/oatlatch/internal/edge"
)

// errStatusIncomplete is returned if the status of a host could not be read.
var errStatusIncomplete = errors.New("some hosts did not respond, check that they run and that --admin names their admin addresses, or the metrics addresses of edge hosts")

// statusCommand prints the status of hosts.
type statusCommand struct {
	Admin      []string `default:"http://127.0.0.1:7402" help:"Base URLs of the hosts' admin addresses; of edge hosts, their metrics addresses (listen.metrics)."`
	adminFlags `embed:""`
	JSON       bool `help:"Print the whole status as JSON."`
}

// Run prints the status of each host. It continues with the next host if one does
// not respond.
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
		return errStatusIncomplete
	}
	return nil
}

// print prints the JSON status of a host, as it is or as a table.
func (c *statusCommand) print(data []byte) error {
	if c.JSON {
		_, err := os.Stdout.Write(data)
		return err
	}
	var kind struct {
		Kind string `json:"kind"`
	}
	if json.Unmarshal(data, &kind) == nil && kind.Kind == edge.StatusKind {
		return c.printEdge(data)
	}
	var status oatlatch.HostStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return fmt.Errorf("cannot decode the host's status, use a client of the same version as the daemon: %w", err)
	}
	return printStatus(os.Stdout, &status)
}

// printEdge prints the JSON status of an edge host as a table.
func (c *statusCommand) printEdge(data []byte) error {
	var status edge.Status
	if err := json.Unmarshal(data, &status); err != nil {
		return fmt.Errorf("cannot decode the host's status, use a client of the same version as the daemon: %w", err)
	}
	return printEdgeStatus(os.Stdout, &status)
}
