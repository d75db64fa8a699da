package quality

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

var versions = []fescuelatch.Version{
	{ID: "triage@base", Model: "triage", Quality: 0.95},
	{ID: "triage@small", Model: "triage", Quality: 0.9},
}

func newModel(origin fescuelatch.Incarnation) *Model {
	m := New(origin, Settings{})
	m.Configure(epoch, versions)
	return m
}

// draw returns 1 with probability p, otherwise 0.
func draw(r *rand.Rand, p float64) float64 {
	if r.Float64() < p {
		return 1
	}
	return 0
}

func TestEstimate(t *testing.T) {
	tests := []struct {
		name      string
		version   fescuelatch.VersionID
		good, bad int
		want      float64
	}{
		{"prior", "triage@small", 0, 0, 0.9},
		{"better than expected", "triage@small", 200, 0, 0.98},
		{"worse than expected", "triage@small", 100, 100, 0.58},
		{"unknown", "triage@other", 10, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := newModel("a")
			for range test.good {
				m.ObserveRating(epoch, test.version, 1)
			}
			for range test.bad {
				m.ObserveRating(epoch, test.version, 0)
			}
			e := m.Estimate(epoch, test.version)
			c.Assert(math.Abs(e.Mean-test.want) < 1e-9, qt.IsTrue, qt.Commentf("%+v", e))
			c.Assert(e.Low <= e.Mean && e.Mean <= e.High, qt.IsTrue, qt.Commentf("%+v", e))
		})
	}
}

func TestLifeCycle(t *testing.T) {
	c := qt.New(t)
	m, now := newModel("a"), epoch
	rate := func(n int, score float64) fescuelatch.Health {
		for range n {
			now = now.Add(time.Second)
			m.ObserveRating(now, "triage@small", score)
		}
		return m.Health(now, "triage@small")
	}
	c.Assert(rate(100, 1), qt.Equals, fescuelatch.HealthGood)
	c.Assert(rate(8, 0), qt.Equals, fescuelatch.HealthSuspect)
	c.Assert(rate(8, 0), qt.Equals, fescuelatch.HealthQuarantined)
	now = now.Add(defaultQuarantine)
	c.Assert(m.Health(now, "triage@small"), qt.Equals, fescuelatch.HealthSuspect)
	c.Assert(rate(10, 0), qt.Equals, fescuelatch.HealthQuarantined)
	now = now.Add(defaultQuarantine)
	c.Assert(m.Health(now, "triage@small"), qt.Equals, fescuelatch.HealthQuarantined)
	now = now.Add(defaultQuarantine)
	c.Assert(m.Health(now, "triage@small"), qt.Equals, fescuelatch.HealthSuspect)
	c.Assert(rate(50, 1), qt.Equals, fescuelatch.HealthGood)
	c.Assert(m.Health(now, "triage@base"), qt.Equals, fescuelatch.HealthGood)
}

func TestAttempts(t *testing.T) {
	broken := func(v fescuelatch.VersionID, e fescuelatch.EndpointID) fescuelatch.AttemptResult {
		return fescuelatch.AttemptResult{Version: v, Endpoint: e, Status: fescuelatch.AttemptBroken}
	}
	both := []fescuelatch.AttemptResult{broken("triage@base", "e2"), broken("triage@small", "e1")}
	tests := []struct {
		name    string
		results []fescuelatch.AttemptResult
		pause   time.Duration
		want    fescuelatch.Health
	}{
		{"failures of one version over time", []fescuelatch.AttemptResult{broken("triage@small", "e1")}, failureInterval, fescuelatch.HealthQuarantined},
		{"burst at one endpoint", []fescuelatch.AttemptResult{broken("triage@small", "e1")}, time.Millisecond, fescuelatch.HealthGood},
		{"all versions fail", both, failureInterval, fescuelatch.HealthGood},
		{"made by another daemon", []fescuelatch.AttemptResult{broken("triage@small", "")}, failureInterval, fescuelatch.HealthGood},
		{"not started", []fescuelatch.AttemptResult{{Version: "triage@small", Endpoint: "e1", Status: fescuelatch.AttemptNotStarted}}, failureInterval, fescuelatch.HealthGood},
		{"deadlines before the first token", []fescuelatch.AttemptResult{{Version: "triage@small", Endpoint: "e1", Status: fescuelatch.AttemptExpired}}, failureInterval, fescuelatch.HealthQuarantined},
		{"deadlines after the first token", []fescuelatch.AttemptResult{{
			Version: "triage@small", Endpoint: "e1", Status: fescuelatch.AttemptExpired, FirstToken: time.Millisecond,
		}}, failureInterval, fescuelatch.HealthGood},
		{"cancelled", []fescuelatch.AttemptResult{{Version: "triage@small", Endpoint: "e1", Status: fescuelatch.AttemptCancelled}}, failureInterval, fescuelatch.HealthGood},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m, now := newModel("a"), epoch
			for range 30 {
				now = now.Add(test.pause)
				for _, r := range test.results {
					m.ObserveAttempt(now, r)
				}
			}
			c.Assert(m.Health(now, "triage@small"), qt.Equals, test.want)
		})
	}
}

// TestMergeRatings checks that each rating of another daemon is counted once when
// evidence is repeated, out of order, restarted, or of a new origin.
func TestMergeRatings(t *testing.T) {
	evidence := func(since, updated int, ratio float64) fescuelatch.Evidence {
		return fescuelatch.Evidence{
			Origin: "b", Version: "triage@small", Since: epoch.Add(time.Duration(since) * time.Second),
			Updated: epoch.Add(time.Duration(updated) * time.Second), LogRatio: ratio,
		}
	}
	late := evidence(-9, 1, 3)
	late.Pooled = 2
	partitioned := evidence(0, 1, 3)
	partitioned.Pooled = 2
	tests := []struct {
		name string
		list []fescuelatch.Evidence
		want float64
	}{
		{"new origin", []fescuelatch.Evidence{evidence(0, 1, 3)}, 0},
		{"quarantined before this daemon started", []fescuelatch.Evidence{late}, 2},
		{"quarantined while this daemon was partitioned", []fescuelatch.Evidence{partitioned}, 2},
		{"growth", []fescuelatch.Evidence{evidence(0, 1, 3), evidence(0, 2, 5)}, 2},
		{"repeated", []fescuelatch.Evidence{evidence(0, 1, 3), evidence(0, 2, 5), evidence(0, 2, 5)}, 2},
		{"out of order", []fescuelatch.Evidence{evidence(0, 1, 3), evidence(0, 3, 6), evidence(0, 2, 5)}, 3},
		{"decrease", []fescuelatch.Evidence{evidence(0, 1, 3), evidence(0, 2, 5), evidence(0, 3, 1)}, 0},
		{"restarted", []fescuelatch.Evidence{evidence(0, 1, 3), evidence(5, 6, 1)}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel("a")
			m.Merge(epoch.Add(10*time.Second), test.list)
			qt.Assert(t, float64(m.records["triage@small"].pooledSum), qt.Equals, test.want)
		})
	}
}

// TestLateStart checks that a daemon that starts during a quarantine adopts it
// from the evidence of the others.
func TestLateStart(t *testing.T) {
	for _, daemons := range []int{1, 8, 52} {
		f := newFleet(daemons, Settings{})
		for f.quarantined() < daemons {
			f.round(rand.New(rand.NewPCG(7, 7)), 0)
		}
		for _, m := range f.models {
			m.ObserveRating(f.now, "triage@small", 1)
		}
		f.now = f.now.Add(defaultQuarantine - time.Second)
		late := New("late", Settings{})
		late.Configure(f.now, versions)
		for _, m := range f.models {
			late.Merge(f.now, m.Evidence(f.now))
		}
		qt.Check(t, late.Health(f.now, "triage@small"), qt.Equals, fescuelatch.HealthQuarantined, qt.Commentf("%d daemons", daemons))
	}
}
