package peer

import "context"

// ContextArgs is implemented by the argument types of methods that need the context of
// the call, such as those that may take long. The type keeps the context in an
// unexported field, which gob does not encode.
type ContextArgs interface {
	// SetContext receives a context that ends at the call's deadline, when the caller
	// cancels the call, and when the connection fails.
	SetContext(ctx context.Context)
}
