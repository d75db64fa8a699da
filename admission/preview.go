package admission

import (
	"maps"
	"math/rand/v2"

	"fescuelatch"
)

// This file defines copies of a queue, on which decisions can be tried without an effect.

// Preview returns a copy of q with its own source of random choices.
func (q *Queue) Preview(r *rand.Rand) *Queue {
	p := New(q.limit, r)
	flows := make(map[*flow]*flow, len(q.flows))
	for v, f := range q.flows {
		c := *f
		c.longest = maps.Clone(f.longest)
		p.flows[v], flows[f] = &c, &c
	}
	uses := make(map[*use]*use)
	sharesOf := make(map[*shares]*shares, len(q.shares))
	for m, s := range q.shares {
		c := *s
		uses[&s.others] = &c.others
		c.accounts = make(map[fescuelatch.AccountID]*use, len(s.accounts))
		for a, u := range s.accounts {
			o := *u
			c.accounts[a], uses[u] = &o, &o
		}
		p.shares[m], sharesOf[s] = &c, &c
	}
	for _, w := range q.waiters {
		c := *w
		c.flow, c.shares = flows[w.flow], sharesOf[w.shares]
		if c.use = uses[w.use]; c.use == nil {
			o := *w.use // The account was forgotten while it waits.
			c.use = &o
		}
		p.waiters = append(p.waiters, &c)
	}
	return p
}
