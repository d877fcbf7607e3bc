// Package virtual is a stand-in for the passing of time in tests of
// deterministic cores.
package virtual

import (
	"container/heap"
	"time"
)

// Agenda holds functions to run at virtual times. Those of the same time run in
// the order in which they were added, so that a run repeats exactly.
type Agenda struct {
	items items
	added uint64
}

// Add puts a function on the agenda.
func (a *Agenda) Add(at time.Time, run func()) {
	a.added++
	heap.Push(&a.items, item{at: at, order: a.added, run: run})
}

// Next takes the first function off the agenda and returns it with its time.
// ok is false when there is none that is due until the given time.
func (a *Agenda) Next(until time.Time) (at time.Time, run func(), ok bool) {
	if len(a.items) == 0 || a.items[0].at.After(until) {
		return time.Time{}, nil, false
	}
	next := heap.Pop(&a.items).(item)
	return next.at, next.run, true
}

// item is a function and its place on the agenda.
type item struct {
	at    time.Time
	order uint64
	run   func()
}

// items is a heap by time and order.
type items []item

func (q items) Len() int { return len(q) }

func (q items) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q items) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *items) Push(x any) { *q = append(*q, x.(item)) }

func (q *items) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = item{}
	*q = (*q)[:len(*q)-1]
	return last
}
