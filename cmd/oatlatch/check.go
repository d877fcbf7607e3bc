package main

import (
	"fmt"

	"github.com/oatlatch/oatlatch"
)

// checkCommand checks service files without publishing them.
type checkCommand struct {
	Dirs []string `arg:"" name:"dir" help:"Directories that hold *.oatlatch files."`
}

// Run prints one line for each service, or returns all problems of the files.
func (c *checkCommand) Run() error {
	services, err := oatlatch.Collect(c.Dirs)
	if err != nil {
		return err
	}
	for _, s := range services {
		fmt.Printf("%s: %d upstreams behind %s in %s\n", s.Name, len(s.Upstreams), s.Address, s.Region)
	}
	return nil
}
