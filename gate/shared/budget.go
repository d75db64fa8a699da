package shared

import (
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/usage"
)

// This file defines the retry budget that all daemons share.

var _ fescuelatch.RetryBudget = (*Budget)(nil)

// BudgetSettings bound the requests that all daemons together repeat for one
// service.
type BudgetSettings struct {
	// Ratio bounds repeats relative to the requests of callers within Window;
	// Extra is added to the bound.
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Shares of the bound. Part of it is left unused because daemons count their windows
// separately, and the count of a daemon that dies is lost. Escalations leave a
// reserve for requests that would otherwise get no answer, which grows with
// recent failures. Without failures, a fixed reserve is too large for a daemon
// with few requests, whose share of hard ones varies.
const (
	boundShare = 0.88
	minReserve = 0.03
	maxReserve = 0.15
	// reserveFactor is the reserve per failure in the window.
	reserveFactor = 0.4
)

// budgetSteps is the number of steps in which a window slides.
const budgetSteps = 10

// Budget bounds retries by the requests of all daemons, while it is told of those of the
// others, or else by those of this daemon in a sliding window and its share of
// BudgetSettings.Extra. It is not safe for concurrent use.
type Budget struct {
	settings BudgetSettings
	members  func() int
	services map[fescuelatch.ModelID]*serviceBudget
	// others are the latest totals, heard at a time, and before those before them.
	others, before usage.Totals
	heard          time.Time
	// resumed is when totals that had stopped were heard again.
	resumed time.Time
}

// serviceBudget is what is known of one service.
type serviceBudget struct {
	alone window
	fleet fleetCounts
}

// clone returns a copy of s.
func (s *serviceBudget) clone() *serviceBudget {
	c := *s
	c.alone.steps, c.fleet.steps = slices.Clone(s.alone.steps), slices.Clone(s.fleet.steps)
	c.fleet.gone = slices.Clone(s.fleet.gone)
	return &c
}

// NewBudget returns a budget. members returns the number of live daemons.
func NewBudget(s BudgetSettings, members func() int) *Budget {
	return &Budget{settings: s, members: members, services: make(map[fescuelatch.ModelID]*serviceBudget)}
}

// Preview returns a copy of b, on which decisions can be tried without an effect.
func (b *Budget) Preview() *Budget {
	p := *b
	p.services = make(map[fescuelatch.ModelID]*serviceBudget, len(b.services))
	for m, s := range b.services {
		p.services[m] = s.clone()
	}
	return &p
}

// Set replaces the settings and keeps the counts.
func (b *Budget) Set(s BudgetSettings) { b.settings = s }

// Earn implements fescuelatch.RetryBudget.
func (b *Budget) Earn(now time.Time, r *fescuelatch.Request) {
	if s := b.service(now, r); s != nil {
		s.add(counts{requests: 1})
	}
}

// Allows implements fescuelatch.RetryBudget.
func (b *Budget) Allows(now time.Time, r *fescuelatch.Request, why fescuelatch.RetryReason) bool {
	s := b.service(now, r)
	if s == nil {
		return false
	}
	for _, a := range b.allowances(now, r.Ladder[0], s, why) {
		if a.repeats+1 > a.allowed {
			return false
		}
	}
	return true
}

// Spend implements fescuelatch.RetryBudget.
func (b *Budget) Spend(now time.Time, r *fescuelatch.Request, why fescuelatch.RetryReason) bool {
	s := b.service(now, r)
	if s == nil {
		return false
	}
	if why == fescuelatch.RetryFailure {
		s.add(counts{failures: 1})
	}
	if !b.Allows(now, r, why) {
		return false
	}
	s.add(counts{repeats: 1})
	return true
}

// Remaining implements fescuelatch.RetryBudget.
func (b *Budget) Remaining(now time.Time, r *fescuelatch.Request, why fescuelatch.RetryReason) float64 {
	s := b.service(now, r)
	if s == nil {
		return 0
	}
	left := 1.0
	for _, a := range b.allowances(now, r.Ladder[0], s, why) {
		left = min(left, a.remaining())
	}
	return left
}

// allowance is how many repeats a bound allows, and how many it has counted.
type allowance struct{ allowed, repeats float64 }

func (a allowance) remaining() float64 { return max(0, a.allowed-a.repeats) / max(a.allowed, 1) }

// allowances returns the bounds that repeats for a reason have to keep.
func (b *Budget) allowances(now time.Time, m fescuelatch.ModelID, s *serviceBudget, why fescuelatch.RetryReason) [2]allowance {
	if b.hears(now) {
		return b.shared(now, m, s, why)
	}
	own := b.own(s, why)
	if b.heard.IsZero() || now.Sub(b.heard) >= b.settings.Window {
		return [2]allowance{own, own}
	}
	return [2]allowance{own, b.sinceHeard(now, s)}
}

// own returns what a window of this daemon's requests allows.
func (b *Budget) own(s *serviceBudget, why fescuelatch.RetryReason) allowance {
	c := s.alone.sum(0, budgetSteps)
	bound := b.settings.Ratio*c.requests + b.settings.Extra/float64(max(b.members(), 1))
	return allowance{boundShare*bound - reserve(why, c.failures, bound), c.repeats}
}

// reserve returns how much of a bound repeats for a reason leave unused.
func reserve(why fescuelatch.RetryReason, failures, bound float64) float64 {
	if why != fescuelatch.RetryEscalation {
		return 0
	}
	return min(max(reserveFactor*failures, minReserve*bound), maxReserve*bound)
}

// service returns the counts of a service, which is identified by the first model
// of the request's ladder.
func (b *Budget) service(now time.Time, r *fescuelatch.Request) *serviceBudget {
	if len(r.Ladder) == 0 {
		return nil
	}
	s := b.services[r.Ladder[0]]
	if s == nil {
		s = &serviceBudget{alone: newWindow(now, budgetSteps), fleet: newFleetCounts(now)}
		b.services[r.Ladder[0]] = s
	}
	b.advance(now, s)
	return s
}

func (b *Budget) advance(now time.Time, s *serviceBudget) {
	s.alone.advance(now, b.settings.Window/budgetSteps)
	s.fleet.advance(now, b.fineStep())
}

func (s *serviceBudget) add(c counts) {
	s.alone.add(c)
	s.fleet.add(c)
}
