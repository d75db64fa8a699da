package quality

import (
	"math"

	"gonum.org/v1/gonum/mathext"
)

// This file defines the change detector: log-likelihood ratios of single
// observations, the CUSUM statistic that sums them, and thresholds with a
// bounded rate of false alarms.

// Bounds on the probabilities that a test compares. They keep the likelihood
// ratios finite.
const (
	minProbability = 0.01
	maxProbability = 0.99
)

// ratioTest compares two probabilities of a good observation: the lowest
// tolerated one and a lower alternative. It holds the log-likelihood ratios of
// the alternative for a good and for a bad observation.
//
// Under every tolerated probability, the exponential of the ratio has a mean of
// at most 1. The bound also holds for scores between 0 and 1, because the
// exponential is convex.
type ratioTest struct {
	good, bad float64
}

// newRatioTest returns the test of p against the probability whose odds are
// lower by the factor oddsRatio.
func newRatioTest(p, oddsRatio float64) ratioTest {
	p = min(max(p, minProbability), maxProbability)
	odds := p / (1 - p) / oddsRatio
	q := odds / (1 + odds)
	return ratioTest{good: math.Log(q / p), bad: math.Log((1 - q) / (1 - p))}
}

// ratio returns the log-likelihood ratio of one observation with a score
// from 0 to 1.
func (t ratioTest) ratio(score float64) float64 {
	return score*t.good + (1-score)*t.bad
}

// sum returns the log-likelihood ratio of many observations.
func (t ratioTest) sum(good, bad float64) float64 { return good*t.good + bad*t.bad }

// cusum is Page's statistic: the largest sum of log-likelihood ratios over all
// intervals that end at the last observation. For a version that is not bad, it
// exceeds x with a probability of at most exp(-x) at any observation.
type cusum float64

func (c *cusum) add(ratio float64) { *c = max(0, *c+cusum(ratio)) }

// combine combines two statistics into one. The larger of two exceeds x with a
// probability of at most 2 exp(-x); subtracting ln 2 restores the bound of a
// single statistic.
func combine(a, b cusum) float64 {
	return max(0, float64(max(a, b))-math.Ln2)
}

// thresholds caches the threshold of the sum of n independent statistics for
// one rate of false alarms.
type thresholds struct {
	rate   float64
	values []float64
}

// at returns the level that the sum of n statistics exceeds with a
// probability of at most the rate. Each statistic is dominated by an
// exponential variable of mean 1, so their sum is dominated by a gamma
// variable of shape n.
func (t *thresholds) at(n int) float64 {
	n = max(n, 1)
	for len(t.values) < n {
		t.values = append(t.values, 0)
	}
	if t.values[n-1] == 0 {
		t.values[n-1] = mathext.GammaIncRegCompInv(float64(n), t.rate)
	}
	return t.values[n-1]
}
