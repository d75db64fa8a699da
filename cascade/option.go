package cascade

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"fescuelatch"
)

// This file defines options: candidates reduced to the figures by which plans
// are compared.

// maxOptions bounds the options from which plans are built.
const maxOptions = 12

// option is a candidate with its cost for one request.
type option struct {
	version fescuelatch.VersionID
	quality float64
	// cost is the price of an answer in millionths of the billing currency.
	cost float64
	// effectiveCost is the cost by which plans are compared.
	effectiveCost float64
	latency       time.Duration
}

// newOption returns candidate c as an option for request r. The uniform draw u
// determines its sampled quality, and waitDraw whether the request would wait
// for a saturated version.
func newOption(r *fescuelatch.Request, c *fescuelatch.Candidate, s *Settings, u, waitDraw float64) option {
	o := option{
		version: c.Version.ID,
		quality: sampleQuality(&c.Estimate, s.Caution, u),
		cost:    price(r, &c.Version),
		latency: c.Latency,
	}
	o.effectiveCost = o.cost
	if c.Spare <= 0 && waitDraw >= waitShare(r.Priority, -c.Spare, s) {
		o.effectiveCost *= s.SaturatedFactor
	}
	return o
}

// intervalDeviations is the width of an estimate's interval in standard
// deviations, as the central 90 % of a normal distribution.
const intervalDeviations = 3.29

// sampleQuality draws a quality from the distribution that e describes, or
// takes the mean if the draw is lower (optimistic Thompson sampling). A version
// with few ratings is thus tried in part of the requests until ratings show
// whether it suffices; with the mean alone, a few bad ratings would keep a
// version from ever being rated again. Lower draws would yield no information
// and send requests to more expensive versions than necessary.
func sampleQuality(e *fescuelatch.Estimate, caution, u float64) float64 {
	width := e.High - e.Low
	if width <= 0 {
		return e.Mean
	}
	u = min(max(u, minTail), 1-minTail)
	q := e.Mean - caution*(e.Mean-e.Low) + width/intervalDeviations*max(0, distuv.UnitNormal.Quantile(u))
	return min(max(q, 0), 1)
}

// minTail keeps quantiles finite.
const minTail = 1e-6

// price returns the cost of an answer of v to r.
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

// waitShare returns the share of requests that choose a saturated version at
// its normal cost while others already wait for it. It falls with their
// number, so that the queue reaches an equilibrium in which the excess
// requests go to other versions.
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
	return a.quality >= b.quality && a.effectiveCost <= b.effectiveCost && a.latency <= b.latency
}

// prune orders options by cost, drops those that another dominates, and
// bounds their number. The cheapest and the best are always kept.
func prune(list []option) []option {
	slices.SortFunc(list, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(a.effectiveCost, b.effectiveCost),
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
