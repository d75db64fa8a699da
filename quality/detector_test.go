package quality

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"
)

// TestRatios checks the premise of the false alarm bound: under a tolerated
// quality, the exponential of a ratio has a mean of at most 1.
func TestRatios(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		least := rapid.Float64Range(0, 1).Draw(t, "least")
		odds := rapid.Float64Range(1.1, 20).Draw(t, "odds")
		good := rapid.Float64Range(math.Max(least, minProbability), 1).Draw(t, "good")
		test := newRatioTest(math.Min(least, maxProbability), odds)
		mean := good*math.Exp(test.ratio(1)) + (1-good)*math.Exp(test.ratio(0))
		require(t, mean <= 1+1e-9, "mean %g", mean)
		score := math.Exp(test.ratio(good))
		require(t, score <= mean+1e-9, "score %g has weight %g, more than %g", good, score, mean)
	})
}

// TestThresholds checks, for every fleet size, that the thresholds are quantiles
// of the gamma distribution.
func TestThresholds(t *testing.T) {
	for _, rate := range []float64{1e-2, 1e-4} {
		a := thresholds{rate: rate}
		last := 0.0
		for n := 1; n <= defaultMaxOrigins+1; n++ {
			h := a.at(n)
			qt.Assert(t, h > last, qt.IsTrue, qt.Commentf("%d: %g after %g", n, h, last))
			tail := distuv.Gamma{Alpha: float64(n), Beta: 1}.Survival(h)
			qt.Assert(t, math.Abs(tail/rate-1) < 1e-3, qt.IsTrue, qt.Commentf("%d: %g", n, tail))
			last = h
		}
		qt.Assert(t, math.Abs(a.at(1)+math.Log(rate)) < 1e-9, qt.IsTrue)
	}
}
