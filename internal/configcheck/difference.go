package configcheck

import "fmt"

// Change is a kind of difference between two configurations.
type Change string

// Kinds of differences.
const (
	Added   Change = "added"
	Removed Change = "removed"
	// Moved means that a route goes to other services than before.
	Moved Change = "moved"
	// Changed means that another value of the entry has changed.
	Changed Change = "changed"
)

// Difference is one difference between the configuration in force and another one.
type Difference struct {
	Change Change `json:"change"`
	// Entry is that of the new configuration; a removed one is that of the old.
	Entry Entry `json:"entry"`
	// What names the changed value, and Before and After are its values.
	What   string `json:"what,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Effect tells what happens to flows.
	Effect string `json:"effect,omitempty"`
}

// String returns the difference as a line.
func (d *Difference) String() string {
	line := fmt.Sprintf("%s: %s", d.Change, d.Entry)
	switch {
	case d.What != "":
		line += fmt.Sprintf(": %s %s -> %s", d.What, orNone(d.Before), orNone(d.After))
	case d.Before+d.After != "":
		line += ": " + d.Before + d.After
	}
	if d.Effect != "" {
		line += " (" + d.Effect + ")"
	}
	return line
}

// orNone returns the value, or a word for an empty one.
func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
