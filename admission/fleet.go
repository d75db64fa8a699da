package admission

import (
	"cmp"
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/usage"
)

// This file defines what daemons tell each other of the work of accounts: each sees a small
// part of an account's requests, and would find it over its share late.

// fleet is what is known of the work at other daemons.
type fleet struct {
	totals usage.Totals
	at     time.Time
	// found is when accounts over their share were returned as findings.
	found map[fescuelatch.ModelID]map[fescuelatch.AccountID]time.Time
}

func newFleet() *fleet {
	return &fleet{found: make(map[fescuelatch.ModelID]map[fescuelatch.AccountID]time.Time)}
}

// othersWork is the work for a model at other daemons.
type othersWork struct {
	all      usage.Work
	accounts int
	named    map[fescuelatch.AccountID]usage.Work
	age      time.Duration
}

// knows reports whether the work for a model at other daemons is known.
func (f *fleet) knows(now time.Time, m fescuelatch.ModelID) bool {
	_, ok := f.totals.All[m]
	return ok && f.totals.Daemons > 0 && now.Sub(f.at) < usage.Lifetime
}

// of returns the work for a model at other daemons, if it is known.
func (f *fleet) of(now time.Time, m fescuelatch.ModelID) (othersWork, bool) {
	if !f.knows(now, m) {
		return othersWork{}, false
	}
	age := now.Sub(f.at)
	return othersWork{f.totals.All[m].After(age), f.totals.Accounts[m], f.totals.Work[m], age}, true
}

// account returns the work of an account. One that is not named has grown less than all.
func (o othersWork) account(a fescuelatch.AccountID) (w usage.Work, named bool) {
	w, named = o.named[a]
	return w.After(o.age), named
}

// Finding is an account that is over its share by the work at all daemons.
type Finding struct {
	Model   fescuelatch.ModelID
	Account fescuelatch.AccountID
	// Growth is how much its work has grown against that of all accounts, and Daemons the
	// number of other daemons whose work counts.
	Growth  float64
	Daemons int
}

// SetOthers replaces what is known of the work at other daemons, as of a time. It returns the
// accounts that are found over their share by it, each one once in a while.
func (q *Queue) SetOthers(now, at time.Time, t usage.Totals) []Finding {
	f := q.fleet
	f.totals, f.at = t, at
	var findings []Finding
	for m, accounts := range t.Work {
		s := q.shares[m]
		if s == nil {
			continue
		}
		found := f.recent(now, m)
		for a := range accounts {
			over := s.over(now, s.look(a))
			if _, ok := found[a]; ok || a == "" || over <= overShare {
				continue
			}
			found[a] = now
			findings = append(findings, Finding{m, a, rounded(over), t.Daemons})
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Account, b.Account))
	})
	return findings
}

// recent returns the accounts of a model that were returned as findings lately.
func (f *fleet) recent(now time.Time, m fescuelatch.ModelID) map[fescuelatch.AccountID]time.Time {
	found := f.found[m]
	if found == nil {
		found = make(map[fescuelatch.AccountID]time.Time)
		f.found[m] = found
	}
	for a, at := range found {
		if now.Sub(at) >= findingTime {
			delete(found, a)
		}
	}
	return found
}

// look returns the use of an account without a trace in s.
func (s *shares) look(a fescuelatch.AccountID) *use {
	if u := s.accounts[a]; u != nil {
		return u
	}
	return &use{account: a}
}

// Work returns the work that this daemon has started lately: that of all accounts, and that of
// a number of accounts. Those whose work is new come first, then those told of the longest time
// ago.
func (q *Queue) Work(now time.Time, most int) (map[fescuelatch.ModelID]usage.Work, usage.ByAccount) {
	all := make(map[fescuelatch.ModelID]usage.Work)
	var due []*tellable
	for m, s := range q.shares {
		if now.Sub(s.all.recent.at) > activeTime {
			continue
		}
		all[m] = work(now, &s.all, s.toldAge(now))
		for _, u := range s.accounts {
			if u.account != "" && !u.usual.at.IsZero() {
				due = append(due, &tellable{s, u})
			}
		}
	}
	slices.SortFunc(due, compareTellable)
	told := make(usage.ByAccount)
	for _, t := range due[:min(len(due), most)] {
		if told[t.model] == nil {
			told[t.model] = make(map[fescuelatch.AccountID]usage.Work)
		}
		told[t.model][t.use.account] = work(now, t.use, t.toldAge(now))
		t.use.told = now
	}
	return all, told
}

// tellable is an account of a model that other daemons may be told of.
type tellable struct {
	*shares
	use *use
}

func compareTellable(a, b *tellable) int {
	if x, y := a.use.isNew(), b.use.isNew(); x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Or(a.use.told.Compare(b.use.told), cmp.Compare(a.model, b.model), cmp.Compare(a.use.account, b.use.account))
}

// isNew reports whether work has been started since other daemons were told.
func (u *use) isNew() bool { return u.recent.at.After(u.told) }
