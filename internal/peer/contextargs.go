package peer

import "context"

// ContextArgs are arguments that want the context of their call. A method that
// may take long implements it on its argument type, with the context in an
// unexported field that gob does not encode.
type ContextArgs interface {
	// SetContext receives a context that ends at the call's deadline, when the
	// caller gives up, and when the connection breaks.
	SetContext(ctx context.Context)
}
