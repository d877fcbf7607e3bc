// Package slottable builds the tables that map the slots of a service to its upstreams. A
// table depends only on the adopted configuration, so all hosts build the same one.
package slottable

import (
	"encoding/binary"

	"github.com/dchest/siphash"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Slots is the number of slots of a service. It must be a power of two, so that
// SlotMask selects a slot and every odd step through the slots visits all of them.
const Slots = 1024

// SlotMask extracts the slot number from a flow hash.
const SlotMask = Slots - 1

// NoUpstream marks a slot without an upstream.
const NoUpstream uint16 = 1<<16 - 1

// Table maps each slot to an index into the list of upstreams from which the table was
// built.
type Table [Slots]uint16

// Build returns the table for the upstreams. The key seeds their permutations of the
// slots. Draining upstreams get no slots, and draining an upstream moves only the slots
// that it had.
func Build(key [16]byte, upstreams []service.Upstream) *Table {
	b := newBuilder(key, upstreams)
	b.assignFreeSlots(func(int) bool { return true })
	b.clearSlots(func(i int) bool { return upstreams[i].State == service.AdminDraining })
	b.assignFreeSlots(func(i int) bool { return upstreams[i].State != service.AdminDraining })
	return b.table
}

// builder fills a table in rounds, as in Maglev (NSDI 2016, section 3.4): each upstream
// has its own permutation of the slots and, in its turn, takes the next free slots in it.
type builder struct {
	table        *Table
	freeSlots    int
	permutations []permutation
	maxWeight    uint32
}

// permutation is the state of one upstream: the next slot of its permutation, the odd
// step from one slot to the next, and its weight.
type permutation struct {
	next, skip uint32
	weight     uint32
	// credit is the sum of the weights added in the upstream's turns, less the largest
	// weight of all upstreams for each slot taken.
	credit uint32
}

func newBuilder(key [16]byte, upstreams []service.Upstream) *builder {
	b := &builder{table: new(Table), freeSlots: Slots, permutations: make([]permutation, len(upstreams))}
	for i := range b.table {
		b.table[i] = NoUpstream
	}
	k0 := binary.LittleEndian.Uint64(key[:8])
	k1 := binary.LittleEndian.Uint64(key[8:])
	for i, u := range upstreams {
		h := siphash.Hash(k0, k1, []byte(u.Name))
		b.permutations[i] = permutation{next: uint32(h) & SlotMask, skip: uint32(h>>32) | 1, weight: max(u.Weight, 1)}
		b.maxWeight = max(b.maxWeight, b.permutations[i].weight)
	}
	return b
}

// clearSlots frees the slots of the selected upstreams.
func (b *builder) clearSlots(selected func(int) bool) {
	for slot, i := range b.table {
		if i != NoUpstream && selected(int(i)) {
			b.table[slot] = NoUpstream
			b.freeSlots++
		}
	}
}

// assignFreeSlots distributes the free slots among the selected upstreams in proportion
// to their weights.
func (b *builder) assignFreeSlots(selected func(int) bool) {
	var eligible []int
	for i := range b.permutations {
		if selected(i) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return
	}
	for b.freeSlots > 0 {
		for _, i := range eligible {
			b.takeTurn(uint16(i))
		}
	}
}

// takeTurn adds the upstream's weight to its credit and assigns it one free slot per maxWeight
// of credit.
func (b *builder) takeTurn(i uint16) {
	p := &b.permutations[i]
	p.credit += p.weight
	for p.credit >= b.maxWeight && b.freeSlots > 0 {
		p.credit -= b.maxWeight
		for b.table[p.next] != NoUpstream {
			p.next = (p.next + p.skip) & SlotMask
		}
		b.table[p.next] = i
		b.freeSlots--
	}
}
