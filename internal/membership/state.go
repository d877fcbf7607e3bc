package membership

import "fmt"

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return fmt.Sprintf("State(%d)", uint8(s))
	}
}
