package placement

import (
	"math"
	"time"

	"fescuelatch"
)

// This file defines the choice among the targets of one tier.

// choice holds the inputs of one choice among the targets of a tier.
type choice struct {
	now      time.Time
	request  *fescuelatch.Request
	targets  []fescuelatch.Target
	tier     tier
	settings Settings
	// mean is the mean spare capacity of the targets of the tier.
	mean float64
}

// choose returns a target of the tier, or none if no target of the tier has
// spare capacity.
func (c *choice) choose(u float64) int {
	c.updateMean()
	if c.mean <= 0 {
		return none
	}
	if c.request.Prefix != 0 {
		if i := c.affinityTarget(u); i != none {
			return i
		}
	}
	return c.drawProportional(u)
}

// updateMean sets mean.
func (c *choice) updateMean() {
	total, n := 0.0, 0
	for i := range c.targets {
		if tierOf(&c.targets[i]) == c.tier {
			total += max(0, float64(c.targets[i].Spare))
			n++
		}
	}
	c.mean = total / float64(max(n, 1))
}

// remaining returns the reported spare capacity of target i minus the attempts
// sent there since.
func (c *choice) remaining(i int) float64 {
	s := &c.targets[i]
	return max(0, float64(s.Spare-s.Sent))
}

// weight returns the expected spare capacity of target i, or 0 for a target of
// another tier. For own endpoints it is exact. Otherwise reports regress to the
// mean as they age: full targets have become free since, and free ones have
// been filled by all daemons that read the same report.
func (c *choice) weight(i int) float64 {
	s := &c.targets[i]
	if tierOf(s) != c.tier {
		return 0
	}
	if c.tier == tierOwn {
		return c.remaining(i)
	}
	age := max(c.now.Sub(s.ReportedAt), 0)
	trust := math.Exp2(-age.Seconds() / c.settings.HalfLife.Seconds())
	return trust*c.remaining(i) + (1-trust)*c.mean
}

// drawProportional draws a target with a probability proportional to its weight.
func (c *choice) drawProportional(u float64) int {
	total := 0.0
	for i := range c.targets {
		total += c.weight(i)
	}
	return drawWeighted(len(c.targets), u*total, c.weight)
}

// drawWeighted returns the index at which the cumulative sum of n weights exceeds
// point, or none if all are zero.
func drawWeighted(n int, point float64, weight func(int) float64) int {
	chosen := none
	for i := range n {
		w := weight(i)
		if w <= 0 {
			continue
		}
		chosen = i
		if point < w {
			break
		}
		point -= w
	}
	return chosen
}
