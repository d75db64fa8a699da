package cascade

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"fescuelatch"
)

// This file defines options: candidates reduced to the numbers that plans
// are compared by.

// maxOptions bounds the options that plans are built from.
const maxOptions = 12

// option is a candidate with its cost for one request.
type option struct {
	version fescuelatch.VersionID
	quality float64
	// cost is the price of an answer in millionths of the billing currency.
	cost float64
	// effective is the cost by which plans are compared.
	effective float64
	latency   time.Duration
}

// newOption returns the option that candidate c is for request r. The draw u
// decides the quality that it is credited with, and patience is compared with
// the share of requests that wait for a version.
func newOption(r *fescuelatch.Request, c *fescuelatch.Candidate, s *Settings, u, patience float64) option {
	o := option{
		version: c.Version.ID,
		quality: sample(&c.Estimate, s.Caution, u),
		cost:    price(r, &c.Version),
		latency: c.Latency,
	}
	o.effective = o.cost
	if c.Spare <= 0 && patience >= waitShare(r.Priority, -c.Spare, s) {
		o.effective *= s.SaturatedFactor
	}
	return o
}

// deviations is the number of standard deviations between the ends of an
// estimate's interval, taken as the central 90 % of a normal distribution.
const deviations = 3.29

// sample draws a quality from the distribution that e describes, or takes the
// mean where the draw is lower (optimistic Thompson sampling). A version with
// few ratings is thus tried in part of the requests, until ratings settle
// whether it suffices; with the mean alone, a few bad ratings would keep a
// version from ever being rated again. Lower draws would teach nothing, and
// send requests to dearer versions than they need.
func sample(e *fescuelatch.Estimate, caution, u float64) float64 {
	width := e.High - e.Low
	if width <= 0 {
		return e.Mean
	}
	u = min(max(u, minTail), 1-minTail)
	q := e.Mean - caution*(e.Mean-e.Low) + width/deviations*max(0, distuv.UnitNormal.Quantile(u))
	return min(max(q, 0), 1)
}

// minTail keeps quantiles finite.
const minTail = 1e-6

// price returns the cost of one answer of v to r.
func price(r *fescuelatch.Request, v *fescuelatch.Version) float64 {
	prompt, output := r.PromptTokens, r.OutputTokens
	if prompt <= 0 {
		prompt = defaultPromptTokens
	}
	if output <= 0 {
		output = defaultOutputTokens
	}
	return (float64(v.PromptCost)*float64(prompt) + float64(v.OutputCost)*float64(output)) / 1000
}

// waitShare returns the share of requests that take a version without spare
// capacity for what it costs, while others wait for it already. It falls with
// their number, so that a queue settles where as many requests go elsewhere
// as the version cannot bear.
func waitShare(p fescuelatch.Priority, others int, s *Settings) float64 {
	switch {
	case p >= fescuelatch.PriorityHigh:
		return 0
	case p <= fescuelatch.PriorityLow:
		return math.Pow(s.WaitShare, float64(1+others)/2)
	default:
		return math.Pow(s.WaitShare, float64(1+others))
	}
}

// dominates reports whether a is at least as good as b in every respect.
func (a *option) dominates(b *option) bool {
	return a.quality >= b.quality && a.effective <= b.effective && a.latency <= b.latency
}

// prune orders options by cost, drops those that another dominates, and
// bounds their number. The cheapest and the best are always kept.
func prune(list []option) []option {
	slices.SortFunc(list, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(a.effective, b.effective),
			cmp.Compare(b.quality, a.quality),
			cmp.Compare(a.latency, b.latency),
			cmp.Compare(a.version, b.version),
		)
	})
	kept := list[:0]
	for i := range list {
		o := list[i]
		dominated := slices.ContainsFunc(kept, func(k option) bool { return k.dominates(&o) })
		if !dominated {
			kept = append(kept, o)
		}
	}
	if len(kept) > maxOptions {
		best := slices.MaxFunc(kept, func(a, b option) int { return cmp.Compare(a.quality, b.quality) })
		kept = append(kept[:maxOptions-1], best)
	}
	return kept
}
