// Package inifile reads INI text strictly. It reports unknown, repeated and
// malformed entries, each with its location and a remedy.
package inifile

import (
	"fmt"
	"strings"
)

// Problem is an error in an INI file.
type Problem struct {
	File string
	// Section and Key locate the problem. Key is empty for a problem with a whole
	// section, and both are empty for one with the whole file.
	Section string
	Key     string
	// Message says what is wrong.
	Message string
	// Remedy says what to write instead.
	Remedy string
}

// Error returns a line of the form "file:section.key: message, remedy".
func (p Problem) Error() string {
	location := p.File
	if p.Section != "" {
		location += ":" + p.Section
		if p.Key != "" {
			location += "." + p.Key
		}
	}
	return fmt.Sprintf("%s: %s, %s", location, p.Message, p.Remedy)
}

// Problems is an error that lists the problems of one or more files.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}
