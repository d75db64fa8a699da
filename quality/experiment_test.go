package quality

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// seeds is the number of seeds of each experiment.
const seeds = 5

// fleet is a set of models that exchange evidence after each round. In a round,
// each model that uses the version receives one rating.
type fleet struct {
	models []*Model
	now    time.Time
	rated  int
	// fullTraffic sends suspect versions all requests, so that delays are
	// measured in ratings.
	fullTraffic bool
}

func newFleet(n int, s Settings) *fleet {
	f := &fleet{now: epoch, fullTraffic: true}
	for i := range n {
		m := New(fescuelatch.Incarnation(fmt.Sprintf("daemon-%03d", i)), s)
		m.Configure(epoch, versions[1:])
		f.models = append(f.models, m)
	}
	return f
}

// suspectShare is the share of requests sent to a suspect version.
const suspectShare = 0.05

// round rates one answer at each model that uses the version.
func (f *fleet) round(r *rand.Rand, p float64) {
	f.now = f.now.Add(time.Second)
	var all []fescuelatch.Evidence
	for _, m := range f.models {
		h := m.Health(f.now, "triage@small")
		if h == fescuelatch.HealthGood || f.fullTraffic && h != fescuelatch.HealthQuarantined || h == fescuelatch.HealthSuspect && r.Float64() < suspectShare {
			m.ObserveRating(f.now, "triage@small", draw(r, p))
			f.rated++
		}
		all = append(all, m.Evidence(f.now)...)
	}
	for _, m := range f.models {
		m.Merge(f.now, all)
	}
}

// all reports whether all models have the verdict h.
func (f *fleet) all(h fescuelatch.Health) bool {
	return !slices.ContainsFunc(f.models, func(m *Model) bool { return m.Health(f.now, "triage@small") != h })
}

// quarantined returns the number of models that quarantine the version.
func (f *fleet) quarantined() int {
	n := 0
	for _, m := range f.models {
		if m.Health(f.now, "triage@small") == fescuelatch.HealthQuarantined {
			n++
		}
	}
	return n
}

// TestFalseAlarms counts quarantines of a version at the lowest tolerated quality
// and compares them with the configured bound. It uses a high rate, because the
// default would raise no alarm within the test.
func TestFalseAlarms(t *testing.T) {
	const rate, quality = 1e-3, 0.9 - defaultTolerance
	tests := []struct{ daemons, rounds int }{{1, 40000}, {8, 5000}, {52, 100}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.daemons), func(t *testing.T) {
			alarms := 0
			for seed := range uint64(seeds) {
				r := rand.New(rand.NewPCG(seed, 2))
				f := newFleet(test.daemons, Settings{QuarantineRate: rate})
				for range test.rounds {
					f.round(r, quality)
					if f.quarantined() > 0 {
						alarms++
						f = newFleet(test.daemons, Settings{QuarantineRate: rate})
					}
				}
			}
			ratings := seeds * test.daemons * test.rounds
			bound := rate * float64(ratings)
			t.Logf("%d daemons, %d ratings, seeds 0 to %d: %d false alarms, bound %.0f", test.daemons, ratings, seeds-1, alarms, bound)
			qt.Assert(t, float64(alarms) <= bound, qt.IsTrue)
		})
	}
}

// TestDegradation bounds the ratings at each daemon until all daemons quarantine
// a version whose quality falls from 0.9 to 0.5. A fleet needs hardly more
// ratings in total than one daemon.
func TestDegradation(t *testing.T) {
	const warmup = 50 // ratings at each daemon
	tests := []struct{ daemons, limit, trials int }{{1, 100, 20}, {8, 12, 20}, {52, 3, seeds}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.daemons), func(t *testing.T) {
			var delays []int
			for seed := range uint64(test.trials) {
				r := rand.New(rand.NewPCG(seed, 1))
				f := newFleet(test.daemons, Settings{})
				for range warmup {
					f.round(r, 0.9)
				}
				qt.Assert(t, f.quarantined(), qt.Equals, 0)
				n := 0
				for f.quarantined() < test.daemons && n <= test.limit {
					f.round(r, 0.5)
					n++
				}
				delays = append(delays, n)
			}
			slices.Sort(delays)
			t.Logf("%d daemons, seeds 0 to %d: ratings at each daemon: median %d, largest %d", test.daemons, test.trials-1, delays[test.trials/2], delays[test.trials-1])
			qt.Assert(t, delays[test.trials-1] <= test.limit, qt.IsTrue)
		})
	}
}

// TestProbation bounds the shares of bad and of good versions that pass a
// probation within a number of ratings.
func TestProbation(t *testing.T) {
	const trials, ratings = 200, 300
	passed := func(p float64, seed uint64) bool {
		r := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(1, Settings{})
		for f.quarantined() == 0 {
			f.round(r, 0.3)
		}
		f.now = f.now.Add(defaultQuarantine)
		for range ratings {
			f.round(r, p)
			if h := f.models[0].Health(f.now, "triage@small"); h != fescuelatch.HealthSuspect {
				return h == fescuelatch.HealthGood
			}
		}
		return false
	}
	count := func(p float64) int {
		n := 0
		for seed := range uint64(trials) {
			if passed(p, seed) {
				n++
			}
		}
		return n
	}
	bad, good := count(0.5), count(0.92)
	t.Logf("of %d, seeds 0 to %d: %d bad and %d good versions pass", trials, trials-1, bad, good)
	qt.Check(t, bad <= trials*defaultMissRate, qt.IsTrue)
	qt.Check(t, good >= trials*9/10, qt.IsTrue)
}

// TestRecovery runs a version that is bad for half an hour and then fixed. It may
// give few answers while it is bad, and must return in time: quarantines double,
// so that the last one is as long as all before it.
func TestRecovery(t *testing.T) {
	const bad, limit = 30 * time.Minute, time.Hour
	for _, daemons := range []int{1, 8} {
		for seed := range uint64(seeds) {
			r := rand.New(rand.NewPCG(seed, 6))
			f := newFleet(daemons, Settings{})
			f.fullTraffic = false
			for range 200 {
				f.round(r, 0.9)
			}
			f.rated = 0
			for range int(bad / time.Second) {
				f.round(r, 0.5)
			}
			answers, fixed := f.rated, f.now
			for !f.all(fescuelatch.HealthGood) && f.now.Sub(fixed) <= limit {
				f.round(r, 0.9)
			}
			t.Logf("%d daemons, seed %d: %d answers while bad, %v until good again", daemons, seed, answers, f.now.Sub(fixed))
			qt.Check(t, answers <= daemons*int(bad/time.Second)/10, qt.IsTrue)
			qt.Check(t, f.now.Sub(fixed) <= limit, qt.IsTrue)
		}
	}
}

// TestSlowProbation requires a good version to return within two hours, the
// longest quarantine, with only one rating every two minutes.
func TestSlowProbation(t *testing.T) {
	const interval, limit = 2 * time.Minute, 2 * time.Hour
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 9))
		f := newFleet(1, Settings{})
		for f.quarantined() == 0 {
			f.round(r, 0)
		}
		m, start := f.models[0], f.now
		for m.Health(f.now, "triage@small") != fescuelatch.HealthGood && f.now.Sub(start) <= limit {
			f.now = f.now.Add(interval)
			m.ObserveRating(f.now, "triage@small", draw(r, 0.9))
		}
		t.Logf("seed %d: good again after %v", seed, f.now.Sub(start))
		qt.Check(t, f.now.Sub(start) <= limit, qt.IsTrue)
	}
}

func BenchmarkObserveRating(b *testing.B) {
	m := newFleet(1, Settings{}).models[0]
	b.ReportAllocs()
	for i := range b.N {
		m.ObserveRating(epoch.Add(time.Duration(i)*time.Second), "triage@small", 1)
	}
}

func BenchmarkEstimate(b *testing.B) {
	f := newFleet(1, Settings{})
	m := f.models[0]
	var all []fescuelatch.Evidence
	for _, p := range newFleet(1100, Settings{}).models {
		all = append(all, p.Evidence(epoch)...)
	}
	m.Merge(epoch, all)
	b.ReportAllocs()
	for i := range b.N {
		m.Estimate(epoch.Add(time.Duration(i)*time.Millisecond), "triage@small")
	}
}

// BenchmarkMerge merges new evidence of one daemon into that of 1,100 others and
// evaluates the verdict.
func BenchmarkMerge(b *testing.B) {
	m := newFleet(1, Settings{}).models[0]
	for _, p := range newFleet(1100, Settings{}).models {
		m.Merge(epoch, p.Evidence(epoch))
	}
	e := m.records["triage@small"].peers[500]
	b.ReportAllocs()
	for i := range b.N {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		e.Updated = now
		m.Merge(now, []fescuelatch.Evidence{e})
		m.Health(now, "triage@small")
	}
}
