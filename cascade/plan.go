package cascade

import "time"

// This file defines plans, their expected results, and their comparison.

// maxSteps bounds the versions of a plan.
const maxSteps = 3

// tolerance is the difference up to which qualities count as equal.
const tolerance = 1e-9

// plan is a sequence of options with its expected results.
type plan struct {
	steps  [maxSteps]int
	length int
	// quality is the expected share of good answers.
	quality float64
	// cost is the expected effective cost.
	cost float64
	// latency is the time to the end of the last step.
	latency time.Duration
	// reach is the probability that the last step is taken.
	reach float64
	// failedQuality is the quality attributed to the rejected steps before
	// the last one; it lowers the quality of the last one.
	failedQuality float64
	// accepted is the probability that a step before the last one ends the
	// plan with a good answer.
	accepted float64
}

// extend returns p with option i of list as its last step.
func (p plan) extend(list []option, i int, s *Settings) plan {
	o := &list[i]
	if p.length == 0 {
		return plan{
			steps:   [maxSteps]int{i},
			length:  1,
			quality: o.quality,
			cost:    o.effectiveCost,
			latency: o.latency,
			reach:   1,
		}
	}
	last := &list[p.steps[p.length-1]]
	good := p.conditional(last.quality, s)
	rejected := good*s.FalseRejection + (1-good)*s.Detection
	next := p
	next.steps[p.length] = i
	next.length++
	next.accepted += p.reach * good * (1 - s.FalseRejection)
	next.reach *= rejected
	next.failedQuality = p.failedAfter(good, last.quality, rejected, s)
	next.quality = next.accepted + next.reach*next.conditional(o.quality, s)
	next.cost += next.reach * o.effectiveCost
	next.latency += s.RatingTime + o.latency
	return next
}

// failedAfter returns the failed quality for the step after one whose answers are
// good with probability good: the part of its rejections that are due to bad
// answers, times the quality that was insufficient for them.
func (p plan) failedAfter(good, quality, rejected float64, s *Settings) float64 {
	if rejected <= 0 {
		return 0
	}
	bad := (1 - good) * s.Detection / rejected
	return max(p.failedQuality, quality) * bad
}

// conditional returns the quality of a step given that the steps before it
// were rejected. With full correlation, a version that is good on a share q
// of all requests is good on (q-f)/(1-f) of those on which a version with
// quality f failed.
func (p plan) conditional(q float64, s *Settings) float64 {
	if p.failedQuality <= 0 {
		return q
	}
	nested := max(0, (q-p.failedQuality)/(1-p.failedQuality))
	return (1-s.Correlation)*q + s.Correlation*nested
}

// constraints are a request's requirements on a plan.
type constraints struct {
	quality float64
	budget  time.Duration
	steps   int
}

// meets reports whether p reaches the required quality.
func (g *constraints) meets(p *plan) bool { return p.quality >= g.quality-tolerance }

// fits reports whether p is expected to end in time.
func (g *constraints) fits(p *plan, s *Settings) bool {
	return g.budget <= 0 || float64(p.latency)*s.LatencyMargin <= float64(g.budget)
}

// better reports whether p is preferred to q. A plan that meets the quality is
// better than one that does not. Of two that do, the cheaper one is better, and
// of two that do not, the one of higher quality.
func (g *constraints) better(p, q *plan) bool {
	if q.length == 0 {
		return true
	}
	if pm, qm := g.meets(p), g.meets(q); pm != qm {
		return pm
	} else if !pm && p.quality != q.quality {
		return p.quality > q.quality
	}
	if p.cost != q.cost {
		return p.cost < q.cost
	}
	if p.quality != q.quality {
		return p.quality > q.quality
	}
	return p.length < q.length
}

// search returns the best plan over list. The plan is empty when no option
// fits the budget.
func (g *constraints) search(list []option, s *Settings) plan {
	var best plan
	g.explore(plan{}, list, s, &best)
	return best
}

// explore compares all extensions of p. Each step is of higher quality than the
// one before, because a rejected answer calls for a better version.
func (g *constraints) explore(p plan, list []option, s *Settings, best *plan) {
	for i := range list {
		if p.length > 0 && list[i].quality <= list[p.steps[p.length-1]].quality {
			continue
		}
		next := p.extend(list, i, s)
		if !g.fits(&next, s) {
			continue
		}
		if g.better(&next, best) {
			*best = next
		}
		cannotImprove := best.length > 0 && g.meets(best) && next.cost >= best.cost
		if next.length < g.steps && !cannotImprove {
			g.explore(next, list, s, best)
		}
	}
}
