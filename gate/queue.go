package gate

import (
	"cmp"
	"slices"

	"fescuelatch"
)

// This file defines the queues of work that waits: one for each target, fair
// between client accounts. Within an account, higher priorities go first,
// and equal ones in order of arrival.

// flow is the waiting work of one account for one target. Virtual is the
// virtual time at which its next attempt is due.
type flow struct {
	account fescuelatch.AccountID
	weight  float64
	virtual float64
	works   []fescuelatch.Work
}

// push adds w behind all work of the same or a higher priority.
func (f *flow) push(w fescuelatch.Work) {
	i := len(f.works)
	for i > 0 && f.works[i-1].Request.Priority < w.Request.Priority {
		i--
	}
	f.works = slices.Insert(f.works, i, w)
}

// queue is the waiting work for one target, by start-time fair queueing.
type queue struct {
	virtual float64
	flows   map[fescuelatch.AccountID]*flow
	order   []*flow // flows with work, by virtual time when sorted
	length  int
}

// flow returns the flow of w's account. An account that was idle gets no
// credit for it.
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
	if len(f.works) == 0 {
		f.virtual = max(f.virtual, q.virtual)
	}
	return f
}

func weightOf(w fescuelatch.Work) float64 {
	if w.Share <= 0 {
		return 1
	}
	return w.Share
}

// push adds w.
func (q *queue) push(w fescuelatch.Work) {
	f := q.flow(w)
	if len(f.works) == 0 {
		q.order = append(q.order, f)
	}
	f.push(w)
	q.length++
}

// charge accounts one start to f.
func (q *queue) charge(f *flow) {
	q.virtual = max(q.virtual, f.virtual)
	f.virtual += 1 / f.weight
}

// take removes the first work in fair order that can accept.
func (q *queue) take(can func(fescuelatch.Work) bool) (fescuelatch.Work, bool) {
	slices.SortFunc(q.order, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.virtual, b.virtual), cmp.Compare(a.account, b.account))
	})
	for _, f := range q.order {
		for i, w := range f.works {
			if can(w) {
				q.remove(f, i)
				q.charge(f)
				return w, true
			}
		}
	}
	return fescuelatch.Work{}, false
}

func (q *queue) remove(f *flow, i int) {
	f.works = slices.Delete(f.works, i, i+1)
	q.length--
	if len(f.works) == 0 {
		q.order = slices.DeleteFunc(q.order, func(o *flow) bool { return o == f })
	}
}

// filter removes the works that drop accepts and passes them to it in fair
// order of accounts.
func (q *queue) filter(drop func(fescuelatch.Work) bool) {
	for _, f := range q.order {
		before := len(f.works)
		f.works = slices.DeleteFunc(f.works, drop)
		q.length -= before - len(f.works)
	}
	q.order = slices.DeleteFunc(q.order, func(f *flow) bool { return len(f.works) == 0 })
}

// turns returns the number of starts until one more work of w's account
// would start.
func (q *queue) turns(w fescuelatch.Work) float64 {
	weight, total, ahead := weightOf(w), weightOf(w), 1.0
	for _, f := range q.order {
		if f.account == w.Request.Account {
			ahead += float64(before(f.works, w.Request.Priority))
		} else {
			total += f.weight
		}
	}
	return min(ahead*total/weight, float64(q.length+1))
}

// before counts the works that go before new work of priority p.
func before(works []fescuelatch.Work, p fescuelatch.Priority) int {
	n := 0
	for _, w := range works {
		if w.Request.Priority >= p {
			n++
		}
	}
	return n
}
