package ticket

import (
	"maps"
	"slices"

	"github.com/oatlatch/oatlatch/internal/host"
)

// Transfer is a sealed ledger on its way to a successor.
type Transfer struct {
	Issuer      host.ID
	Incarnation host.Incarnation
	Next        uint64
	Window      Window
	Records     []Record
	// Exclusive gives the successor the right to dispatch unused tickets. It is
	// false once another successor may have been given the ledger.
	Exclusive bool
}

// Seal ends the ledger: nothing runs under it here any more. It must not be
// called while requests are in progress.
func (l *Ledger) Seal() Transfer {
	l.sealed = true
	t := Transfer{
		Issuer:      l.options.Issuer,
		Incarnation: l.options.Incarnation,
		Next:        l.next,
		Window:      Window{Base: l.window.Base, Words: slices.Clone(l.window.Words)},
		Exclusive:   l.exclusive,
	}
	for _, sequence := range slices.Sorted(maps.Keys(l.records)) {
		t.Records = append(t.Records, *l.records[sequence])
	}
	return t
}

// Adopt returns the ledger that a successor keeps for the transfer. The bounds
// are the successor's; the issuer and incarnation are the transfer's.
func Adopt(bounds Options, t Transfer) *Ledger {
	bounds.Issuer = t.Issuer
	bounds.Incarnation = t.Incarnation
	l := NewLedger(bounds)
	l.next = t.Next
	l.window = t.Window
	l.exclusive = t.Exclusive
	for _, record := range t.Records {
		l.records[record.Sequence] = &record
		l.order = append(l.order, record.Sequence)
		l.bytes += record.Result.size()
	}
	return l
}
