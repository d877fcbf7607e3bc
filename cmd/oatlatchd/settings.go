package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/oatlatch/oatlatch/internal/settings"
)

// settingsCommand prints the default settings.
type settingsCommand struct{}

// Run prints an INI file with each key of the run command, its default and a
// comment that explains it.
func (settingsCommand) Run(app *kong.Kong) error {
	for _, command := range app.Model.Children {
		if command.Name == "run" {
			return settings.PrintDefaults(os.Stdout, command.Flags)
		}
	}
	return nil
}
