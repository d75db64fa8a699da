// Package placement chooses where an attempt is made: at an own endpoint, or
// at another daemon that owns endpoints.
//
// Own endpoints go before daemons of the same failure domain, and these
// before daemons elsewhere. Spare capacity of other daemons is known with a
// lag, so a Policy draws in proportion to it instead of sending all work to
// the largest figure, and trusts a figure less the older it is.
//
// LeastLoaded and Random are baselines.
package placement

import (
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
	// HalfLife is the age at which the spare capacity that another daemon
	// reported counts for half, and the mean of all counts for the rest. The
	// default is 700 ms.
	HalfLife time.Duration
	// AffinityFloor is the part of the mean spare capacity below which a
	// spot takes no requests for the sake of their prefix. The default is
	// 0.25.
	AffinityFloor float64
}

// Defaults of Settings.
const (
	defaultHalfLife      = 700 * time.Millisecond
	defaultAffinityFloor = 0.25
)

// withDefaults returns s with its zero fields filled in.
func (s Settings) withDefaults() Settings {
	if s.HalfLife == 0 {
		s.HalfLife = defaultHalfLife
	}
	if s.AffinityFloor == 0 {
		s.AffinityFloor = defaultAffinityFloor
	}
	return s
}

// none says that no spot qualifies.
const none = -1

// Policy prefers near spots, avoids herds and keeps prompt prefixes together.
// The zero value is ready to use.
type Policy struct {
	Settings Settings
}

// Choose implements fescuelatch.PlacementPolicy.
func (p *Policy) Choose(now time.Time, r *fescuelatch.Request, spots []fescuelatch.Spot, u float64) int {
	settings := p.Settings.withDefaults()
	for t := tierOwn; t <= reach(r); t++ {
		c := choice{now: now, request: r, spots: spots, tier: t, settings: settings}
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

// queue returns a spot of the nearest tier for a request that finds no spare
// capacity, so that a gate queues or refuses it. Short queues are drawn more
// often.
func queue(r *fescuelatch.Request, spots []fescuelatch.Spot, u float64) int {
	for t := tierOwn; t <= reach(r); t++ {
		total := 0.0
		for i := range spots {
			total += patience(&spots[i], t)
		}
		if total == 0 {
			continue
		}
		return draw(len(spots), u*total, func(i int) float64 { return patience(&spots[i], t) })
	}
	return none
}

// patience weighs a spot of tier t by how few wait there, as far as is known.
func patience(s *fescuelatch.Spot, t tier) float64 {
	if tierOf(s) != t {
		return 0
	}
	return 1 / (1 + float64(max(0, s.Sent-s.Spare)))
}
