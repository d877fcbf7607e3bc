package flow

import (
	"math/bits"

	"github.com/oatlatch/oatlatch/internal/slottable"
)

// wordBits is the number of slots per word of a SlotSet.
const wordBits = 64

// SlotSet is a set of slots of one service.
type SlotSet [slottable.Slots / wordBits]uint64

// allSlots returns the set of all slots.
func allSlots() SlotSet {
	var s SlotSet
	for i := range s {
		s[i] = 1<<wordBits - 1
	}
	return s
}

// Add adds slot i.
func (s *SlotSet) Add(i int) {
	s[i/wordBits] |= 1 << (i % wordBits)
}

// Remove removes slot i.
func (s *SlotSet) Remove(i int) {
	s[i/wordBits] &^= 1 << (i % wordBits)
}

// Has reports whether the set has slot i.
func (s *SlotSet) Has(i int) bool {
	return s[i/wordBits]&(1<<(i%wordBits)) != 0
}

// Len returns the number of slots in the set.
func (s *SlotSet) Len() int {
	n := 0
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// All yields the slots in ascending order.
func (s *SlotSet) All(yield func(int) bool) {
	for i, w := range s {
		for ; w != 0; w &= w - 1 {
			if !yield(i*wordBits + bits.TrailingZeros64(w)) {
				return
			}
		}
	}
}
