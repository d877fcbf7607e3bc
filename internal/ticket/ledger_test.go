package ticket

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/admission"
	"github.com/oatlatch/oatlatch/internal/standin/testflags"
)

func TestMain(m *testing.M) {
	testflags.SetTestFlags(testflags.Options{Seed: 5, Checks: 400})
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

func smallLimits() Options {
	return Options{Issuer: "entry-0", Incarnation: 9, Lifetime: time.Minute, Retention: 2 * time.Minute, MaxRecords: 4, MaxBytes: 4 * recordOverhead, MaxWords: 2}
}

// ticketModel is the expected state of a ticket.
type ticketModel struct {
	ticket Ticket
	// runs is the number of runs that may have taken effect.
	runs    int
	running bool
	// notRun is set once a result reported that the request did not run.
	notRun bool
	// answered is set once a run ended with a response.
	answered bool
}

// ledgerStateMachine is a state machine test. Its exported methods are random actions on
// a ledger or on the successor that took it over. The results are compared with the model.
type ledgerStateMachine struct {
	ledger  *Ledger
	now     time.Time
	tickets []*ticketModel
}

func (m *ledgerStateMachine) drawTicket(t *rapid.T) *ticketModel {
	if len(m.tickets) == 0 {
		t.Skip("no ticket issued yet")
	}
	return rapid.SampledFrom(m.tickets).Draw(t, "ticket")
}

func (m *ledgerStateMachine) Issue(t *rapid.T) {
	m.tickets = append(m.tickets, &ticketModel{ticket: m.ledger.Issue(m.now, 7)})
}

// PassTime moves the clock forward or, by a few seconds, back.
func (m *ledgerStateMachine) PassTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(-5, 40).Draw(t, "seconds")) * time.Second)
	m.ledger.Sweep(m.now)
}

func (m *ledgerStateMachine) Present(t *rapid.T) {
	model := m.drawTicket(t)
	m.checkClaim(t, model, m.ledger.Begin(m.now, model.ticket, 7, Digest{1}))
}

// PresentOtherRequest presents a used ticket for a request with a different digest.
func (m *ledgerStateMachine) PresentOtherRequest(t *rapid.T) {
	model := m.drawTicket(t)
	if model.running || model.answered || model.notRun || model.runs > 0 {
		claim := m.ledger.Begin(m.now, model.ticket, 7, Digest{2})
		if claim.Kind == ClaimRun || claim.Kind == ClaimJoin {
			t.Fatalf("a different request with a used ticket got the claim %+v", claim)
		}
	}
}

func (m *ledgerStateMachine) Burn(t *rapid.T) {
	model := m.drawTicket(t)
	m.checkClaim(t, model, m.ledger.Burn(m.now, model.ticket, admission.ReasonBadDeadline))
}

func (m *ledgerStateMachine) Finish(t *rapid.T) {
	model := m.drawTicket(t)
	if !model.running {
		t.Skip("the request is not running")
	}
	outcome := rapid.SampledFrom([]admission.Outcome{admission.Answered, admission.NotRun, admission.Unknown}).Draw(t, "outcome")
	m.ledger.Finish(m.now, model.ticket.Sequence, Result{Outcome: outcome, Reason: admission.ReasonOK})
	model.running = false
	switch outcome {
	case admission.NotRun:
		model.runs, model.notRun = 0, true
	case admission.Answered:
		model.answered = true
	}
}

// HandOver closes the ledger and, if no request is running, replaces it by its successor.
func (m *ledgerStateMachine) HandOver(t *rapid.T) {
	m.ledger.Close()
	if m.ledger.Running() > 0 {
		return
	}
	old := m.ledger
	m.ledger = NewLedgerFromTransfer(smallLimits(), old.Seal())
	for _, model := range m.tickets {
		if claim := old.Begin(m.now, model.ticket, 7, Digest{1}); claim.Kind != ClaimSealed {
			t.Fatalf("a sealed ledger returned the claim %+v, want ClaimSealed", claim)
		}
	}
}

// checkClaim compares a claim with the model and updates the model.
func (m *ledgerStateMachine) checkClaim(t *rapid.T, model *ticketModel, claim Claim) {
	switch claim.Kind {
	case ClaimRun:
		if model.runs > 0 || model.notRun {
			t.Fatalf("ticket %d was allowed to run again: %+v", model.ticket.Sequence, model)
		}
		model.runs, model.running = 1, true
	case ClaimJoin:
		if !model.running {
			t.Fatalf("ticket %d got ClaimJoin, but its request is not running", model.ticket.Sequence)
		}
	case ClaimDone:
		m.checkOutcome(t, model, claim.Result.Outcome)
	}
}

// checkOutcome compares the outcome in a final claim with the model and updates the model.
func (m *ledgerStateMachine) checkOutcome(t *rapid.T, model *ticketModel, outcome admission.Outcome) {
	switch outcome {
	case admission.NotRun:
		if model.runs > 0 {
			t.Fatalf("ticket %d has the outcome not-run, but its request may have run", model.ticket.Sequence)
		}
		model.notRun = true
	case admission.Answered:
		if !model.answered {
			t.Fatalf("ticket %d has the outcome answered, but no run ended with a response", model.ticket.Sequence)
		}
	}
}

// Check verifies that the ledger stays within its limits. It runs after every action.
func (m *ledgerStateMachine) Check(t *rapid.T) {
	if finished := len(m.ledger.records) - m.ledger.running; finished > smallLimits().MaxRecords {
		t.Fatalf("the ledger keeps %d finished records, more than MaxRecords", finished)
	}
	if words := len(m.ledger.window.Words); words > smallLimits().MaxWords {
		t.Fatalf("the window has %d words, more than MaxWords", words)
	}
}

// No order of actions may let the request of a ticket run twice, or report an outcome that
// contradicts what has run.
func TestLedgerNeverAllowsSecondRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerStateMachine{ledger: NewLedger(smallLimits()), now: start}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// If another host may have received the same ledger, the successor cannot tell whether an
// unused ticket was used there.
func TestNonExclusiveSuccessorRunsNothing(t *testing.T) {
	l := NewLedger(smallLimits())
	ticket := l.Issue(start, 7)
	l.Close()
	transfer := l.Seal()
	transfer.Exclusive = false
	claim := NewLedgerFromTransfer(smallLimits(), transfer).Begin(start, ticket, 7, Digest{1})
	if claim.Kind != ClaimDone || claim.Result.Outcome != admission.Unknown {
		t.Errorf("got %+v, want ClaimDone with the outcome unknown", claim)
	}
}

func TestVerifyRejectsForgedTickets(t *testing.T) {
	key, otherKey := []byte("key one"), []byte("key two")
	var keyring Keyring
	keyring.SetKeys(start, [][]byte{key}, time.Minute)
	valid := keyring.Encode(Ticket{Issuer: "entry-0", Incarnation: 9, Sequence: 1, ExpiresMs: 5})
	if _, err := keyring.Verify(valid); err != nil {
		t.Fatal(err)
	}
	keyring.SetKeys(start, [][]byte{otherKey}, time.Minute)
	if _, err := keyring.Verify(valid); err != nil {
		t.Errorf("a retired key does not verify its ticket during the retention time: %v", err)
	}
	keyring.SetKeys(start.Add(2*time.Minute), [][]byte{otherKey}, time.Minute)
	if _, err := keyring.Verify(valid); err == nil || err.(*Error).Kind != UnknownKey {
		t.Errorf("after the retention time, got %v, want UnknownKey", err)
	}
	keyring.SetKeys(start, [][]byte{key}, time.Minute)
	rapid.Check(t, func(t *rapid.T) {
		position := rapid.IntRange(0, len(valid)-1).Draw(t, "at")
		forged := []byte(valid)
		forged[position] ^= byte(rapid.IntRange(1, 127).Draw(t, "flip"))
		if _, err := keyring.Verify(string(forged)); err == nil {
			t.Fatalf("a ticket with byte %d changed was accepted", position)
		}
	})
}

func FuzzVerify(f *testing.F) {
	var keyring Keyring
	keyring.SetKeys(start, [][]byte{[]byte("key one")}, time.Minute)
	f.Add(keyring.Encode(Ticket{Issuer: "entry-0"}))
	f.Add("")
	f.Add("e30.e30")
	f.Fuzz(func(t *testing.T, raw string) {
		got, err := keyring.Verify(raw)
		if err == nil && keyring.Encode(got) != raw && len(raw) < 40 {
			t.Fatalf("accepted %q, which is not the canonical encoding of its ticket", raw)
		}
	})
}
