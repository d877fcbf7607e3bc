package ticket

import (
	"time"

	"github.com/oatlatch/oatlatch/internal/admission"
)

// Digest identifies the content of a request.
type Digest [32]byte

// Field is one header field of a kept answer.
type Field struct {
	Name   string
	Values []string
}

// Result is what became of a request, with the upstream's answer if there is one.
type Result struct {
	Outcome admission.Outcome
	Reason  admission.Reason
	Status  int
	Fields  []Field
	Body    []byte
	// Upstream names where it ran, for logs.
	Upstream string
}

// size estimates the memory of a kept result in bytes.
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

// recordOverhead is the memory of a record without its answer in bytes.
const recordOverhead = 256

// Record is a used ticket whose result is kept in full.
type Record struct {
	Sequence uint64
	Digest   Digest
	Done     bool
	Result   Result
	// Used is when the ticket was presented.
	Used time.Time
}

func (s State) result() Result {
	switch s {
	case Burned:
		return Result{Outcome: admission.NotRun, Reason: admission.ReasonTicketRefused}
	case Ran:
		return Result{Outcome: admission.Answered, Reason: admission.ReasonAnswerNotKept}
	default:
		return Result{Outcome: admission.Unknown, Reason: admission.ReasonTicketForgotten}
	}
}

func stateOf(o admission.Outcome) State {
	switch o {
	case admission.NotRun:
		return Burned
	case admission.Answered:
		return Ran
	default:
		return Dispatched
	}
}

// Size estimates the memory of the record in bytes.
func (r Record) Size() int { return r.Result.size() }
