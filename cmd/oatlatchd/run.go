package main

import "github.com/oatlatch/oatlatch/internal/settings"

// runCommand serves until a signal stops it.
type runCommand struct {
	settings.Settings `embed:""`
}

// Run checks the settings and serves.
func (c *runCommand) Run() error { return c.Check() }
