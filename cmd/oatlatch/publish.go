package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch"
	"github.com/oatlatch/oatlatch/internal/config"
)

// publishCommand publishes the services that service files describe.
type publishCommand struct {
	platformFlags `embed:""`
	Operator      string   `help:"Name recorded with the publication; the user's name by default."`
	Remove        []string `placeholder:"NAME" help:"Services to remove from the configuration."`
	Base          uint64   `placeholder:"VERSION" help:"Refuse to overwrite a service that was published after this version."`
	Above         uint64   `placeholder:"VERSION" help:"Raise the new version above this one, after the platform was restored from an older copy."`
	RotateKeys    bool     `help:"Add a new key for request tickets; former ones are still accepted."`
	Dirs          []string `arg:"" name:"dir" help:"Directories that hold *.oatlatch files."`
}

// Run checks the files, publishes them, and prints the new version and the names of
// the changed services.
func (c *publishCommand) Run(ctx context.Context) error {
	services, err := oatlatch.Collect(c.Dirs)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotPublished, err)
	}
	seed := uint64(time.Now().UnixNano())
	result, err := oatlatch.Publish(ctx, c.options(seed), oatlatch.PublishOptions{
		Operator: c.operator(), Remove: c.Remove, Base: config.Version(c.Base), AboveVersion: config.Version(c.Above),
		RotateTicketKeys: c.RotateKeys, Seed: seed, Now: time.Now,
	}, services)
	if err != nil {
		return err
	}
	if result.Unchanged {
		fmt.Printf("version %d: no change, nothing written\n", result.Version)
		return nil
	}
	fmt.Printf("version %d: publication %s\n", result.Version, result.Publication)
	printNames("published", result.Changed)
	printNames("removed", result.Removed)
	return nil
}

// printNames prints a labelled list, unless it is empty.
func printNames(label string, names []string) {
	if len(names) > 0 {
		fmt.Printf("%s: %s\n", label, strings.Join(names, ", "))
	}
}

// operator returns the name that is recorded with the publication: the value of the
// flag or, if there is none, the name of the current user or else of this machine.
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
