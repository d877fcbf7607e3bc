package edge

// latest passes the latest value from one goroutine to another. Values that were not
// received before the next one are lost.
type latest[T any] chan T

func newLatest[T any]() latest[T] { return make(latest[T], 1) }

// set replaces the value. It never blocks. Only one goroutine may call it.
func (l latest[T]) set(value T) {
	select {
	case <-l:
	default:
	}
	l <- value
}
