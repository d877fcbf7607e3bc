package publish

import (
	"fmt"
	"slices"
)

// maxSwaps bounds the attempts to write the head while other publications change it
// concurrently or responses are lost.
const maxSwaps = 64

// StateMachine is the state machine of one publication. It performs no I/O: its driver
// performs each Action and reports the result as an Event.
type StateMachine struct {
	request Request
	// changesComputed is set once changes are computed, which happens at the first read only:
	// they keep the original entries, against which later conflicts are detected.
	changesComputed bool
	changes         []change
	// plan is the write to perform, based on the last state read.
	plan *plan
	// swapAmbiguous is set while the outcome of a swap is unknown.
	swapAmbiguous bool
	// swaps counts the attempts to write the head.
	swaps int
}

// NewStateMachine returns a machine for the request.
func NewStateMachine(request Request) *StateMachine { return &StateMachine{request: request} }

// Start returns the first action, which is ReadState.
func (m *StateMachine) Start() Action { return ReadState{} }

// Step takes the result of the last action and returns the next one.
func (m *StateMachine) Step(event Event) Action {
	switch e := event.(type) {
	case StateRead:
		return m.handleState(e.State)
	case ReadFailed:
		return m.finishFailed(e.Err)
	case PagesWritten:
		return m.swapHead()
	case PagesFailed:
		return m.finishFailed(e.Err)
	case Swapped:
		return m.handleSwapped(e.Written)
	case SwapFailed:
		return m.finishFailed(e.Err)
	case SwapAmbiguous:
		m.swapAmbiguous = true
		return ReadState{}
	default:
		return m.finishFailed(fmt.Errorf("unexpected event %T", event))
	}
}

// handleState first resolves a swap of unknown outcome, then plans the next write.
func (m *StateMachine) handleState(s State) Action {
	if m.swapAmbiguous {
		switch resolveSwap(m.request.ID, m.plan, s) {
		case swapTookEffect:
			return m.finishPublished()
		case swapPending:
			// The head is unchanged, so the earlier write may still arrive. Repeating
			// the same write at the same revision is safe: at most one of the two can
			// take effect.
			return m.swapHead()
		case swapUnknown:
			return m.finishUnknown("the published state no longer shows whether its write took effect")
		case swapHadNoEffect:
			m.swapAmbiguous = false
		}
	}
	return m.planWrite(s)
}

// planWrite plans the write of the changes that the state does not contain yet.
func (m *StateMachine) planWrite(s State) Action {
	var err error
	if !m.changesComputed {
		m.changes, err = computeChanges(m.request, s)
		m.changesComputed = true
	}
	if err != nil {
		return m.finishFailed(err)
	}
	remaining, err := pendingChanges(m.changes, s)
	if err != nil {
		return m.finishFailed(err)
	}
	if len(remaining) == 0 && !m.requiresNewHead(s) {
		return Finish{Result: Result{Version: s.version(), Unchanged: true, Swaps: m.swaps}}
	}
	if m.plan, err = newPlan(m.request, remaining, s); err != nil {
		return m.finishFailed(err)
	}
	if len(m.plan.pages) == 0 {
		return m.swapHead()
	}
	return WritePages{Pages: m.plan.pages}
}

// requiresNewHead reports whether the request needs a new head even if no service
// changes.
func (m *StateMachine) requiresNewHead(s State) bool {
	raisesVersion := m.request.AboveVersion != 0 && m.request.AboveVersion >= s.version()
	return raisesVersion || m.request.RotateTicketKeys
}

// swapHead attempts to write the head, unless the limit of attempts is reached.
func (m *StateMachine) swapHead() Action {
	m.swaps++
	if m.swaps > maxSwaps {
		if m.swapAmbiguous {
			return m.finishUnknown("the responses to its writes were lost repeatedly")
		}
		return Finish{Err: &ContentionError{Publication: m.request.ID, Swaps: maxSwaps}}
	}
	return SwapHead{Head: m.plan.head, Revision: m.plan.revision}
}

func (m *StateMachine) handleSwapped(written bool) Action {
	if written {
		return m.finishPublished()
	}
	// While a swap is ambiguous, the revision may have changed because that earlier
	// write took effect. The next read tells.
	return ReadState{}
}

// finishFailed ends the publication. An ambiguous swap may have taken effect, so the
// outcome is then unknown instead of failed.
func (m *StateMachine) finishFailed(err error) Action {
	if m.swapAmbiguous {
		return m.finishUnknown(err.Error())
	}
	return Finish{Err: &NotPublishedError{Publication: m.request.ID, Err: err}}
}

func (m *StateMachine) finishUnknown(reason string) Action {
	return Finish{Err: &UnknownOutcomeError{
		Publication: m.request.ID,
		Version:     m.plan.version,
		Services:    changeNames(m.plan.changes),
		Reason:      reason,
	}}
}

func (m *StateMachine) finishPublished() Action {
	result := Result{Version: m.plan.version, Publication: m.request.ID, Swaps: m.swaps}
	for _, c := range m.plan.changes {
		if c.desired == nil {
			result.Removed = append(result.Removed, c.name)
		} else {
			result.Changed = append(result.Changed, c.name)
		}
	}
	slices.Sort(result.Changed)
	return Finish{Result: result}
}
