package quality

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests and compares samplers.

const (
	answerInterval   = 250 * time.Millisecond // at each daemon
	ratingLag        = time.Second
	exchangeInterval = 2 // answers
)

// TestBudget checks how a full budget of 10 ratings is spent: half of it is
// reserved for versions in doubt, and ratings that plans need come first.
func TestBudget(t *testing.T) {
	known := fescuelatch.Estimate{Samples: minKnownSamples}
	good := fescuelatch.VersionEvidence{Estimate: known, Health: fescuelatch.HealthGood}
	doubted, fresh, suspect, quarantined := good, good, good, good
	doubted.Doubt = 0.5
	fresh.Estimate.Samples = 0
	suspect.Health, quarantined.Health = fescuelatch.HealthSuspect, fescuelatch.HealthQuarantined
	tests := []struct {
		name  string
		k     fescuelatch.VersionEvidence
		u     float64
		spent int
		wait  time.Duration
		want  int
	}{
		{"known and good", good, 0.1, 0, 0, 5},
		{"above the base share", good, 0.3, 0, 0, 0},
		{"in doubt", doubted, 0.5, 0, 0, 7},
		{"new", fresh, 0.99, 0, 0, 10},
		{"suspect", suspect, 0.99, 0, 0, 10},
		{"quarantined", quarantined, 0.3, 0, 0, 0},
		{"spent by plans", suspect, 0.99, 12, 0, 0},
		{"refilled", suspect, 0.99, 12, 5 * time.Second, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &AdaptiveShare{Base: 0.2, Rate: 1}
			for range test.spent {
				s.Spend(epoch)
			}
			got := 0
			for range 20 {
				if s.Sample(epoch.Add(test.wait), test.k, test.u) {
					got++
				}
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// service is a fleet that answers requests with one version and rates some of its
// answers late.
type service struct {
	*fleet
	samplers []fescuelatch.Sampler
	pending  [][]pendingRating // by daemon
	answers  int
	bad      int
}

type pendingRating struct {
	due   time.Time
	score float64
}

func newService(n int, sampler func() fescuelatch.Sampler, s Settings) *service {
	v := &service{fleet: newFleet(n, s), pending: make([][]pendingRating, n)}
	for range n {
		v.samplers = append(v.samplers, sampler())
	}
	return v
}

// run answers requests with quality p for d or until stop.
func (v *service) run(r *rand.Rand, p float64, d time.Duration, stop func() bool) {
	for k := 0; time.Duration(k)*answerInterval < d && !stop(); k++ {
		v.now = v.now.Add(answerInterval)
		for i := range v.models {
			v.answer(r, i, p)
		}
		if k%exchangeInterval == 0 {
			v.exchange()
		}
	}
}

// answer answers a request at daemon i and records the ratings that are due.
func (v *service) answer(r *rand.Rand, i int, p float64) {
	m := v.models[i]
	for len(v.pending[i]) > 0 && !v.pending[i][0].due.After(v.now) {
		m.ObserveRating(v.now, "triage@small", v.pending[i][0].score)
		v.pending[i] = v.pending[i][1:]
	}
	route, u, score := r.Float64(), r.Float64(), draw(r, p)
	h := m.Health(v.now, "triage@small")
	if h == fescuelatch.HealthQuarantined || h == fescuelatch.HealthSuspect && route >= suspectShare {
		return
	}
	v.answers++
	v.bad += int(1 - score)
	k := fescuelatch.VersionEvidence{Estimate: m.Estimate(v.now, "triage@small"), Health: h, Doubt: m.Doubt(v.now, "triage@small")}
	if v.samplers[i].Sample(v.now, k, u) {
		v.rated++
		v.pending[i] = append(v.pending[i], pendingRating{v.now.Add(ratingLag), score})
	}
}

func (v *service) exchange() {
	var all []fescuelatch.Evidence
	for _, m := range v.models {
		all = append(all, m.Evidence(v.now)...)
	}
	for _, m := range v.models {
		m.Merge(v.now, all)
	}
}

// exposure holds the bad answers of a degraded version, the time until all
// daemons quarantined it, and the share of all answers that were rated.
type exposure struct {
	bad      int
	duration time.Duration
	share    float64
	// trials is the number of added trials.
	trials int
}

func (e *exposure) add(o exposure) {
	e.bad += o.bad
	e.duration += o.duration
	e.share += o.share
	e.trials++
}

func (e exposure) String() string {
	n := float64(e.trials)
	return fmt.Sprintf("mean %.1f bad answers in %.1f s, %.3f rated", float64(e.bad)/n, e.duration.Seconds()/n, e.share/n)
}

func measureExposure(seed uint64, daemons int, sampler func() fescuelatch.Sampler) exposure {
	r := rand.New(rand.NewPCG(seed, 11))
	v := newService(daemons, sampler, Settings{})
	v.run(r, 0.9, 5*time.Minute, func() bool { return false })
	v.bad = 0
	degraded := v.now
	v.run(r, 0.5, 20*time.Minute, func() bool { return v.quarantined() == daemons })
	return exposure{bad: v.bad, duration: v.now.Sub(degraded), share: float64(v.rated) / float64(v.answers)}
}

// TestAdaptiveShare requires fewer bad answers of adaptive sampling than of a
// fixed share with as many ratings, over 5 minutes at quality 0.9 and the time at
// 0.5 until all daemons quarantine the version.
func TestAdaptiveShare(t *testing.T) {
	const trials, base, rate = 10, 0.1, 5
	for _, daemons := range []int{1, 8} {
		var adaptive, fixed exposure
		for seed := range uint64(trials) {
			a := measureExposure(seed, daemons, func() fescuelatch.Sampler { return &AdaptiveShare{Base: base, Rate: rate} })
			f := measureExposure(seed, daemons, func() fescuelatch.Sampler { return FixedShare{a.share} })
			adaptive.add(a)
			fixed.add(f)
		}
		t.Logf("%d daemons, seeds 0 to %d: adaptive %v; fixed %v", daemons, trials-1, adaptive, fixed)
		qt.Check(t, adaptive.bad < fixed.bad, qt.IsTrue)
		qt.Check(t, adaptive.share <= 1.01*fixed.share, qt.IsTrue)
	}
}

// TestFalseAlarmsAdaptive counts quarantines of a version at the lowest tolerated
// quality under adaptive sampling, and compares them with the configured bound.
func TestFalseAlarmsAdaptive(t *testing.T) {
	const rate, quality, daemons, length = 1e-3, 0.9 - defaultTolerance, 8, 10 * time.Minute
	sampler := func() fescuelatch.Sampler { return &AdaptiveShare{Base: 0.1, Rate: 5} }
	alarms, ratings := 0, 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 12))
		for range 2 {
			v := newService(daemons, sampler, Settings{QuarantineRate: rate})
			v.run(r, quality, length, func() bool { return v.quarantined() > 0 })
			alarms += min(1, v.quarantined())
			ratings += v.rated
		}
	}
	t.Logf("%d daemons, %d ratings, seeds 0 to %d: %d false alarms, bound %.0f", daemons, ratings, seeds-1, alarms, rate*float64(ratings))
	qt.Assert(t, float64(alarms) <= rate*float64(ratings), qt.IsTrue)
}
