package ticket

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// Digest identifies the content of a request, so that a ticket cannot be reused for a
// different one.
type Digest [32]byte

// Field is a header field of a response.
type Field struct {
	Name   string
	Values []string
}

// Result is the outcome of a request, with the upstream's response if there is one.
type Result struct {
	Outcome admission.Outcome
	Reason  admission.Reason
	// Status is the HTTP status, or zero if there is no response.
	Status int
	Fields []Field
	Body   []byte
	// Upstream is the name of the upstream that ran the request, for logs.
	Upstream string
}

// size estimates the memory used by a record with this result, in bytes.
func (r Result) size() int {
	size := recordOverhead + len(r.Body)
	for _, f := range r.Fields {
		size += len(f.Name)
		for _, v := range f.Values {
			size += len(v)
		}
	}
	return size
}

// recordOverhead is the estimated memory used by a record in bytes, without the header
// and body of its response.
const recordOverhead = 256

// Record holds a used ticket and the full result of its request.
type Record struct {
	Sequence uint64
	Digest   Digest
	// Done is false while the request is running. Result is then empty.
	Done   bool
	Result Result
	// Used is when the ticket was first presented.
	Used time.Time
}

// result returns the result of a used ticket of which only the state is known.
func (s State) result() Result {
	switch s {
	case Burned:
		return Result{Outcome: admission.NotRun, Reason: admission.ReasonTicketRefused}
	case Answered:
		return Result{Outcome: admission.Answered, Reason: admission.ReasonAnswerNotKept}
	default:
		return Result{Outcome: admission.Unknown, Reason: admission.ReasonTicketForgotten}
	}
}

// stateAfter returns the state of a ticket whose request had the outcome.
func stateAfter(o admission.Outcome) State {
	switch o {
	case admission.NotRun:
		return Burned
	case admission.Answered:
		return Answered
	default:
		return Dispatched
	}
}

// Size estimates the memory used by the record in bytes.
func (r Record) Size() int { return r.Result.size() }
