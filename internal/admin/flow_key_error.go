package admin

import "fmt"

// FlowKeyError is returned by ParseFlowKey for a value that cannot be parsed.
type FlowKeyError struct {
	// Field is the part of the flow: protocol, source or destination.
	Field string
	Value string
	// Expected describes a valid value.
	Expected string
}

// Error names the field, its value and the expected form.
func (e *FlowKeyError) Error() string {
	return fmt.Sprintf("%s %q is invalid, must be %s", e.Field, e.Value, e.Expected)
}
