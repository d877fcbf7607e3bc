package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/oatlatch/oatlatch/internal/settings"
)

// settingsCommand prints the default settings.
type settingsCommand struct{}

// Run writes an INI file with every key, its default and its meaning.
func (settingsCommand) Run(app *kong.Kong) error {
	for _, command := range app.Model.Children {
		if command.Name == "run" {
			return settings.Print(os.Stdout, command.Flags)
		}
	}
	return nil
}
