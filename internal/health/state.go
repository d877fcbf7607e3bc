package health

import "fmt"

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Joining:
		return "joining"
	case Up:
		return "up"
	case Suspect:
		return "suspect"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	default:
		return fmt.Sprintf("State(%d)", uint8(s))
	}
}
