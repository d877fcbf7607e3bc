// Package lookup builds the tables that map the slots of a service to its
// upstreams from nothing but the adopted configuration.
package lookup

import (
	"encoding/binary"

	"github.com/dchest/siphash"

	"github.com/oatlatch/oatlatch/internal/service"
)

// Slots is the number of slots of a service; a power of two.
const Slots = 1024

// SlotMask selects the slot number in a flow hash.
const SlotMask = Slots - 1

// None marks a slot without an upstream.
const None uint16 = 1<<16 - 1

// Table maps slots to indexes into the upstream list it was built from.
type Table [Slots]uint16

// Build returns the table of the upstreams under the key. Draining upstreams
// take no slots, and the slots that draining frees are the only ones it moves.
func Build(key [16]byte, upstreams []service.Upstream) *Table {
	b := newBuilder(key, upstreams)
	b.fill(func(int) bool { return true })
	b.release(func(i int) bool { return upstreams[i].State == service.AdminDraining })
	b.fill(func(i int) bool { return upstreams[i].State != service.AdminDraining })
	return b.table
}

// builder fills a table by turns: each upstream walks its own permutation of
// the slots and takes the next free one (Maglev, NSDI 2016, section 3.4).
type builder struct {
	table     *Table
	free      int
	walks     []walk
	maxWeight uint32
}

// walk is the state of one upstream's permutation.
type walk struct {
	next, skip uint32
	weight     uint32
	// credit is the upstream's unused share of turns, in units of the largest weight.
	credit uint32
}

func newBuilder(key [16]byte, upstreams []service.Upstream) *builder {
	b := &builder{table: new(Table), free: Slots, walks: make([]walk, len(upstreams))}
	for i := range b.table {
		b.table[i] = None
	}
	k0 := binary.LittleEndian.Uint64(key[:8])
	k1 := binary.LittleEndian.Uint64(key[8:])
	for i, u := range upstreams {
		h := siphash.Hash(k0, k1, []byte(u.Name))
		b.walks[i] = walk{next: uint32(h) & SlotMask, skip: uint32(h>>32) | 1, weight: max(u.Weight, 1)}
		b.maxWeight = max(b.maxWeight, b.walks[i].weight)
	}
	return b
}

// release frees the slots of the selected upstreams.
func (b *builder) release(selected func(int) bool) {
	for slot, i := range b.table {
		if i != None && selected(int(i)) {
			b.table[slot] = None
			b.free++
		}
	}
}

// fill gives the free slots to the selected upstreams in proportion to their weights.
func (b *builder) fill(selected func(int) bool) {
	var eligible []int
	for i := range b.walks {
		if selected(i) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return
	}
	for b.free > 0 {
		for _, i := range eligible {
			b.turn(uint16(i))
		}
	}
}

// turn adds one round of credit to the upstream and lets it take slots for whole credits.
func (b *builder) turn(i uint16) {
	w := &b.walks[i]
	w.credit += w.weight
	for w.credit >= b.maxWeight && b.free > 0 {
		w.credit -= b.maxWeight
		for b.table[w.next] != None {
			w.next = (w.next + w.skip) & SlotMask
		}
		b.table[w.next] = i
		b.free--
	}
}
