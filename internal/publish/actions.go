package publish

import "github.com/oatlatch/oatlatch/internal/config"

// Action is an operation that a StateMachine asks its driver to perform next.
type Action interface{ action() }

// ReadState asks for the published state. The driver reports StateRead or
// ReadFailed.
type ReadState struct{}

// WritePages asks to create pages. The driver reports PagesWritten or
// PagesFailed. A page that already exists counts as written.
type WritePages struct{ Pages []config.PageData }

// SwapHead asks for a compare-and-swap of the head: write it if its stored revision is
// still Revision. The driver reports Swapped, SwapFailed or SwapAmbiguous and
// must not retry on its own.
type SwapHead struct {
	Head     []byte
	Revision uint64
}

// Finish ends the publication with its result or its error.
type Finish struct {
	Result Result
	Err    error
}

func (ReadState) action()  {}
func (WritePages) action() {}
func (SwapHead) action()   {}
func (Finish) action()     {}

// Event is the result of an Action, as its driver reports it.
type Event interface{ event() }

// StateRead reports the published state.
type StateRead struct{ State State }

// ReadFailed reports that the state could not be read before the driver gave up.
type ReadFailed struct{ Err error }

// PagesWritten reports that all pages exist.
type PagesWritten struct{}

// PagesFailed reports that some pages could not be written before the driver gave up.
type PagesFailed struct{ Err error }

// Swapped reports the store's response to a SwapHead. Written is false if the revision of
// the head had changed.
type Swapped struct{ Written bool }

// SwapFailed reports a SwapHead that failed and is known to have had no effect.
type SwapFailed struct{ Err error }

// SwapAmbiguous reports a SwapHead whose response was lost: the write may have taken
// effect, or may still do so.
type SwapAmbiguous struct{ Err error }

func (StateRead) event()     {}
func (ReadFailed) event()    {}
func (PagesWritten) event()  {}
func (PagesFailed) event()   {}
func (Swapped) event()       {}
func (SwapFailed) event()    {}
func (SwapAmbiguous) event() {}
