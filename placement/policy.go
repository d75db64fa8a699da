// Package placement chooses where an attempt is made: at an own endpoint, or
// at another daemon that owns endpoints.
//
// Own endpoints go before daemons of the same failure domain, and these
// before daemons elsewhere. Spare capacity of other daemons is known with a
// lag, so a Policy draws in proportion to what is left after its own sends
// instead of sending all work to the largest figure.
//
// LeastLoaded and Random are baselines.
package placement

import (
	"math"
	"time"

	"fescuelatch"
)

// This file defines Policy.

var (
	_ fescuelatch.PlacementPolicy = (*Policy)(nil)
	_ fescuelatch.PlacementPolicy = LeastLoaded{}
	_ fescuelatch.PlacementPolicy = Random{}
)

// Settings tune a Policy. A zero field takes its default.
type Settings struct {
	// HalfLife is the age at which spare capacity that another daemon
	// reported counts for half. The default is 5 seconds.
	HalfLife time.Duration
}

// defaultHalfLife is the default of Settings.HalfLife.
const defaultHalfLife = 5 * time.Second

// none says that no spot qualifies.
const none = -1

// Policy prefers near spots, avoids herds and keeps prompt prefixes together.
// The zero value is ready to use.
type Policy struct {
	Settings Settings
}

// Choose implements fescuelatch.PlacementPolicy.
func (p *Policy) Choose(now time.Time, r *fescuelatch.Request, spots []fescuelatch.Spot, u float64) int {
	halfLife := p.Settings.HalfLife
	if halfLife == 0 {
		halfLife = defaultHalfLife
	}
	for t := tierOwn; t <= reach(r); t++ {
		c := choice{now: now, request: r, spots: spots, tier: t, halfLife: halfLife}
		if i := c.choose(u); i != none {
			return i
		}
	}
	return queue(r, spots, u)
}

// tier ranks spots by distance.
type tier int

const (
	tierOwn tier = iota
	tierLocal
	tierRemote
)

// tierOf returns the tier of a spot.
func tierOf(s *fescuelatch.Spot) tier {
	switch {
	case s.Own, s.Endpoint != "":
		return tierOwn
	case s.Local:
		return tierLocal
	default:
		return tierRemote
	}
}

// reach returns the farthest tier for r. A forwarded request is not
// forwarded again.
func reach(r *fescuelatch.Request) tier {
	if r.Forwarded {
		return tierOwn
	}
	return tierRemote
}

// queue returns the spot of the nearest tier for a request that finds no
// spare capacity, so that a gate queues or refuses it. Daemons elsewhere get
// no such requests.
func queue(r *fescuelatch.Request, spots []fescuelatch.Spot, u float64) int {
	for t := tierOwn; t <= min(reach(r), tierLocal); t++ {
		n := 0
		for i := range spots {
			if tierOf(&spots[i]) == t {
				n++
			}
		}
		k := int(u * float64(n))
		for i := range spots {
			if tierOf(&spots[i]) != t {
				continue
			}
			if k == 0 {
				return i
			}
			k--
		}
	}
	return none
}

// choice is one choice among the spots of a tier.
type choice struct {
	now      time.Time
	request  *fescuelatch.Request
	spots    []fescuelatch.Spot
	tier     tier
	halfLife time.Duration
}

// spare returns the capacity that is expected to be left at spot i: what was
// reported less what was sent since, discounted by its age.
func (c *choice) spare(i int) float64 {
	s := &c.spots[i]
	if tierOf(s) != c.tier {
		return 0
	}
	left := float64(s.Spare - s.Sent)
	if left <= 0 {
		return 0
	}
	if c.tier == tierOwn {
		return left
	}
	age := max(c.now.Sub(s.Seen), 0)
	return left * math.Exp2(-age.Seconds()/c.halfLife.Seconds())
}

// choose returns a spot of the tier with spare capacity, or none.
func (c *choice) choose(u float64) int {
	if c.request.Prefix != 0 {
		return c.affine()
	}
	return c.proportional(u)
}

// proportional draws a spot with a probability in proportion to its spare
// capacity.
func (c *choice) proportional(u float64) int {
	total := 0.0
	for i := range c.spots {
		total += c.spare(i)
	}
	chosen := none
	for i := range c.spots {
		w := c.spare(i)
		if w <= 0 {
			continue
		}
		chosen = i
		if u*total < w {
			break
		}
		u -= w / total
	}
	return chosen
}
