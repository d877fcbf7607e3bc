package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// PrintDefaults writes an INI file with the flags' default values. A comment before
// each key holds its help text. Flags of the same section must be adjacent.
func PrintDefaults(w io.Writer, flags []*kong.Flag) error {
	var text strings.Builder
	currentSection := ""
	for _, flag := range flags {
		section, key, ok := splitFlagName(flag.Name)
		if !ok && !flag.IsMap() {
			continue
		}
		if section != currentSection {
			if currentSection != "" {
				text.WriteString("\n")
			}
			fmt.Fprintf(&text, "[%s]\n", section)
			currentSection = section
		}
		line := assignment(key, flag)
		if !ok { // the section has keys of any name
			line = "; " + strings.Replace(flag.PlaceHolder, "=", " = ", 1)
		}
		fmt.Fprintf(&text, "; %s\n%s\n", flag.Help, line)
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return fmt.Errorf("cannot print the settings: %w", err)
	}
	return nil
}

// assignment returns the line that sets the key to its default. For a key without
// a default it returns a commented-out line with the placeholder.
func assignment(key string, flag *kong.Flag) string {
	if flag.HasDefault {
		return key + " = " + flag.Default
	}
	return "; " + key + " = " + flag.PlaceHolder
}
