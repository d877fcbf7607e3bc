package ticket

// State is the state of a ticket.
type State uint8

// States of a ticket.
const (
	// Unused means that the ticket has not been presented yet.
	Unused State = iota
	// Burned means that the request did not run and never will.
	Burned
	// Dispatched means that the request may have run.
	Dispatched
	// Answered means that the request ran and its whole response arrived.
	Answered
)

const (
	bitsPerState  = 2
	statesPerWord = 64 / bitsPerState
	stateMask     = 1<<bitsPerState - 1
)

// Window holds the states of the newest tickets, with two bits for each. Sequences above
// the last word are unused.
type Window struct {
	// Base is the sequence of the first state, a multiple of statesPerWord.
	Base  uint64
	Words []uint64
}

// Get returns the state of a ticket. It returns false for known if the sequence is below
// the window.
func (w *Window) Get(sequence uint64) (state State, known bool) {
	if sequence < w.Base {
		return Unused, false
	}
	word := (sequence - w.Base) / statesPerWord
	if word >= uint64(len(w.Words)) {
		return Unused, true
	}
	return State(w.Words[word] >> bitOffset(sequence) & stateMask), true
}

// Set sets the state of a ticket, unless its sequence is below the window.
func (w *Window) Set(sequence uint64, state State) {
	if sequence < w.Base {
		return
	}
	word := int((sequence - w.Base) / statesPerWord)
	for len(w.Words) <= word {
		w.Words = append(w.Words, 0)
	}
	w.Words[word] &^= stateMask << bitOffset(sequence)
	w.Words[word] |= uint64(state) << bitOffset(sequence)
}

// Trim drops the oldest states, so that the window has at most maxWords words once it
// reaches the newest sequence.
func (w *Window) Trim(newest uint64, maxWords int) {
	last := newest / statesPerWord
	first := w.Base / statesPerWord
	if last < first+uint64(maxWords) {
		return
	}
	drop := last - first - uint64(maxWords) + 1
	if drop >= uint64(len(w.Words)) {
		w.Words = nil
	} else {
		w.Words = append([]uint64(nil), w.Words[drop:]...)
	}
	w.Base = (first + drop) * statesPerWord
}

// wellFormed reports whether the window has at most maxWords words and does not begin after
// the newest sequence.
func (w *Window) wellFormed(newest uint64, maxWords int) bool {
	return w.Base%statesPerWord == 0 && w.Base <= newest && len(w.Words) <= maxWords
}

// bitOffset returns the position of the state in its word.
func bitOffset(sequence uint64) uint64 { return sequence % statesPerWord * bitsPerState }
