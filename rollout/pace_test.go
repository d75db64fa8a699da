package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/rollout"
)

// This file tests the judgement of streams whose events come slowly.

// TestSlowTokens checks that a release is bad if its streams are slow, though they begin
// in time, and that neither spread nor a few streams make a good one bad.
func TestSlowTokens(t *testing.T) {
	const usual = 40 * time.Millisecond
	tests := []struct {
		name    string
		factor  float64 // of the release's pace
		slow    float64 // share of its streams with this factor
		streams int
		bad     bool
	}{
		{"as the others", 1, 1, 200, false},
		{"a little slower", 1.4, 1, 200, false},
		{"several times slower", 4, 1, 10, true},
		{"half of them several times slower", 6, 0.5, 30, true},
		{"a single slow one", 8, 1, 1, false},
	}
	for _, test := range tests {
		wrong := 0
		const seeds = 100
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, 5))
			pace := func(factor float64) time.Duration {
				return time.Duration(factor * (0.6 + 0.4*random.ExpFloat64()) * float64(usual))
			}
			r := rollout.New(rollout.Settings{Exposure: exposure}, fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: duration, Revision: 5}, epoch)
			for range 60 {
				r.ObservePace("lm:small", "v1", pace(1))
			}
			for range test.streams {
				factor := 1.0
				if random.Float64() < test.slow {
					factor = test.factor
				}
				r.ObservePace("lm:small", "v2", pace(factor))
			}
			if r.Bad() != test.bad {
				wrong++
			}
		}
		qt.Check(t, wrong <= seeds/50, qt.IsTrue, qt.Commentf("%s: %d of %d wrong", test.name, wrong, seeds))
	}
}

// TestPaceWithoutBaseline checks that a pace is no evidence while those of the others are
// unknown.
func TestPaceWithoutBaseline(t *testing.T) {
	r := rollout.New(rollout.Settings{Exposure: exposure}, fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: duration, Revision: 5}, epoch)
	for range 20 {
		r.ObservePace("lm:small", "v2", time.Second)
	}
	qt.Check(t, r.Bad(), qt.IsFalse)
	qt.Check(t, r.Evidence().TargetPaces.Answers, qt.Equals, 0)
}
