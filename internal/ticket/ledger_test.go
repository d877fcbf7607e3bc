package ticket

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oatlatch/oatlatch/internal/admission"

	"github.com/oatlatch/oatlatch/internal/standin/fixed"
)

func TestMain(m *testing.M) {
	fixed.Apply(fixed.Options{Seed: 5, Checks: 400})
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

func smallBounds() Options {
	return Options{Issuer: "entry-0", Incarnation: 9, Life: time.Minute, Keep: 2 * time.Minute, MaxRecords: 4, MaxBytes: 4 * recordOverhead, MaxWords: 2}
}

// known is what the oracle remembers of one ticket.
type known struct {
	ticket  Ticket
	runs    int
	running bool
	notRun  bool
	ran     bool
}

// ledgerMachine drives a ledger, and its successors, beside a simple oracle.
type ledgerMachine struct {
	ledger  *Ledger
	now     time.Time
	tickets []*known
}

func (m *ledgerMachine) pick(t *rapid.T) *known {
	if len(m.tickets) == 0 {
		t.Skip("no ticket yet")
	}
	return rapid.SampledFrom(m.tickets).Draw(t, "ticket")
}

func (m *ledgerMachine) Issue(t *rapid.T) {
	m.tickets = append(m.tickets, &known{ticket: m.ledger.Issue(m.now, 7)})
}

func (m *ledgerMachine) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(-5, 40).Draw(t, "seconds")) * time.Second)
	m.ledger.Sweep(m.now)
}

func (m *ledgerMachine) Present(t *rapid.T) {
	k := m.pick(t)
	m.judge(t, k, m.ledger.Begin(m.now, k.ticket, 7, Digest{1}))
}

func (m *ledgerMachine) PresentAnotherRequest(t *rapid.T) {
	k := m.pick(t)
	if k.running || k.ran || k.notRun || k.runs > 0 {
		claim := m.ledger.Begin(m.now, k.ticket, 7, Digest{2})
		if claim.Kind == ClaimRun || claim.Kind == ClaimJoin {
			t.Fatalf("another request got %+v under a used ticket", claim)
		}
	}
}

func (m *ledgerMachine) Burn(t *rapid.T) {
	k := m.pick(t)
	m.judge(t, k, m.ledger.Burn(m.now, k.ticket, admission.ReasonBadDeadline))
}

func (m *ledgerMachine) Finish(t *rapid.T) {
	k := m.pick(t)
	if !k.running {
		t.Skip("not running")
	}
	outcome := rapid.SampledFrom([]admission.Outcome{admission.Answered, admission.NotRun, admission.Unknown}).Draw(t, "outcome")
	m.ledger.Finish(m.now, k.ticket.Sequence, Result{Outcome: outcome, Reason: admission.ReasonOK})
	k.running = false
	switch outcome {
	case admission.NotRun:
		k.runs, k.notRun = 0, true
	case admission.Answered:
		k.ran = true
	}
}

func (m *ledgerMachine) HandOver(t *rapid.T) {
	m.ledger.Close()
	if m.ledger.Running() > 0 {
		return
	}
	old := m.ledger
	m.ledger = Adopt(smallBounds(), old.Seal())
	for _, k := range m.tickets {
		if claim := old.Begin(m.now, k.ticket, 7, Digest{1}); claim.Kind != ClaimSealed {
			t.Fatalf("a sealed ledger answered %+v", claim)
		}
	}
}

// judge compares a claim with the oracle.
func (m *ledgerMachine) judge(t *rapid.T, k *known, claim Claim) {
	switch claim.Kind {
	case ClaimRun:
		if k.runs > 0 || k.notRun {
			t.Fatalf("ticket %d may run again: %+v", k.ticket.Sequence, k)
		}
		k.runs, k.running = 1, true
	case ClaimJoin:
		if !k.running {
			t.Fatalf("ticket %d joins nothing", k.ticket.Sequence)
		}
	case ClaimDone:
		m.judgeResult(t, k, claim.Result.Outcome)
	}
}

func (m *ledgerMachine) judgeResult(t *rapid.T, k *known, outcome admission.Outcome) {
	switch outcome {
	case admission.NotRun:
		if k.runs > 0 {
			t.Fatalf("ticket %d is told not-run and may have run", k.ticket.Sequence)
		}
		k.notRun = true
	case admission.Answered:
		if !k.ran {
			t.Fatalf("ticket %d is told answered and did not run", k.ticket.Sequence)
		}
	}
}

// Check holds the bounds.
func (m *ledgerMachine) Check(t *rapid.T) {
	if finished := len(m.ledger.records) - m.ledger.running; finished > smallBounds().MaxRecords {
		t.Fatalf("%d finished records are kept", finished)
	}
	if words := len(m.ledger.window.Words); words > smallBounds().MaxWords {
		t.Fatalf("the window has %d words", words)
	}
}

func TestLedgerNeverGivesTheRightToRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerMachine{ledger: NewLedger(smallBounds()), now: start}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func TestUnexclusiveSuccessorRunsNothing(t *testing.T) {
	l := NewLedger(smallBounds())
	ticket := l.Issue(start, 7)
	l.Close()
	transfer := l.Seal()
	transfer.Exclusive = false
	claim := Adopt(smallBounds(), transfer).Begin(start, ticket, 7, Digest{1})
	if claim.Kind != ClaimDone || claim.Result.Outcome != admission.Unknown {
		t.Errorf("got %+v", claim)
	}
}

func TestVerifyRefusesWhatNoHostIssued(t *testing.T) {
	key, other := []byte("key one"), []byte("key two")
	var ring Keyring
	ring.Adopt(start, [][]byte{key}, time.Minute)
	good := ring.Encode(Ticket{Issuer: "entry-0", Incarnation: 9, Sequence: 1, ExpiresMs: 5})
	if _, err := ring.Verify(good); err != nil {
		t.Fatal(err)
	}
	ring.Adopt(start, [][]byte{other}, time.Minute)
	if _, err := ring.Verify(good); err != nil {
		t.Errorf("a key that has left must verify its tickets for a while: %v", err)
	}
	ring.Adopt(start.Add(2*time.Minute), [][]byte{other}, time.Minute)
	if _, err := ring.Verify(good); err == nil || err.(*Error).Kind != UnknownKey {
		t.Errorf("after that its key is unknown: %v", err)
	}
	ring.Adopt(start, [][]byte{key}, time.Minute)
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(good)-1).Draw(t, "at")
		forged := []byte(good)
		forged[at] ^= byte(rapid.IntRange(1, 127).Draw(t, "flip"))
		if _, err := ring.Verify(string(forged)); err == nil {
			t.Fatalf("took a ticket with byte %d changed", at)
		}
	})
}

func FuzzVerify(f *testing.F) {
	var ring Keyring
	ring.Adopt(start, [][]byte{[]byte("key one")}, time.Minute)
	f.Add(ring.Encode(Ticket{Issuer: "entry-0"}))
	f.Add("")
	f.Add("e30.e30")
	f.Fuzz(func(t *testing.T, raw string) {
		got, err := ring.Verify(raw)
		if err == nil && ring.Encode(got) != raw && len(raw) < 40 {
			t.Fatalf("took %q", raw)
		}
	})
}
