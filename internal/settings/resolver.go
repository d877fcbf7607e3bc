package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/oatlatch/oatlatch/internal/inifile"
)

// resolver gives kong the values of an INI file.
type resolver struct {
	file *inifile.File
}

// Load reads an INI file for kong.Configuration. Unknown keys are refused, with
// one line for each.
func Load(r io.Reader) (kong.Resolver, error) {
	data, err := io.ReadAll(io.LimitReader(r, inifile.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("cannot read the settings, check the file's permissions: %w", err)
	}
	name := "settings"
	if named, ok := r.(interface{ Name() string }); ok {
		name = named.Name()
	}
	return &resolver{file: inifile.Parse(name, data)}, nil
}

// Validate marks the keys that are flags and reports the rest.
func (r *resolver) Validate(app *kong.Application) error {
	r.mark(app.Flags)
	for _, command := range app.Children {
		r.mark(command.Flags)
	}
	return r.file.Problems().Err()
}

func (r *resolver) mark(flags []*kong.Flag) {
	for _, flag := range flags {
		if section, key, ok := place(flag.Name); ok {
			r.file.Section(section, false).Value(key)
		}
	}
}

// Resolve returns the file's text for a flag, or nil when the file has none.
func (r *resolver) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	section, key, ok := place(flag.Name)
	if !ok {
		return nil, nil
	}
	if value, found := r.file.Section(section, false).Value(key); found {
		return value, nil
	}
	return nil, nil
}

// place returns the section and key of a flag.
func place(flag string) (section, key string, ok bool) {
	section, key, ok = strings.Cut(flag, "-")
	return section, strings.ReplaceAll(key, "-", "_"), ok
}
