// Package usage sums what all daemons together use: the requests and repeats of each model,
// and the work of each client account. It uses no clock and no network.
//
// Each daemon reports what it did lately to a collector, which replies with the sums of the
// other daemons. Collectors report the sums of their daemons to each other in the same way.
package usage

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the messages.

const (
	// Lifetime is how long a report, or the totals of a reply, count.
	Lifetime = 2 * time.Second
	// RecentTime is the mean age of recent work.
	RecentTime = 5 * time.Second
	// UsualTime is the mean age of usual work.
	UsualTime = 2 * time.Minute

	// maxModels and maxAccounts bound the models of a message and the accounts of a model.
	maxModels   = 256
	maxAccounts = 1024
	// maxDaemons and maxAmount bound what a message counts.
	maxDaemons = 1_000_000
	maxAmount  = 1e12
)

// Counts are those of a model's requests within the window of the retry budget.
type Counts struct {
	Requests float64 `json:"requests"`
	Repeats  float64 `json:"repeats"`
	Failures float64 `json:"failures"`
}

// Plus adds counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{plus(c.Requests, o.Requests), plus(c.Repeats, o.Repeats), plus(c.Failures, o.Failures)}
}

// minus subtracts counts that have been added before.
func (c Counts) minus(o Counts) Counts {
	return Counts{max(c.Requests-o.Requests, 0), max(c.Repeats-o.Repeats, 0), max(c.Failures-o.Failures, 0)}
}

func (c Counts) valid() bool { return valid(c.Requests) && valid(c.Repeats) && valid(c.Failures) }

// Work is the work of an account that has been started: that of about RecentTime, and what
// is usual in that time.
type Work struct {
	Recent float64 `json:"recent"`
	Usual  float64 `json:"usual"`
}

// Plus adds work.
func (w Work) Plus(o Work) Work { return Work{plus(w.Recent, o.Recent), plus(w.Usual, o.Usual)} }

// minus subtracts work that has been added before.
func (w Work) minus(o Work) Work { return Work{max(w.Recent-o.Recent, 0), max(w.Usual-o.Usual, 0)} }

// small reports whether the work no longer matters.
func (w Work) small() bool { return max(w.Recent, w.Usual) < minWork }

// times multiplies the parts of work.
func (w Work) times(o Work) Work { return Work{w.Recent * o.Recent, w.Usual * o.Usual} }

// After returns what is left of the work a time later if none is started meanwhile.
func (w Work) After(d time.Duration) Work { return w.times(fadedBy(d)) }

// fadedBy returns the parts of work that are left after a time.
func fadedBy(d time.Duration) Work {
	d = max(d, 0)
	return Work{math.Exp(-float64(d) / float64(RecentTime)), math.Exp(-float64(d) / float64(UsualTime))}
}

func (w Work) valid() bool { return valid(w.Recent) && valid(w.Usual) }

// ByAccount is the work of accounts by model.
type ByAccount = map[fescuelatch.ModelID]map[fescuelatch.AccountID]Work

// Report is what one daemon, or the daemons of one collector, did lately.
type Report struct {
	From fescuelatch.VMID `json:"from"`
	// Daemons is the number of daemons whose reports are summed; 0 in the report of a
	// daemon on itself.
	Daemons int `json:"daemons,omitempty"`
	// Age is the time since the report was made.
	Age    time.Duration                  `json:"age-ns,omitempty"`
	Models map[fescuelatch.ModelID]Counts `json:"models,omitempty"`
	// All is the work of all accounts, and Work that of some of them. What a daemon has
	// told of other accounts before goes on to count.
	All  map[fescuelatch.ModelID]Work `json:"all,omitempty"`
	Work ByAccount                    `json:"work,omitempty"`
}

// Totals are the sums of the other daemons' reports.
type Totals struct {
	// Daemons is the number of daemons that they come from.
	Daemons int                            `json:"daemons"`
	Models  map[fescuelatch.ModelID]Counts `json:"models,omitempty"`
	// All is the work of all accounts, and Accounts their number.
	All      map[fescuelatch.ModelID]Work `json:"all,omitempty"`
	Accounts map[fescuelatch.ModelID]int  `json:"accounts,omitempty"`
	// Work is that of the accounts that have grown most against all, with the work of the
	// daemon asking. It has no entry for accounts that have grown less than all.
	Work ByAccount `json:"work,omitempty"`
}

// plus adds amounts. A sum beyond the range would have the totals of all refused.
func plus(a, b float64) float64 { return min(a+b, maxAmount) }

func valid(x float64) bool { return x >= 0 && x <= maxAmount }

// Check reports whether the values of a report are within their ranges.
func (r *Report) Check() error {
	const op = "check report"
	switch {
	case r.From == "":
		return &Error{op, KindInvalid, errors.New("the daemon is missing")}
	case r.Daemons < 0 || r.Daemons > maxDaemons:
		return &Error{op, KindInvalid, errors.Errorf("%d daemons are out of range", r.Daemons)}
	case r.Age < 0:
		return &Error{op, KindInvalid, errors.Errorf("the age %s is out of range", r.Age)}
	}
	return checkAmounts(op, r.Models, r.All, r.Work)
}

// Check reports whether the values of totals are within their ranges.
func (t *Totals) Check() error {
	const op = "check totals"
	if t.Daemons < 0 || t.Daemons > maxDaemons {
		return &Error{op, KindInvalid, errors.Errorf("%d daemons are out of range", t.Daemons)}
	}
	for m, n := range t.Accounts {
		if n < 0 || n > maxDaemons*maxAccounts {
			return &Error{op, KindInvalid, errors.Errorf("%d accounts of %s are out of range", n, m)}
		}
	}
	return checkAmounts(op, t.Models, t.All, t.Work)
}

func checkAmounts(op string, models map[fescuelatch.ModelID]Counts, all map[fescuelatch.ModelID]Work, work ByAccount) error {
	if n := max(len(models), len(all), len(work)); n > maxModels {
		return &Error{op, KindInvalid, errors.Errorf("%d models in a message", n)}
	}
	for m, c := range models {
		if !c.valid() {
			return &Error{op, KindInvalid, errors.Errorf("the counts %v of %s are out of range", c, m)}
		}
	}
	for m, w := range all {
		if !w.valid() {
			return &Error{op, KindInvalid, errors.Errorf("the work %v of %s is out of range", w, m)}
		}
	}
	for m, accounts := range work {
		if len(accounts) > maxAccounts {
			return &Error{op, KindInvalid, errors.Errorf("%d accounts of %s in a message", len(accounts), m)}
		}
		for a, w := range accounts {
			if !w.valid() {
				return &Error{op, KindInvalid, errors.Errorf("the work %v of account %s of %s is out of range", w, a, m)}
			}
		}
	}
	return nil
}
