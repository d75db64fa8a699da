package usage

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the addition of totals, and which accounts they name.

// maxTold bounds the accounts that a collector names to another one.
const maxTold = 128

func newTotals() Totals {
	return Totals{
		Models: make(map[fescuelatch.ModelID]Counts), All: make(map[fescuelatch.ModelID]Work),
		Accounts: make(map[fescuelatch.ModelID]int), Work: make(ByAccount),
	}
}

// add adds what a daemon has reported.
func (t *Totals) add(now time.Time, s *source) {
	t.addTotals(Totals{Daemons: s.daemons, Models: s.models, All: s.all, Work: s.work}, now.Sub(s.at))
}

// addTotals adds totals of an age.
func (t *Totals) addTotals(o Totals, age time.Duration) {
	left := fadedBy(age)
	t.Daemons = min(t.Daemons+o.Daemons, maxDaemons)
	for m, c := range o.Models {
		t.Models[m] = t.Models[m].Plus(c)
	}
	for m, w := range o.All {
		t.All[m] = t.All[m].Plus(w.times(left))
	}
	for m, accounts := range o.Work {
		if t.Work[m] == nil {
			t.Work[m] = make(map[fescuelatch.AccountID]Work, len(accounts))
		}
		for a, w := range accounts {
			t.Work[m][a] = t.Work[m][a].Plus(w.times(left))
		}
	}
	for m, n := range o.Accounts {
		t.Accounts[m] = max(t.Accounts[m], n)
	}
}

// subtract subtracts totals that have been added before.
func (t *Totals) subtract(o Totals) {
	t.Daemons = max(t.Daemons-o.Daemons, 0)
	for m, c := range o.Models {
		if t.Models[m] = t.Models[m].minus(c); t.Models[m] == (Counts{}) {
			delete(t.Models, m)
		}
	}
	for m, w := range o.All {
		if t.All[m] = t.All[m].minus(w); t.All[m].small() {
			delete(t.All, m)
			delete(t.Work, m)
		}
	}
	for m, accounts := range o.Work {
		for a, w := range accounts {
			if of := t.Work[m]; of != nil {
				of[a] = of[a].minus(w)
			}
		}
	}
}

// fade has the work fade for a time.
func (t *Totals) fade(d time.Duration) {
	left := fadedBy(d)
	for m, w := range t.All {
		t.All[m] = w.times(left)
	}
	for _, accounts := range t.Work {
		for a, w := range accounts {
			accounts[a] = w.times(left)
		}
	}
}

// copied returns a copy of the totals.
func (t *Totals) copied() Totals {
	o := Totals{
		Daemons: t.Daemons, Models: maps.Clone(t.Models), All: maps.Clone(t.All), Accounts: maps.Clone(t.Accounts),
		Work: make(ByAccount, len(t.Work)),
	}
	for m, accounts := range t.Work {
		o.Work[m] = maps.Clone(accounts)
	}
	return o
}

// named is an account of a model.
type named struct {
	model   fescuelatch.ModelID
	account fescuelatch.AccountID
	weight  float64
}

// list keeps the accounts whose work has grown most against that of all, with the work of one
// more daemon, own. outside is the part of t that other collectors know of: accounts that it does
// not name have grown less than all.
func (t *Totals) list(own, outside Totals, most int) {
	var grown []named
	for m, all := range t.All {
		all = all.Plus(own.All[m])
		accounts := t.Work[m]
		if accounts == nil {
			accounts = make(map[fescuelatch.AccountID]Work)
			t.Work[m] = accounts
		}
		for a := range own.Work[m] {
			accounts[a] = accounts[a].Plus(Work{})
		}
		t.Accounts[m] = max(t.Accounts[m], len(accounts))
		_, known := outside.All[m]
		for a, w := range accounts {
			if _, named := outside.Work[m][a]; known && !named {
				continue
			}
			w = w.Plus(own.Work[m][a])
			if excess := w.Recent*all.Usual - w.Usual*all.Recent; excess > 0 {
				grown = append(grown, named{m, a, excess / (all.Recent * all.Usual)})
			}
		}
	}
	t.keep(grown, most)
}

// keepLargest keeps the accounts with the most recent work of their model.
func (t *Totals) keepLargest(most int) {
	var all []named
	for m, accounts := range t.Work {
		for a, w := range accounts {
			all = append(all, named{m, a, w.Recent / max(t.All[m].Recent, minWork)})
		}
	}
	if len(all) > most {
		t.keep(all, most)
	}
}

// keep keeps the work of those accounts that have the most weight.
func (t *Totals) keep(accounts []named, most int) {
	slices.SortFunc(accounts, func(a, b named) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.model, b.model), cmp.Compare(a.account, b.account))
	})
	work := make(ByAccount)
	for _, n := range accounts[:min(len(accounts), most)] {
		if work[n.model] == nil {
			work[n.model] = make(map[fescuelatch.AccountID]Work)
		}
		work[n.model][n.account] = t.Work[n.model][n.account]
	}
	t.Work = work
}

// Round rounds the work: numbers with few significant bits are short in a message.
func (t *Totals) Round() { roundWork(t.All, t.Work) }

// Round rounds the work: numbers with few significant bits are short in a message.
func (r *Report) Round() { roundWork(r.All, r.Work) }

func roundWork(all map[fescuelatch.ModelID]Work, work ByAccount) {
	for m, w := range all {
		all[m] = w.rounded()
	}
	for _, accounts := range work {
		for a, w := range accounts {
			accounts[a] = w.rounded()
		}
	}
}

// significantBits is the number of significant bits of rounded work.
const significantBits = 8

func (w Work) rounded() Work { return Work{round(w.Recent), round(w.Usual)} }

func round(x float64) float64 {
	fraction, exponent := math.Frexp(x)
	return min(math.Ldexp(math.Round(math.Ldexp(fraction, significantBits)), exponent-significantBits), maxAmount)
}
