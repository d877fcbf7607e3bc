// Package virtual provides the event queue of a discrete-event simulation, which
// runs deterministic code in virtual time.
package virtual

import (
	"container/heap"
	"time"
)

// EventQueue holds functions scheduled at virtual times. Functions scheduled at the
// same time run in the order in which they were scheduled, so that every run of a
// simulation is the same. The zero value is an empty queue.
type EventQueue struct {
	events  eventHeap
	lastSeq uint64
}

// Schedule adds a function to be run at the given time.
func (q *EventQueue) Schedule(at time.Time, run func()) {
	q.lastSeq++
	heap.Push(&q.events, event{at: at, seq: q.lastSeq, run: run})
}

// Next removes the earliest function and returns it with its time. ok is false when
// none is scheduled at or before until.
func (q *EventQueue) Next(until time.Time) (at time.Time, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at.After(until) {
		return time.Time{}, nil, false
	}
	next := heap.Pop(&q.events).(event)
	return next.at, next.run, true
}

// event is a scheduled function.
type event struct {
	at time.Time
	// seq is the order of events with the same time.
	seq uint64
	run func()
}

// eventHeap implements heap.Interface, ordered by time and sequence number.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}
