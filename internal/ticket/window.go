package ticket

// State is what is known of one sequence.
type State uint8

// States of a sequence.
const (
	// Unused sequences have not been presented.
	Unused State = iota
	// Burned sequences did not run and never will.
	Burned
	// Dispatched sequences may have run.
	Dispatched
	// Ran sequences ran, and their answer arrived whole.
	Ran
)

const (
	bitsPerState  = 2
	statesPerWord = 64 / bitsPerState
	stateMask     = 1<<bitsPerState - 1
)

// Window keeps the state of the newest sequences in two bits each.
type Window struct {
	// Base is the first sequence kept, a multiple of the states in a word.
	Base  uint64
	Words []uint64
}

// Get returns the state; known is false below the window.
func (w *Window) Get(sequence uint64) (state State, known bool) {
	if sequence < w.Base {
		return Unused, false
	}
	word := (sequence - w.Base) / statesPerWord
	if word >= uint64(len(w.Words)) {
		return Unused, true
	}
	return State(w.Words[word] >> shift(sequence) & stateMask), true
}

// Set records the state of a sequence that is not below the window.
func (w *Window) Set(sequence uint64, state State) {
	if sequence < w.Base {
		return
	}
	word := int((sequence - w.Base) / statesPerWord)
	for len(w.Words) <= word {
		w.Words = append(w.Words, 0)
	}
	w.Words[word] &^= stateMask << shift(sequence)
	w.Words[word] |= uint64(state) << shift(sequence)
}

// Limit drops the oldest sequences so that at most words remain below next.
func (w *Window) Limit(next uint64, words int) {
	last := next / statesPerWord
	first := w.Base / statesPerWord
	if last < first+uint64(words) {
		return
	}
	drop := last - first - uint64(words) + 1
	if drop >= uint64(len(w.Words)) {
		w.Words = nil
	} else {
		w.Words = append([]uint64(nil), w.Words[drop:]...)
	}
	w.Base = (first + drop) * statesPerWord
}

func shift(sequence uint64) uint64 { return sequence % statesPerWord * bitsPerState }
