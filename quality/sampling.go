package quality

import (
	"time"

	"fescuelatch"
)

// This file defines the samplers of answers to rate for learning.

var (
	_ fescuelatch.Sampler = (*AdaptiveShare)(nil)
	_ fescuelatch.Sampler = FixedShare{}
)

// FixedShare is the baseline that rates the same share of all answers of good
// versions, and all answers of the others.
type FixedShare struct {
	// Share is from 0 to 1.
	Share float64
}

// Sample implements fescuelatch.Sampler.
func (s FixedShare) Sample(_ time.Time, k fescuelatch.VersionEvidence, u float64) bool {
	return k.Health != fescuelatch.HealthGood || u < s.Share
}

// Spend implements fescuelatch.Sampler.
func (FixedShare) Spend(time.Time) {}

// AdaptiveShare rates a small share of the answers of versions known to be good,
// and up to all answers of a version that is in doubt or new, within a budget.
//
// It depends only on earlier ratings, never on the answer. The distribution of
// the scores of an unchanged version is therefore independent of which answers
// are rated, and the bound on false alarms holds.
type AdaptiveShare struct {
	// Base is the minimum share, from 0 to 1.
	Base float64
	// Rate is the budget of ratings per second.
	Rate float64

	tokens float64
	filled time.Time
}

const (
	// minKnownSamples is the number of ratings, in the whole fleet, after which
	// a version is no longer new.
	minKnownSamples = defaultPriorWeight
	// budgetWindow is the time over which unused budget accumulates.
	budgetWindow = 10 * time.Second
	// reservedShare is the part of a full budget that is reserved for versions
	// in doubt.
	reservedShare = 0.5
)

// Sample implements fescuelatch.Sampler.
func (s *AdaptiveShare) Sample(now time.Time, k fescuelatch.VersionEvidence, u float64) bool {
	urgency := urgency(k)
	if u >= s.Base+(1-s.Base)*urgency {
		return false
	}
	s.fill(now)
	if s.tokens < 1+(1-urgency)*reservedShare*s.capacity() {
		return false
	}
	s.tokens--
	return true
}

// Spend implements fescuelatch.Sampler. A plan's ratings may overdraw the
// budget by at most its capacity.
func (s *AdaptiveShare) Spend(now time.Time) {
	s.fill(now)
	s.tokens = max(-s.capacity(), s.tokens-1)
}

func (s *AdaptiveShare) capacity() float64 { return max(2, s.Rate*budgetWindow.Seconds()) }

// fill adds the budget gained since the last call. The budget starts full.
func (s *AdaptiveShare) fill(now time.Time) {
	if s.filled.IsZero() {
		s.tokens = s.capacity()
	} else {
		s.tokens = min(s.capacity(), s.tokens+s.Rate*now.Sub(s.filled).Seconds())
	}
	s.filled = now
}

// urgency returns the value of a further rating, from 0 to 1. Ratings during a
// quarantine have none, because its probation begins with new evidence.
func urgency(k fescuelatch.VersionEvidence) float64 {
	switch k.Health {
	case fescuelatch.HealthSuspect:
		return 1
	case fescuelatch.HealthQuarantined:
		return 0
	default:
		return max(k.Doubt, 1-k.Estimate.Samples/minKnownSamples)
	}
}
