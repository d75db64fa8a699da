package shared

import (
	"time"

	"fescuelatch"
	"fescuelatch/usage"
)

// This file defines how daemons that tell each other their counts share one retry budget.
//
// What the bound of all daemons leaves is divided by need. A daemon charges its part with
// all that it has spent since the counts by which the others know of it, so that all
// together cannot spend more than what is left, however often they hear of each other.

const (
	// totalsLifetime is how long totals count.
	totalsLifetime = 2 * time.Second
	// totalsAge is the age of most counts in the totals as they are heard.
	totalsAge = time.Second
	// equalShare is divided equally; the rest by need.
	equalShare = 0.75
	// rounding rounds parts of a repeat to the nearest number.
	rounding = 0.5
	// failureNeed is the need of a failed attempt, relative to that of a request.
	failureNeed = 10
	// unheardShare takes the place of boundShare for a daemon that no longer hears the others:
	// what they have repeated counts longer than the requests by which they did.
	unheardShare = boundShare / 3
)

const (
	// fineSteps is the number of steps of a window of fleetCounts.
	fineSteps = 4 * budgetSteps
	// keptSteps are those of a window, and those of totals that count and of their age before it.
	keptSteps = fineSteps + fineSteps/2
)

// fleetCounts are this daemon's counts for the budget of all daemons.
type fleetCounts struct {
	window
	// left is this daemon's part of what was left as totals were heard last.
	left float64
	gone []lostCounts
}

func newFleetCounts(now time.Time) fleetCounts {
	return fleetCounts{window: newWindow(now, keptSteps)}
}

// total returns the counts of a window.
func (f *fleetCounts) total() counts { return f.sum(0, fineSteps) }

// Counts returns this daemon's counts, to be told to the others.
func (b *Budget) Counts(now time.Time) map[fescuelatch.ModelID]usage.Counts {
	told := make(map[fescuelatch.ModelID]usage.Counts, len(b.services))
	for m, s := range b.services {
		b.advance(now, s)
		if c := s.fleet.total(); c != (counts{}) {
			told[m] = usage.Counts{Requests: c.requests, Repeats: c.repeats, Failures: c.failures}
		}
	}
	return told
}

// SetOthers replaces the sums of the other daemons' counts.
func (b *Budget) SetOthers(now time.Time, t usage.Totals) {
	if t.Daemons == 0 || b.resumes(now) {
		return
	}
	for m, s := range b.services {
		b.advance(now, s)
		s.fleet.gone = b.lost(now, m, s, t)
	}
	b.before, b.others, b.heard = b.others, t, now
	for m, s := range b.services {
		_, left := b.left(now, m, s, fescuelatch.RetryFailure)
		s.fleet.left = max(0, left+b.untold(now, s)) / b.daemons()
	}
}

// Unused returns the share of the bound of all daemons that is left for failures, by service,
// while the others are heard.
func (b *Budget) Unused(now time.Time) map[fescuelatch.ModelID]float64 {
	unused := make(map[fescuelatch.ModelID]float64, len(b.services))
	for m, s := range b.services {
		if b.hears(now) {
			b.advance(now, s)
			all, _ := b.left(now, m, s, fescuelatch.RetryFailure)
			unused[m] = all.remaining()
		}
	}
	return unused
}

// resumes reports whether totals that had stopped are heard again only since a moment ago, so
// that they may lack daemons.
func (b *Budget) resumes(now time.Time) bool {
	if age := now.Sub(b.heard); b.heard.IsZero() || age < totalsLifetime || age >= b.settings.Window {
		b.resumed = time.Time{}
		return false
	}
	if b.resumed.IsZero() {
		b.resumed = now
	}
	return now.Sub(b.resumed) < totalsLifetime
}

// hears reports whether the totals are fresh.
func (b *Budget) hears(now time.Time) bool {
	return !b.heard.IsZero() && now.Sub(b.heard) < totalsLifetime
}

// once returns those of the others' requests that are not counted twice: there is a daemon whose
// report counts at two collectors if more are heard than are alive.
func (b *Budget) once(requests float64) float64 {
	return requests * min(1, float64(max(b.members()-1, 0))/float64(max(b.others.Daemons, 1)))
}

// daemons returns the number of live daemons, at least those that are heard.
func (b *Budget) daemons() float64 { return float64(max(b.members(), b.others.Daemons+1)) }

// shared returns the bound of all daemons with all known repeats, and this daemon's part of that
// bound with what of it is not left.
func (b *Budget) shared(now time.Time, m fescuelatch.ModelID, s *serviceBudget, why fescuelatch.RetryReason) [2]allowance {
	all, left := b.left(now, m, s, why)
	untold, weight := b.untold(now, s), b.weight(now, m, s)
	part := weight * all.allowed
	return [2]allowance{all, {part, part - weight*(left+untold) - rounding + untold}}
}

// untold returns this daemon's repeats of which the others may not know.
func (b *Budget) untold(now time.Time, s *serviceBudget) float64 {
	return s.fleet.sum(0, b.untoldSteps(now)).repeats
}

// untoldSteps returns the number of steps of whose counts other daemons may not know.
func (b *Budget) untoldSteps(now time.Time) int {
	return b.stepsWithin(now.Sub(b.heard) + totalsAge)
}

// stepsWithin returns the number of latest steps that contain all counts of a time.
func (b *Budget) stepsWithin(d time.Duration) int { return int(d/b.fineStep()) + 1 }

func (b *Budget) fineStep() time.Duration { return max(b.settings.Window/fineSteps, 1) }

// left returns the bound of all daemons that are heard, and what it leaves. Repeats of the
// others of which this daemon may not know are part of what is left, as each daemon charges
// its part with them.
func (b *Budget) left(now time.Time, m fescuelatch.ModelID, s *serviceBudget, why fescuelatch.RetryReason) (allowance, float64) {
	own, others := s.fleet.total(), b.others.Models[m]
	part := float64(b.others.Daemons+1) / b.daemons()
	bound := b.settings.Ratio*(own.requests+b.once(others.Requests)) + b.settings.Extra*part
	allowed := boundShare*bound - reserve(why, own.failures+others.Failures, bound) - debt(s.fleet.gone, now, b.settings.Window)
	untold := min(1, float64(totalsAge)/float64(b.settings.Window))
	return allowance{allowed, own.repeats + others.Repeats}, allowed - own.repeats - others.Repeats*(1-untold)
}

// weight returns this daemon's part of what is left. Its need counts as far as the others
// know of it, so that the parts of all daemons add up to one. What that leaves of need that
// is new is divided equally.
func (b *Budget) weight(now time.Time, m fescuelatch.ModelID, s *serviceBudget) float64 {
	equal := 1 / b.daemons()
	others, before := b.others.Models[m], b.before.Models[m]
	own := need(s.fleet.total())
	untold := b.untoldSteps(now)
	known := min(own, need(s.fleet.sum(untold, untold+fineSteps)))
	all := own + need(counts{requests: others.Requests, failures: others.Failures})
	if all == 0 {
		return equal
	}
	old := min(1, (known+need(counts{requests: before.Requests, failures: before.Failures}))/all)
	return equal*(1-(1-equalShare)*old) + (1-equalShare)*known/all
}

func need(c counts) float64 { return c.requests + failureNeed*c.failures }

// sinceHeard returns what this daemon may repeat by itself after the totals have stopped: its
// part of what was left then, and what its requests since then allow.
func (b *Budget) sinceHeard(now time.Time, s *serviceBudget) allowance {
	age := now.Sub(b.heard)
	requests := s.fleet.sum(0, b.stepsWithin(age)).requests
	extra := b.settings.Extra / float64(max(b.members(), 1)) * float64(age) / float64(b.settings.Window)
	return allowance{s.fleet.left + unheardShare*(b.settings.Ratio*requests+extra), b.untold(now, s)}
}
