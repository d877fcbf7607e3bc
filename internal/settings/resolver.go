package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/oatlatch/oatlatch/internal/inifile"
)

// resolver implements kong.Resolver with the values of an INI file.
type resolver struct {
	file *inifile.File
}

// LoadINI reads an INI file and returns a resolver with its values. It can be passed to
// kong.Configuration. The resolver's Validate method reports invalid syntax and unknown
// keys.
func LoadINI(r io.Reader) (kong.Resolver, error) {
	data, err := io.ReadAll(io.LimitReader(r, inifile.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("cannot read the settings, check the file's permissions: %w", err)
	}
	name := "settings"
	if file, ok := r.(interface{ Name() string }); ok {
		name = file.Name()
	}
	return &resolver{file: inifile.Parse(name, data)}, nil
}

// Validate returns an error with a line for each problem in the file. Sections and keys
// that belong to no flag are problems.
func (r *resolver) Validate(app *kong.Application) error {
	r.markKnown(app.Flags)
	for _, command := range app.Children {
		r.markKnown(command.Flags)
	}
	return r.file.Problems().Err()
}

// markKnown marks the sections and keys of the flags as known, so that the file does
// not report them.
func (r *resolver) markKnown(flags []*kong.Flag) {
	for _, flag := range flags {
		if section, key, ok := splitFlagName(flag.Name); ok {
			r.file.Section(section, false).Value(key)
		} else if flag.IsMap() {
			r.values(flag.Name)
		}
	}
}

// values returns all keys of a section with their values, and marks them as known.
func (r *resolver) values(section string) map[string]any {
	s := r.file.Section(section, false)
	values := make(map[string]any)
	for _, key := range s.Keys() {
		values[key], _ = s.Value(key)
	}
	return values
}

// Resolve returns the value that the file sets for a flag, or nil if it sets none. A flag
// with a map, which has the name of a section alone, gets the whole section. Flags on the
// command line take precedence.
func (r *resolver) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	section, key, ok := splitFlagName(flag.Name)
	if !ok && flag.IsMap() {
		if values := r.values(flag.Name); len(values) > 0 {
			return values, nil
		}
	}
	if !ok {
		return nil, nil
	}
	if value, found := r.file.Section(section, false).Value(key); found {
		return value, nil
	}
	return nil, nil
}

// splitFlagName returns the section and key of a flag: limits and request_body for
// limits-request-body. ok is false for a flag without a section, which can be set in a file
// only if it has a map.
func splitFlagName(flag string) (section, key string, ok bool) {
	section, key, ok = strings.Cut(flag, "-")
	return section, strings.ReplaceAll(key, "-", "_"), ok
}
