package admin

import "fmt"

// KeyError says which part of a flow's text cannot be read.
type KeyError struct {
	Part   string
	Text   string
	Remedy string
}

// Error names the part and what to write instead.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s %q cannot be read, write %s", e.Part, e.Text, e.Remedy)
}
