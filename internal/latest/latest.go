// Package latest passes the latest value of a kind between goroutines.
package latest

// Value passes the latest value from one goroutine to another. Values that were not
// received before the next one are lost.
type Value[T any] chan T

// New returns a Value without a value.
func New[T any]() Value[T] { return make(Value[T], 1) }

// Set replaces the value. It never blocks. Only one goroutine may call it.
func (v Value[T]) Set(value T) {
	select {
	case <-v:
	default:
	}
	v <- value
}
