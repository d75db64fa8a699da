package gate

import (
	"cmp"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the queues of waiting work: one per group of targets, fair
// between client accounts. Within an account, higher priorities go first, and equal
// ones in order of arrival.

// flow is the queued work of one account in one queue. virtualTime is when its next
// attempt is due.
type flow struct {
	account     fescuelatch.AccountID
	weight      float64
	virtualTime float64
	pending     []fescuelatch.Work
}

// push adds w behind all work of the same or a higher priority.
func (f *flow) push(w fescuelatch.Work) {
	i := len(f.pending)
	for i > 0 && f.pending[i-1].Request.Priority < w.Request.Priority {
		i--
	}
	f.pending = slices.Insert(f.pending, i, w)
}

// queue is the queued work of a group of targets, ordered by start-time fair
// queueing.
type queue struct {
	virtualTime float64
	flows       map[fescuelatch.AccountID]*flow
	order       []*flow // flows with work; take sorts them by virtual time
	length      int
	endpoints   []*endpointLoad // that serve the group
}

// open reports whether any endpoint may start work now.
func (q *queue) open(now time.Time) bool {
	for _, e := range q.endpoints {
		e.refresh(now)
		if e.free(now) > 0 {
			return true
		}
	}
	return false
}

// warmSlots returns the slots of the open endpoints as if all were warm.
func (q *queue) warmSlots(now time.Time) int {
	n := 0
	for _, e := range q.endpoints {
		if e.open(now) {
			n += max(e.floor(), min(int(e.limit.value), e.ceiling()))
		}
	}
	return n
}

// flow returns the flow of w's account. An account gets no credit for idle time.
func (q *queue) flow(w fescuelatch.Work) *flow {
	id := w.Request.Account
	f := q.flows[id]
	if f == nil {
		if q.flows == nil {
			q.flows = make(map[fescuelatch.AccountID]*flow)
		}
		f = &flow{account: id}
		q.flows[id] = f
	}
	f.weight = weightOf(w)
	if len(f.pending) == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualTime)
	}
	return f
}

func weightOf(w fescuelatch.Work) float64 {
	if w.Share <= 0 {
		return 1
	}
	return w.Share
}

func (q *queue) push(w fescuelatch.Work) {
	f := q.flow(w)
	if len(f.pending) == 0 {
		q.order = append(q.order, f)
	}
	f.push(w)
	q.length++
}

func (q *queue) charge(f *flow) {
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	f.virtualTime += 1 / f.weight
}

// take removes the first work in fair order for which accept returns true.
func (q *queue) take(accept func(fescuelatch.Work) bool) (fescuelatch.Work, bool) {
	slices.SortFunc(q.order, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.account, b.account))
	})
	for _, f := range q.order {
		for i, w := range f.pending {
			if accept(w) {
				q.remove(f, i)
				q.charge(f)
				return w, true
			}
		}
	}
	return fescuelatch.Work{}, false
}

func (q *queue) remove(f *flow, i int) {
	f.pending = slices.Delete(f.pending, i, i+1)
	q.length--
	if len(f.pending) == 0 {
		q.order = slices.DeleteFunc(q.order, func(o *flow) bool { return o == f })
	}
}

// filter removes the work for which drop returns true, in the order of flows.
func (q *queue) filter(drop func(fescuelatch.Work) bool) {
	for _, f := range q.order {
		before := len(f.pending)
		f.pending = slices.DeleteFunc(f.pending, drop)
		q.length -= before - len(f.pending)
	}
	q.order = slices.DeleteFunc(q.order, func(f *flow) bool { return len(f.pending) == 0 })
}

// position returns the position in the queue that w would get: after the work of
// its own account that precedes it, and the work of others that is due by its
// virtual time.
func (q *queue) position(w fescuelatch.Work) float64 {
	weight, due, ahead := weightOf(w), q.virtualTime, 0
	if f := q.flows[w.Request.Account]; f != nil {
		due = max(due, f.virtualTime)
		ahead = countBefore(f.pending, w.Request.Priority)
	}
	due += float64(ahead) / weight
	position := 1 + ahead
	for _, f := range q.order {
		if f.account != w.Request.Account && f.virtualTime <= due {
			position += min(len(f.pending), 1+int((due-f.virtualTime)*f.weight))
		}
	}
	return float64(position)
}

// countBefore counts the queued work that precedes new work of priority p.
func countBefore(pending []fescuelatch.Work, p fescuelatch.Priority) int {
	n := 0
	for _, w := range pending {
		if w.Request.Priority >= p {
			n++
		}
	}
	return n
}

// visit calls fn for all queued work.
func (q *queue) visit(fn func(fescuelatch.Work)) {
	for _, f := range q.order {
		for _, w := range f.pending {
			fn(w)
		}
	}
}

// visitInOrder calls fn for all queued work in the order in which it is due.
func (q *queue) visitInOrder(fn func(fescuelatch.Work)) {
	passed := make([]int, len(q.order))
	for range q.length {
		next, due := noIndex, 0.0
		for i, f := range q.order {
			if passed[i] == len(f.pending) {
				continue
			}
			if at := f.virtualTime + float64(passed[i])/f.weight; next == noIndex || at < due {
				next, due = i, at
			}
		}
		fn(q.order[next].pending[passed[next]])
		passed[next]++
	}
}

// noIndex marks a missing index.
const noIndex = -1

// hasWorkFor reports whether any queued work could run at e.
func (q *queue) hasWorkFor(e *endpointLoad) bool {
	for _, f := range q.order {
		if slices.ContainsFunc(f.pending, func(w fescuelatch.Work) bool { return fits(&e.owned, w) }) {
			return true
		}
	}
	return false
}
