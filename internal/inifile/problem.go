// Package inifile reads INI text strictly: unknown, repeated and malformed
// entries are reported, each with its place and remedy.
package inifile

import (
	"fmt"
	"strings"
)

// Problem is one fault in an INI file.
type Problem struct {
	File string
	// Section and Key name the place; both are empty when the whole file is at fault.
	Section string
	Key     string
	// What says what is wrong and Remedy what to write instead.
	What   string
	Remedy string
}

// Error returns the line "file:section.key: what is wrong, what to write instead".
func (p Problem) Error() string {
	place := p.File
	if p.Section != "" {
		place += ":" + p.Section
		if p.Key != "" {
			place += "." + p.Key
		}
	}
	return fmt.Sprintf("%s: %s, %s", place, p.What, p.Remedy)
}

// Problems are the faults of one or several files.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil when there is none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}
