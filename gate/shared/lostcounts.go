package shared

import (
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/usage"
)

// This file defines what is kept of the counts of daemons that are no longer heard, so that
// the others do not repeat once more what these have repeated.

// lostCounts are those of daemons that are no longer heard.
type lostCounts struct {
	at      time.Time
	daemons float64
	// bound is that of the daemons' requests and of their part of BudgetSettings.Extra.
	bound float64
	// repeats contain those that the daemons may still make of what was left.
	repeats float64
}

// debt returns the lost repeats that the bound of these daemons does not allow. Their
// requests may have come long before the repeats.
func (d lostCounts) debt(now time.Time, window time.Duration) float64 {
	age := float64(now.Sub(d.at)+totalsLifetime+totalsAge) / float64(window)
	return max(0, d.repeats-boundShare*d.bound*max(0, 1-age))
}

func debt(gone []lostCounts, now time.Time, window time.Duration) (sum float64) {
	for _, d := range gone {
		if now.Sub(d.at) < window {
			sum += d.debt(now, window)
		}
	}
	return sum
}

// lost returns what was lost within a window after new totals have been heard.
func (b *Budget) lost(now time.Time, m fescuelatch.ModelID, s *serviceBudget, t usage.Totals) []lostCounts {
	gone := slices.DeleteFunc(s.fleet.gone, func(d lostCounts) bool { return now.Sub(d.at) >= b.settings.Window })
	before, after := b.others.Models[m], t.Models[m]
	change := lostCounts{at: now, daemons: float64(min(b.others.Daemons, max(b.members()-1, t.Daemons)) - t.Daemons), repeats: before.Repeats - after.Repeats}
	switch {
	case change.daemons > 0:
		change.bound = b.settings.Ratio*max(0, before.Requests-after.Requests) + b.settings.Extra*change.daemons/b.daemons()
		change.repeats += change.daemons * s.fleet.left
		if change.repeats > 0 {
			gone = append(gone, change)
		}
	case change.daemons < 0:
		giveBack(gone, -change.daemons, -change.repeats)
	}
	return gone
}

// giveBack reduces lost counts as daemons are heard again whose counts come back.
func giveBack(gone []lostCounts, daemons, repeats float64) {
	for i := len(gone) - 1; i >= 0 && daemons > 0 && repeats > 0; i-- {
		d := &gone[i]
		back := min(1, daemons/d.daemons, repeats/d.repeats)
		daemons -= back * d.daemons
		repeats -= back * d.repeats
		d.daemons, d.bound, d.repeats = (1-back)*d.daemons, (1-back)*d.bound, (1-back)*d.repeats
	}
}
