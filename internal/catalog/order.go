package catalog

import (
	"cmp"
	"slices"
)

// changeOrder lists names of records in the order of the positions of their last changes,
// so that the changes after a position are found without a scan of all records. It holds an
// item for each change that was noted; items that a later change has replaced are skipped by
// the reader and dropped from time to time.
type changeOrder struct {
	items []orderedName
	// sorted is the number of items at the beginning that are in order.
	sorted int
}

// orderedName is a change of the record with the name.
type orderedName struct {
	position Position
	name     string
}

func (a orderedName) compare(b orderedName) int {
	return cmp.Or(a.position.Compare(b.position), cmp.Compare(a.name, b.name))
}

// minOrderItems is the number of items below which replaced ones are not dropped.
const minOrderItems = 64

// note adds a change of the record with the name. Current returns the position of the last
// change of a record, and false if there is no such record.
func (o *changeOrder) note(name string, position Position, records int, current func(string) (Position, bool)) {
	o.items = append(o.items, orderedName{position: position, name: name})
	if len(o.items) < max(minOrderItems, 2*records) {
		return
	}
	o.sort()
	o.items = slices.DeleteFunc(slices.Compact(o.items), func(item orderedName) bool {
		position, ok := current(item.name)
		return !ok || position != item.position
	})
	o.sorted = len(o.items)
}

// sort puts the items in order. Changes mostly arrive in order, so it sorts only from the
// earliest of the new ones on.
func (o *changeOrder) sort() {
	added := o.items[o.sorted:]
	if len(added) == 0 {
		return
	}
	first, _ := slices.BinarySearchFunc(o.items[:o.sorted], slices.MinFunc(added, orderedName.compare), orderedName.compare)
	slices.SortFunc(o.items[first:], orderedName.compare)
	o.sorted = len(o.items)
}

// namesFrom returns the names of the records with changes at or after the position, sorted
// and each once.
func (o *changeOrder) namesFrom(position Position) []string {
	o.sort()
	first, _ := slices.BinarySearchFunc(o.items, orderedName{position: position}, orderedName.compare)
	names := make([]string, 0, len(o.items)-first)
	for _, item := range o.items[first:] {
		names = append(names, item.name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// noteUpstream adds the last change of an upstream to the order of changes.
func (c *Catalog) noteUpstream(name string) {
	if e := c.upstreams[name]; e != nil {
		c.upstreamOrder.note(name, e.position, len(c.upstreams), c.upstreamPosition)
	}
}

// keepingOrder calls merge, which merges a change of the upstream with the name, and notes the
// change unless it was known.
func (c *Catalog) keepingOrder(name string, merge func()) {
	before, known := c.upstreamPosition(name)
	merge()
	if after, _ := c.upstreamPosition(name); !known || after != before {
		c.noteUpstream(name)
	}
}

// noteHost adds the last change of an entry host to the order of changes.
func (c *Catalog) noteHost(name string) {
	c.hostOrder.note(name, c.hosts[name].position, len(c.hosts), c.hostPosition)
}

func (c *Catalog) upstreamPosition(name string) (Position, bool) {
	e := c.upstreams[name]
	if e == nil {
		return Position{}, false
	}
	return e.position, true
}

func (c *Catalog) hostPosition(name string) (Position, bool) {
	h, ok := c.hosts[name]
	return h.position, ok
}
