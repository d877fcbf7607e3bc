package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// Print writes an INI file of the flags' defaults, each under its comment.
func Print(w io.Writer, flags []*kong.Flag) error {
	var text strings.Builder
	current := ""
	for _, flag := range flags {
		section, key, ok := place(flag.Name)
		if !ok {
			continue
		}
		if section != current {
			if current != "" {
				text.WriteString("\n")
			}
			fmt.Fprintf(&text, "[%s]\n", section)
			current = section
		}
		fmt.Fprintf(&text, "; %s\n%s\n", flag.Help, assignment(key, flag))
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return fmt.Errorf("cannot print the settings: %w", err)
	}
	return nil
}

// assignment returns the key with its default, commented out when there is none.
func assignment(key string, flag *kong.Flag) string {
	if flag.HasDefault {
		return key + " = " + flag.Default
	}
	return "; " + key + " = " + flag.PlaceHolder
}
