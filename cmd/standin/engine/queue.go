package engine

import "container/heap"

// This file defines the wait queue, ordered by descending priority, then by
// arrival.

// queue implements heap.Interface. The zero value is empty.
type queue []*run

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if a, b := q[i].request.Priority, q[j].request.Priority; a != b {
		return a > b
	}
	return q[i].arrival < q[j].arrival
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	r := x.(*run)
	r.index = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	r.index = -1
	return r
}

// remove removes r from the queue and reports whether it was waiting.
func (q *queue) remove(r *run) bool {
	if r.index < 0 {
		return false
	}
	heap.Remove(q, r.index)
	return true
}
