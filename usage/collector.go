package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the collector of reports.

// maxSources bounds the daemons that report to a collector.
const maxSources = 4096

// Collector adds the latest reports of daemons. It is not safe for concurrent use.
type Collector struct {
	most    int
	sources map[fescuelatch.VMID]*source
	// sum is that of all sources at a time, sumAt. It is changed with each report, and
	// counted anew now and then.
	sum            Totals
	sumAt, counted time.Time
	// outside is the totals of the daemons of other collectors, as of outsideAt.
	outside   Totals
	outsideAt time.Time
}

// NewCollector returns a collector whose replies name at most a number of accounts.
func NewCollector(most int) *Collector {
	return &Collector{most: most, sources: make(map[fescuelatch.VMID]*source), sum: newTotals()}
}

// countTime is the time after which the sum is counted anew, so that errors of rounding do not
// add up.
const countTime = time.Second

// source is what a daemon has reported. Its work is that of a time, at.
type source struct {
	heard, at time.Time
	daemons   int
	models    map[fescuelatch.ModelID]Counts
	all       map[fescuelatch.ModelID]Work
	work      ByAccount
}

// Len returns the number of daemons whose reports count.
func (c *Collector) Len(now time.Time) int {
	c.update(now)
	return len(c.sources)
}

// SetOutside replaces the totals of the daemons of other collectors, as of a time.
func (c *Collector) SetOutside(at time.Time, t Totals) { c.outside, c.outsideAt = t, at }

// Add takes the report of a daemon, and returns the totals of the others.
func (c *Collector) Add(now time.Time, r Report) Totals {
	c.update(now)
	c.take(now, r)
	t, own := c.sum.copied(), newTotals()
	if s := c.sources[r.From]; s != nil {
		own.add(now, s)
		t.subtract(own)
	}
	var outside Totals
	if now.Sub(c.outsideAt) < Lifetime {
		outside = c.outside
	}
	t.addTotals(outside, now.Sub(c.outsideAt))
	t.list(own, outside, c.most)
	return t
}

// Sum returns the sum of the reports as one of this daemon, from.
func (c *Collector) Sum(now time.Time, from fescuelatch.VMID) Report {
	c.update(now)
	t := c.sum.copied()
	t.keepLargest(maxTold)
	return Report{From: from, Daemons: t.Daemons, Models: t.Models, All: t.All, Work: t.Work}
}

// update brings the sum to a time, and counts it anew if reports no longer count.
func (c *Collector) update(now time.Time) {
	if !c.expire(now) && now.Sub(c.counted) < countTime && !now.Before(c.sumAt) {
		c.sum.fade(now.Sub(c.sumAt))
		c.sumAt = now
		return
	}
	c.sum = newTotals()
	for _, s := range c.sources {
		c.sum.add(now, s)
	}
	c.sumAt, c.counted = now, now
}

// expire drops the reports that no longer count, and reports whether there were any.
func (c *Collector) expire(now time.Time) bool {
	before := len(c.sources)
	for vm, s := range c.sources {
		if now.Sub(s.heard) >= Lifetime {
			delete(c.sources, vm)
		}
	}
	return len(c.sources) < before
}

// take replaces what is known of the daemon of a report.
func (c *Collector) take(now time.Time, r Report) {
	s, heard := c.sources[r.From], now.Add(-r.Age)
	switch {
	case s == nil && (r.Age >= Lifetime || len(c.sources) >= maxSources):
		return
	case s == nil:
		s = &source{at: now, work: make(ByAccount)}
		c.sources[r.From] = s
	case heard.Before(s.heard):
		return // A later report has arrived before.
	default:
		old := newTotals()
		old.add(now, s)
		c.sum.subtract(old)
	}
	s.replace(now, heard, r)
	c.sum.add(now, s)
}

// replace replaces what is known by a report.
func (s *source) replace(now, heard time.Time, r Report) {
	s.age(now)
	s.heard, s.daemons, s.models = heard, max(r.Daemons, 1), r.Models
	s.all = make(map[fescuelatch.ModelID]Work, len(r.All))
	for m, w := range r.All {
		s.all[m] = w.After(r.Age)
	}
	for m, accounts := range r.Work {
		if s.work[m] == nil {
			s.work[m] = make(map[fescuelatch.AccountID]Work, len(accounts))
		}
		for a, w := range accounts {
			s.work[m][a] = w.After(r.Age)
		}
	}
	s.forget()
}

// minWork is the work below which an account is forgotten.
const minWork = 1e-3

// age brings the work of accounts to a time.
func (s *source) age(now time.Time) {
	left := fadedBy(now.Sub(s.at))
	s.at = now
	for _, accounts := range s.work {
		for a, w := range accounts {
			accounts[a] = w.times(left)
		}
	}
}

// forget drops the models that the daemon no longer reports, and the accounts that no longer
// matter.
func (s *source) forget() {
	for m, accounts := range s.work {
		if _, ok := s.all[m]; !ok {
			delete(s.work, m)
			continue
		}
		for a, w := range accounts {
			if w.small() {
				delete(accounts, a)
			}
		}
		if len(accounts) > maxAccounts {
			s.work[m] = largest(accounts, keptAccounts)
		}
	}
}

// keptAccounts is the number of accounts that are kept when there are too many, so that the next
// ones do not have them sorted again at once.
const keptAccounts = maxAccounts * 3 / 4

// largest returns a number of accounts with the most work.
func largest(accounts map[fescuelatch.AccountID]Work, n int) map[fescuelatch.AccountID]Work {
	order := slices.SortedFunc(maps.Keys(accounts), func(a, b fescuelatch.AccountID) int {
		v, w := accounts[a], accounts[b]
		return cmp.Or(cmp.Compare(max(w.Recent, w.Usual), max(v.Recent, v.Usual)), cmp.Compare(a, b))
	})
	kept := make(map[fescuelatch.AccountID]Work, n)
	for _, a := range order[:n] {
		kept[a] = accounts[a]
	}
	return kept
}
