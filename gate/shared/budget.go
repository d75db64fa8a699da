package shared

import (
	"time"

	"fescuelatch"
)

// This file defines the retry budget that all daemons share.

var _ fescuelatch.RetryBudget = (*Budget)(nil)

// BudgetSettings bound the requests that all daemons together send again to
// the endpoints of one service.
type BudgetSettings struct {
	// Ratio is the bound relative to the requests of callers within Window,
	// and Extra is added to it.
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Parts of the bound that are used. Daemons count their windows apart, and one
// that dies takes its count with it. Escalations leave a reserve to requests
// that would otherwise get no answer: more of it the more requests have failed
// of late. A fixed one is too much for a daemon with few requests, whose share of
// hard ones varies, while none fail.
const (
	failureUse   = 0.88
	leastReserve = 0.03
	mostReserve  = 0.15
	// reserveFactor is the reserve for each failure in the window.
	reserveFactor = 0.4
)

// budgetSteps is the number of steps in which a window slides.
const budgetSteps = 10

// Budget bounds retries by the requests that this daemon had in a sliding
// window, and by its part of what all daemons may add. It is not safe for
// concurrent use.
type Budget struct {
	settings BudgetSettings
	members  func() int
	services map[fescuelatch.ModelID]*window
}

// NewBudget returns a budget. members tells the number of live daemons.
func NewBudget(s BudgetSettings, members func() int) *Budget {
	return &Budget{settings: s, members: members, services: make(map[fescuelatch.ModelID]*window)}
}

// Set brings other settings into force. What was counted stays.
func (b *Budget) Set(s BudgetSettings) { b.settings = s }

// Earn implements fescuelatch.RetryBudget.
func (b *Budget) Earn(now time.Time, r *fescuelatch.Request) {
	if w := b.window(now, r); w != nil {
		w.steps[w.at].requests++
	}
}

// Allows implements fescuelatch.RetryBudget.
func (b *Budget) Allows(now time.Time, r *fescuelatch.Request, why fescuelatch.RetryReason) bool {
	w := b.window(now, r)
	if w == nil {
		return false
	}
	allowed, repeats := b.state(w, why)
	return repeats+1 <= allowed
}

// Take implements fescuelatch.RetryBudget.
func (b *Budget) Take(now time.Time, r *fescuelatch.Request, why fescuelatch.RetryReason) bool {
	w := b.window(now, r)
	if w == nil {
		return false
	}
	if why == fescuelatch.RetryFailure {
		w.steps[w.at].failures++
	}
	if !b.Allows(now, r, why) {
		return false
	}
	w.steps[w.at].repeats++
	return true
}

// Left implements fescuelatch.RetryBudget.
func (b *Budget) Left(now time.Time, r *fescuelatch.Request, why fescuelatch.RetryReason) float64 {
	w := b.window(now, r)
	if w == nil {
		return 0
	}
	allowed, repeats := b.state(w, why)
	return max(0, allowed-repeats) / max(allowed, 1)
}

// state returns how many repeats a window allows for a reason, and has.
func (b *Budget) state(w *window, why fescuelatch.RetryReason) (allowed, repeats float64) {
	s := w.sum()
	bound := b.settings.Ratio*s.requests + b.settings.Extra/float64(max(b.members(), 1))
	allowed = failureUse * bound
	if why == fescuelatch.RetryEscalation {
		allowed -= min(max(reserveFactor*s.failures, leastReserve*bound), mostReserve*bound)
	}
	return allowed, s.repeats
}

// window returns the counts of the service behind a ladder, whose first model
// stands for it.
func (b *Budget) window(now time.Time, r *fescuelatch.Request) *window {
	if len(r.Ladder) == 0 {
		return nil
	}
	w := b.services[r.Ladder[0]]
	if w == nil {
		w = &window{since: now}
		b.services[r.Ladder[0]] = w
	}
	w.advance(now, b.settings.Window/budgetSteps)
	return w
}

// counts are those of a span of time. Failures count also when they were not
// repeated.
type counts struct{ requests, repeats, failures float64 }

// window counts in steps of time.
type window struct {
	steps [budgetSteps]counts
	at    int
	since time.Time // start of the present step
}

func (w *window) advance(now time.Time, step time.Duration) {
	for n := 0; now.Sub(w.since) >= step; n++ {
		if n == budgetSteps {
			w.since = now
			return
		}
		w.at = (w.at + 1) % budgetSteps
		w.steps[w.at] = counts{}
		w.since = w.since.Add(step)
	}
}

func (w *window) sum() counts {
	var c counts
	for _, s := range w.steps {
		c.requests += s.requests
		c.repeats += s.repeats
		c.failures += s.failures
	}
	return c
}
