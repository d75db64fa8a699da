// Package placement chooses the target of an attempt: an own endpoint, or another
// daemon that owns endpoints.
//
// Own endpoints are preferred to daemons of the same failure domain, and these to
// other daemons. The spare capacity of other daemons is reported with a lag, so a
// Policy draws in proportion to it instead of choosing the maximum, and weighs
// older reports less.
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
	// HalfLife is the age at which another daemon's reported spare capacity
	// and the mean of all have equal weight. The default is 700 ms.
	HalfLife time.Duration
	// AffinityFloor is the fraction of the mean spare capacity below which a
	// target is not considered for prefix affinity. The default is 0.25.
	AffinityFloor float64
}

// Defaults of Settings.
const (
	defaultHalfLife      = 700 * time.Millisecond
	defaultAffinityFloor = 0.25
)

// withDefaults returns s with zero fields set to their defaults.
func (s Settings) withDefaults() Settings {
	if s.HalfLife == 0 {
		s.HalfLife = defaultHalfLife
	}
	if s.AffinityFloor == 0 {
		s.AffinityFloor = defaultAffinityFloor
	}
	return s
}

// none is the index if no target qualifies.
const none = -1

// Policy prefers near targets, avoids herding and provides prefix affinity.
// The zero value is ready to use.
type Policy struct {
	Settings Settings
}

// Choose implements fescuelatch.PlacementPolicy.
func (p *Policy) Choose(now time.Time, r *fescuelatch.Request, targets []fescuelatch.Target, u float64) int {
	settings := p.Settings.withDefaults()
	for t := tierOwn; t <= farthestTier(r); t++ {
		c := choice{now: now, request: r, targets: targets, tier: t, settings: settings}
		if i := c.choose(u); i != none {
			return i
		}
	}
	return chooseQueue(r, targets, u)
}

// tier ranks targets by distance.
type tier int

const (
	tierOwn tier = iota
	tierLocal
	tierRemote
)

// tierOf returns the tier of a target.
func tierOf(s *fescuelatch.Target) tier {
	switch {
	case s.Own, s.Endpoint != "":
		return tierOwn
	case s.Local:
		return tierLocal
	default:
		return tierRemote
	}
}

// farthestTier returns the farthest permitted tier for r. A forwarded request is
// not forwarded again.
func farthestTier(r *fescuelatch.Request) tier {
	if r.Forwarded {
		return tierOwn
	}
	return tierRemote
}

// chooseQueue returns a target of the nearest tier for a request without spare
// capacity anywhere, which a gate then queues or refuses. Shorter queues are more
// likely.
func chooseQueue(r *fescuelatch.Request, targets []fescuelatch.Target, u float64) int {
	for t := tierOwn; t <= farthestTier(r); t++ {
		total := 0.0
		for i := range targets {
			total += queueWeight(&targets[i], t)
		}
		if total == 0 {
			continue
		}
		return drawWeighted(len(targets), u*total, func(i int) float64 { return queueWeight(&targets[i], t) })
	}
	return none
}

// queueWeight returns the weight of a target of tier t, which falls with its known
// queue length, or 0 for another tier.
func queueWeight(s *fescuelatch.Target, t tier) float64 {
	if tierOf(s) != t {
		return 0
	}
	return 1 / (1 + float64(max(0, s.Sent-s.Spare)))
}
