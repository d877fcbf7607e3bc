package main

import (
	"fmt"

	"github.com/oatlatch/oatlatch"
)

// checkCommand checks what an operator is about to publish.
type checkCommand struct {
	Files         checkFilesCommand         `cmd:"" default:"withargs" help:"Check service files (the default)."`
	Configuration checkConfigurationCommand `cmd:"" help:"Check a configuration of the platform (JSON as in op/config), and compare it with the version in force."`
}

// checkFilesCommand checks service files without publishing them.
type checkFilesCommand struct {
	Dirs []string `arg:"" name:"dir" help:"Directories that hold *.oatlatch files."`
}

// Run prints one line for each service, or returns all problems of the files.
func (c *checkFilesCommand) Run() error {
	services, err := oatlatch.Collect(c.Dirs)
	if err != nil {
		return err
	}
	for _, s := range services {
		fmt.Printf("%s: %d upstreams behind %s in %s\n", s.Name, len(s.Upstreams), s.Address, s.Region)
	}
	return nil
}
