package configcheck

import "fmt"

// Kind is a kind of entry of a configuration.
type Kind string

// Kinds of entries.
const (
	KindConfiguration Kind = "configuration"
	KindRoute         Kind = "route"
	KindService       Kind = "service"
	KindLimits        Kind = "limits"
)

// Entry names the part of a configuration that a finding or a difference is about.
type Entry struct {
	Kind Kind `json:"kind"`
	// Index is the position of a route or service in its list, counted from 0.
	Index int    `json:"index"`
	Name  string `json:"name,omitempty"`
}

// String returns the entry in the form in which operators find it in the file.
func (e Entry) String() string {
	switch e.Kind {
	case KindRoute:
		return fmt.Sprintf("routes[%d] %q", e.Index, e.Name)
	case KindService:
		return fmt.Sprintf("services[%d] %q", e.Index, e.Name)
	default:
		return string(e.Kind)
	}
}
