package warmup

import "context"

// Store is the part of the metadata store that holds permissions.
type Store interface {
	// Do makes the call. An error comes with the outcome Failed only.
	Do(ctx context.Context, call *Call) (Result, error)
}
