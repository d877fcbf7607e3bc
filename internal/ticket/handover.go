package ticket

import (
	"maps"
	"slices"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Transfer holds the contents of a sealed ledger for the host that takes it over.
type Transfer struct {
	// Issuer and Incarnation identify the host that issued the tickets.
	Issuer      host.ID
	Incarnation host.Incarnation
	// Next is the sequence of the last ticket issued, despite its name.
	Next    uint64
	Window  Window
	Records []Record
	// Exclusive allows the successor to dispatch unused tickets. It is false if another
	// host may have received the ledger too.
	Exclusive bool
}

// Seal ends the use of the ledger on this host and returns its contents. It must not be
// called while requests are running.
func (l *Ledger) Seal() Transfer {
	l.sealed = true
	t := Transfer{
		Issuer:      l.options.Issuer,
		Incarnation: l.options.Incarnation,
		Next:        l.lastIssued,
		Window:      Window{Base: l.window.Base, Words: slices.Clone(l.window.Words)},
		Exclusive:   l.exclusive,
	}
	for _, sequence := range slices.Sorted(maps.Keys(l.records)) {
		t.Records = append(t.Records, *l.records[sequence])
	}
	return t
}

// NewLedgerFromTransfer returns a ledger with the contents of the transfer, for use by
// the successor. The issuer and incarnation come from the transfer, and the limits from
// the options.
func NewLedgerFromTransfer(options Options, t Transfer) *Ledger {
	options.Issuer = t.Issuer
	options.Incarnation = t.Incarnation
	l := NewLedger(options)
	l.lastIssued = t.Next
	l.window = t.Window
	l.exclusive = t.Exclusive
	l.window.Trim(l.lastIssued, options.MaxWords)
	if !l.window.wellFormed(l.lastIssued, options.MaxWords) {
		// Which tickets were used is unknown, so none may be dispatched.
		l.window, l.exclusive = Window{}, false
		l.window.Trim(l.lastIssued, options.MaxWords)
	}
	for _, record := range t.Records {
		l.records[record.Sequence] = &record
		l.recordOrder = append(l.recordOrder, record.Sequence)
		l.recordBytes += record.Result.size()
	}
	return l
}
