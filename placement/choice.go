package placement

import (
	"math"
	"time"

	"fescuelatch"
)

// This file defines the choice among the spots of one tier.

// choice is one choice among the spots of a tier.
type choice struct {
	now      time.Time
	request  *fescuelatch.Request
	spots    []fescuelatch.Spot
	tier     tier
	settings Settings
	// mean is the mean spare capacity of the spots of the tier.
	mean float64
}

// choose returns a spot of the tier, or none when no spot of it has spare
// capacity.
func (c *choice) choose(u float64) int {
	c.average()
	if c.mean <= 0 {
		return none
	}
	if c.request.Prefix != 0 {
		if i := c.affine(u); i != none {
			return i
		}
	}
	return c.proportional(u)
}

// average sets the mean spare capacity.
func (c *choice) average() {
	total, n := 0.0, 0
	for i := range c.spots {
		if tierOf(&c.spots[i]) == c.tier {
			total += max(0, float64(c.spots[i].Spare))
			n++
		}
	}
	c.mean = total / float64(max(n, 1))
}

// left returns the spare capacity that was reported for spot i, less what was
// sent there since.
func (c *choice) left(i int) float64 {
	s := &c.spots[i]
	return max(0, float64(s.Spare-s.Sent))
}

// weight returns the spare capacity that is expected at spot i, or 0 for a
// spot of another tier. That of own endpoints is exact. An old report says
// little of a spot, and is moved towards the mean of all: spots that were
// full have become free since, and those that were free have been filled by
// all daemons that read the same report.
func (c *choice) weight(i int) float64 {
	s := &c.spots[i]
	if tierOf(s) != c.tier {
		return 0
	}
	if c.tier == tierOwn {
		return c.left(i)
	}
	age := max(c.now.Sub(s.Seen), 0)
	trust := math.Exp2(-age.Seconds() / c.settings.HalfLife.Seconds())
	return trust*c.left(i) + (1-trust)*c.mean
}

// proportional draws a spot with a probability in proportion to its weight.
func (c *choice) proportional(u float64) int {
	total := 0.0
	for i := range c.spots {
		total += c.weight(i)
	}
	return draw(len(c.spots), u*total, c.weight)
}

// draw returns the index that point falls on when n weights are laid in a row,
// or none when all are zero.
func draw(n int, point float64, weight func(int) float64) int {
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
