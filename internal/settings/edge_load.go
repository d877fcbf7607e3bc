package settings

import (
	"fmt"

	"github.com/alecthomas/kong"
)

// LoadEdge reads the settings of an edge host from an INI file and checks them. Keys
// that the file does not set have their default values.
func LoadEdge(path string) (Edge, error) {
	var s Edge
	parser, err := kong.New(&s, kong.Name("oatlatchd edge"), kong.Configuration(LoadINI), kong.Exit(func(int) {}))
	if err != nil {
		return Edge{}, fmt.Errorf("settings: %w", err)
	}
	if _, err := parser.Parse([]string{"--settings", path}); err != nil {
		return Edge{}, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := s.Check(); err != nil {
		return Edge{}, err
	}
	return s, nil
}
