package publish

import "github.com/oatlatch/oatlatch/internal/config"

// Action is what a Machine asks its driver to do next.
type Action interface{ action() }

// ReadState asks for the published state, answered by StateRead or ReadFailed.
type ReadState struct{}

// WritePages asks to create pages, answered by PagesWritten or PagesFailed. A page
// that exists already is as good as written.
type WritePages struct{ Pages []config.PageData }

// Swap asks to write the head if its revision is still the given one, answered by
// Swapped, SwapFailed or SwapLost. The driver must not repeat it by itself.
type Swap struct {
	Head     []byte
	Revision uint64
}

// Finish ends the publication.
type Finish struct {
	Result Result
	Err    error
}

func (ReadState) action()  {}
func (WritePages) action() {}
func (Swap) action()       {}
func (Finish) action()     {}

// Event is what a Machine's driver reports.
type Event interface{ event() }

// StateRead reports the published state.
type StateRead struct{ State State }

// ReadFailed reports that the state could not be read in time.
type ReadFailed struct{ Err error }

// PagesWritten reports that all pages exist.
type PagesWritten struct{}

// PagesFailed reports that pages could not be written in time.
type PagesFailed struct{ Err error }

// Swapped reports the definite answer to a Swap.
type Swapped struct{ Written bool }

// SwapFailed reports a Swap that had no effect.
type SwapFailed struct{ Err error }

// SwapLost reports a Swap whose answer was lost.
type SwapLost struct{ Err error }

func (StateRead) event()    {}
func (ReadFailed) event()   {}
func (PagesWritten) event() {}
func (PagesFailed) event()  {}
func (Swapped) event()      {}
func (SwapFailed) event()   {}
func (SwapLost) event()     {}
