package publish

import (
	"fmt"
	"slices"
)

// maxSwaps bounds how often a publication that keeps losing races starts again.
const maxSwaps = 64

// Machine carries one publication through reads, writes and lost answers.
type Machine struct {
	request  Request
	prepared bool
	changes  []change
	plan     *plan
	// inDoubt is set while the last swap has no known outcome.
	inDoubt bool
	swaps   int
}

// NewMachine returns a machine for the request. Its first action is ReadState.
func NewMachine(request Request) *Machine { return &Machine{request: request} }

// Start returns the first action.
func (m *Machine) Start() Action { return ReadState{} }

// Step takes the answer to the last action and returns the next one.
func (m *Machine) Step(event Event) Action {
	switch e := event.(type) {
	case StateRead:
		return m.stateRead(e.State)
	case ReadFailed:
		return m.failed(e.Err)
	case PagesWritten:
		return m.swap()
	case PagesFailed:
		return m.failed(e.Err)
	case Swapped:
		return m.swapped(e.Written)
	case SwapFailed:
		return m.failed(e.Err)
	case SwapLost:
		m.inDoubt = true
		return ReadState{}
	default:
		return m.failed(fmt.Errorf("unexpected event %T", event))
	}
}

func (m *Machine) stateRead(s State) Action {
	if m.inDoubt {
		switch resolve(m.request.ID, m.plan, s) {
		case landed:
			return m.landed()
		case undecided:
			// The head is as it was, so the lost write can still arrive. The same
			// write at the same revision lets at most one of the two take effect.
			return m.swap()
		case unknown:
			return m.unknown("other publications have pushed it out of the remembered ones")
		case notLanded:
			m.inDoubt = false
		}
	}
	return m.planOver(s)
}

// planOver prepares the publication anew over the state.
func (m *Machine) planOver(s State) Action {
	var err error
	if !m.prepared {
		m.changes, err = changesFrom(m.request, s)
		m.prepared = true
	}
	if err != nil {
		return m.failed(err)
	}
	left, err := pending(m.changes, s)
	if err != nil {
		return m.failed(err)
	}
	if len(left) == 0 && !m.writesAnyway(s) {
		return Finish{Result: Result{Version: s.version(), Unchanged: true, Swaps: m.swaps}}
	}
	if m.plan, err = newPlan(m.request, left, s); err != nil {
		return m.failed(err)
	}
	if len(m.plan.pages) == 0 {
		return m.swap()
	}
	return WritePages{Pages: m.plan.pages}
}

// writesAnyway reports whether the request asks for a new head without changing a service.
func (m *Machine) writesAnyway(s State) bool {
	raises := m.request.Above != 0 && m.request.Above >= s.version()
	return raises || m.request.RotateTicketKeys
}

func (m *Machine) swap() Action {
	m.swaps++
	if m.swaps > maxSwaps {
		if m.inDoubt {
			return m.unknown("its writes kept losing their answers")
		}
		return Finish{Err: &ContentionError{Publication: m.request.ID, Swaps: maxSwaps}}
	}
	return Swap{Head: m.plan.head, Revision: m.plan.revision}
}

func (m *Machine) swapped(written bool) Action {
	if written {
		return m.landed()
	}
	// While in doubt, a refusal may mean that the earlier write took effect: the
	// next read tells.
	return ReadState{}
}

func (m *Machine) failed(err error) Action {
	if m.inDoubt {
		return m.unknown(err.Error())
	}
	return Finish{Err: &NotPublishedError{Publication: m.request.ID, Err: err}}
}

func (m *Machine) unknown(reason string) Action {
	return Finish{Err: &UnknownOutcomeError{
		Publication: m.request.ID,
		Version:     m.plan.version,
		Services:    names(m.plan.changes),
		Reason:      reason,
	}}
}

func (m *Machine) landed() Action {
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
