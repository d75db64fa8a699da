package gate

import (
	"cmp"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the queues of work that waits: one for all targets that
// endpoints serve together, fair between client accounts. Within an account,
// higher priorities go first, and equal ones in order of arrival.

// flow is the waiting work of one account in one queue. Virtual is the
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

// queue is the waiting work of a group of targets, by start-time fair
// queueing.
type queue struct {
	virtual float64
	flows   map[fescuelatch.AccountID]*flow
	order   []*flow // flows with work, by virtual time when sorted
	length  int
	places  []*place // that serve the group
}

// open reports whether any place may start work now.
func (q *queue) open(now time.Time) bool {
	for _, p := range q.places {
		p.refresh(now)
		if p.free(now) > 0 {
			return true
		}
	}
	return false
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
// would start: those of the account itself that go before it, and those of
// others that are due until its virtual time.
func (q *queue) turns(w fescuelatch.Work) float64 {
	weight, due, ahead := weightOf(w), q.virtual, 0
	if f := q.flows[w.Request.Account]; f != nil {
		due = max(due, f.virtual)
		ahead = before(f.works, w.Request.Priority)
	}
	due += float64(ahead) / weight
	turns := 1 + ahead
	for _, f := range q.order {
		if f.account != w.Request.Account && f.virtual <= due {
			turns += min(len(f.works), 1+int((due-f.virtual)*f.weight))
		}
	}
	return float64(turns)
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

// each passes all works to visit.
func (q *queue) each(visit func(fescuelatch.Work)) {
	for _, f := range q.order {
		for _, w := range f.works {
			visit(w)
		}
	}
}

// wants reports whether any work waits that could run at p.
func (q *queue) wants(p *place) bool {
	for _, f := range q.order {
		if slices.ContainsFunc(f.works, func(w fescuelatch.Work) bool { return fits(&p.owned, w) }) {
			return true
		}
	}
	return false
}
