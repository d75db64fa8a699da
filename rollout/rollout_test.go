package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/chart"
	"fescuelatch/rollout"
)

// This file tests rollouts of a release that is good, or bad in one of several
// ways.

var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// release simulates a release of some quality.
type release struct {
	name string
	// bad returns the share of bad answers on a route, given the elapsed
	// fraction of the rollout and the release's share of the requests.
	bad  func(progress float64, route string, share float64) float64
	slow bool
}

const (
	baselineLatency  = 150 * time.Millisecond
	baselineBadShare = 0.02
	exposure         = 0.15
	duration         = 24 * time.Second
	rate             = 100 // requests a second over all daemons
	daemons          = 6
)

// simulate runs a complete rollout and returns its last state, the release's share
// of all requests, and the number of its bad answers.
func simulate(r release, seed uint64) (chart.State, float64, int) {
	random := rand.New(rand.NewPCG(seed, 7))
	order := fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: duration, Revision: 5}
	fleet := make([]*rollout.Rollout, daemons)
	for i := range fleet {
		fleet[i] = rollout.New(rollout.Settings{Exposure: exposure}, order, epoch)
	}
	sent, exposed, bad := 0, 0, 0
	const step = time.Second / rate
	for at := time.Duration(0); at < duration; at += step {
		now := epoch.Add(at)
		d := random.IntN(daemons)
		f := fleet[d]
		route := []string{"review", "triage", "label"}[random.IntN(3)]
		a := rollout.Attempt{Route: fescuelatch.RouteID(route), Release: "v1", Outcome: rollout.OutcomeAnswered, Latency: baselineLatency}
		share := baselineBadShare
		if random.Float64() < f.Share(now) {
			a.Release = "v2"
			exposed++
			share = max(share, r.bad(float64(at)/float64(duration), route, f.Share(now)))
		}
		if random.Float64() < share {
			if r.slow {
				a.Latency = 8 * baselineLatency
			} else {
				a.Outcome = rollout.OutcomeFailed
			}
			if a.Release == "v2" {
				bad++
			}
		}
		sent++
		f.Observe(a)
		if sent%(rate/2) == 0 { // Exchange evidence twice a second.
			exchange(fleet, now)
		}
	}
	return fleet[0].State(), float64(exposed) / float64(sent), bad
}

func exchange(fleet []*rollout.Rollout, now time.Time) {
	for i, f := range fleet {
		for j, o := range fleet {
			if i != j {
				f.Merge(fescuelatch.VMID(rune('a'+j)), o.Evidence())
			}
		}
	}
	decideToWiden(fleet, now)
	for _, f := range fleet {
		f.Advance(now)
		f.ApplyRecorded(f.Verdict(now))
	}
}

// decideToWiden has all daemons widen at the same time once the first one is ready.
func decideToWiden(fleet []*rollout.Rollout, now time.Time) {
	if !fleet[0].Ready() || fleet[0].Widening() > 0 {
		return
	}
	at := fleet[0].WideningStart(now)
	for _, f := range fleet {
		f.AdoptWidening(at)
	}
}

func TestBadReleases(t *testing.T) {
	always := func(share float64) func(float64, string, float64) float64 {
		return func(float64, string, float64) float64 { return share }
	}
	tests := []release{
		{name: "half of the answers fail", bad: always(0.5)},
		{name: "a third of the answers is slow", bad: always(0.3), slow: true},
		{name: "on one route only", bad: func(_ float64, route string, _ float64) float64 {
			if route == "label" {
				return 0.5
			}
			return 0
		}},
		{name: "after a while", bad: func(progress float64, _ string, _ float64) float64 {
			if progress > 0.3 {
				return 0.5
			}
			return 0
		}},
		{name: "under load", bad: func(_ float64, _ string, share float64) float64 {
			if share > 0.3 {
				return 0.5
			}
			return 0
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(20) {
				state, share, bad := simulate(test, seed)
				c.Check(state, qt.Equals, chart.RolloutRolledBack, qt.Commentf("seed %d", seed))
				c.Check(share <= exposure, qt.IsTrue, qt.Commentf("seed %d: the release got %.3f of all requests", seed, share))
				c.Check(bad < 100, qt.IsTrue, qt.Commentf("seed %d: %d bad answers", seed, bad))
			}
		})
	}
}

func TestGoodRelease(t *testing.T) {
	c := qt.New(t)
	completed := 0
	const seeds = 50
	for seed := range uint64(seeds) {
		state, _, _ := simulate(release{bad: func(float64, string, float64) float64 { return baselineBadShare }}, seed)
		if state == chart.RolloutCompleted {
			completed++
		}
	}
	c.Check(completed >= seeds*98/100, qt.IsTrue, qt.Commentf("%d of %d completed", completed, seeds))
}

// TestLateDaemon checks that a daemon that starts during a rollout adopts the
// elapsed time, and thereby the stage, of the others.
func TestLateDaemon(t *testing.T) {
	c := qt.New(t)
	order := fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: duration, Revision: 5}
	r := rollout.New(rollout.Settings{Exposure: exposure}, order, epoch)
	r.AdoptElapsed(epoch, duration*3/4)
	r.AdoptWidening(duration * 56 / 100)
	r.Advance(epoch)
	c.Check(r.State(), qt.Equals, chart.RolloutMoved)
	c.Check(r.Share(epoch), qt.Equals, 1.0)
}

// TestOtherOrder checks that evidence on an earlier order is ignored.
func TestOtherOrder(t *testing.T) {
	c := qt.New(t)
	order := fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: duration, Revision: 5}
	r := rollout.New(rollout.Settings{Exposure: exposure}, order, epoch)
	r.Merge("other", rollout.Evidence{Revision: 4, Target: map[fescuelatch.RouteID]rollout.Count{"label": {Answers: 50, Bad: 50}}})
	c.Check(r.Bad(), qt.IsFalse)
}

// TestNext checks that each change of the release's share has taken effect after
// the delay from Next, for different durations.
func TestNext(t *testing.T) {
	c := qt.New(t)
	for _, within := range []time.Duration{24 * time.Second, 7 * time.Second, 61*time.Second + 37, 10 * time.Minute} {
		order := fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: within, Revision: 5}
		r := rollout.New(rollout.Settings{Exposure: exposure}, order, epoch)
		r.AdoptWidening(within * 6 / 10)
		changes := 0
		for now := epoch; r.State() != chart.RolloutMoved; {
			share, sessions := r.Share(now), r.Sessions(now)
			now = now.Add(r.Next(now))
			r.Advance(now)
			if r.Share(now) != share || r.Sessions(now) != sessions {
				changes++
			}
		}
		// The trial, the sessions, and the steps above the trial's share.
		c.Check(changes, qt.Equals, 2+17, qt.Commentf("%v", within))
	}
}

// TestAttemptsWithoutAnswer checks that attempts that never answered count as evidence
// unless they were given up early or their endpoint was not to blame.
func TestAttemptsWithoutAnswer(t *testing.T) {
	tests := []struct {
		name    string
		attempt rollout.Attempt
		bad     bool
	}{
		{"answered in time", rollout.Attempt{Outcome: rollout.OutcomeAnswered, Latency: baselineLatency}, false},
		{"answered late", rollout.Attempt{Outcome: rollout.OutcomeAnswered, Latency: 8 * baselineLatency}, true},
		{"failed", rollout.Attempt{Outcome: rollout.OutcomeFailed}, true},
		{"cut", rollout.Attempt{Outcome: rollout.OutcomeCut}, true},
		{"given up early", rollout.Attempt{Outcome: rollout.OutcomeGivenUp, Latency: baselineLatency}, false},
		{"given up late", rollout.Attempt{Outcome: rollout.OutcomeGivenUp, Latency: 8 * baselineLatency}, true},
	}
	for _, test := range tests {
		r := rollout.New(rollout.Settings{Exposure: exposure}, fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: duration, Revision: 5}, epoch)
		for range 20 {
			r.Observe(rollout.Attempt{Release: "v1", Outcome: rollout.OutcomeAnswered, Latency: baselineLatency})
		}
		for range 10 {
			test.attempt.Release = "v2"
			r.Observe(test.attempt)
		}
		qt.Check(t, r.Bad(), qt.Equals, test.bad, qt.Commentf("%s", test.name))
	}
}

// TestWideningWithoutEvidence guards against a rollout that goes on by the clock while
// little is known of its release.
func TestWideningWithoutEvidence(t *testing.T) {
	tests := []struct {
		name     string
		evidence rollout.Evidence
		ready    bool
	}{
		{"none", rollout.Evidence{}, false},
		{"few answers", rollout.Evidence{Target: map[fescuelatch.RouteID]rollout.Count{"label": {Answers: 9}}}, false},
		{"answers", rollout.Evidence{Target: map[fescuelatch.RouteID]rollout.Count{"label": {Answers: 10}}}, true},
		{"answers without the pace that the others show", rollout.Evidence{
			Target: map[fescuelatch.RouteID]rollout.Count{"label": {Answers: 30}}, TargetPaces: rollout.Count{Answers: 3}, OthersPaces: rollout.Count{Answers: 40},
		}, false},
		{"answers with their pace", rollout.Evidence{
			Target: map[fescuelatch.RouteID]rollout.Count{"label": {Answers: 30}}, TargetPaces: rollout.Count{Answers: 4}, OthersPaces: rollout.Count{Answers: 40},
		}, true},
		{"bad answers", rollout.Evidence{Target: map[fescuelatch.RouteID]rollout.Count{"label": {Answers: 30, Bad: 20}}}, false},
	}
	for _, test := range tests {
		c := qt.New(t)
		r := rollout.New(rollout.Settings{Exposure: exposure}, fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: duration, Revision: 5}, epoch)
		test.evidence.Revision = 5
		r.Merge("other", test.evidence)
		c.Check(r.Ready(), qt.Equals, test.ready, qt.Commentf("%s", test.name))
		r.Advance(epoch.Add(2 * duration))
		c.Check(r.Share(epoch.Add(2*duration)) <= 2*exposure, qt.IsTrue, qt.Commentf("%s", test.name))
		c.Check(r.Verdict(epoch.Add(2*duration)), qt.Not(qt.Equals), fescuelatch.RolloutCompleted, qt.Commentf("%s", test.name))
	}
}

// TestLateEvidenceSkipsSteps guards against a release that gets all requests at once
// because its evidence was late.
func TestLateEvidenceSkipsSteps(t *testing.T) {
	c := qt.New(t)
	r := rollout.New(rollout.Settings{Exposure: exposure}, fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Duration: duration, Revision: 5}, epoch)
	now := epoch.Add(duration * 8 / 10)
	r.Advance(now)
	r.Merge("other", rollout.Evidence{Revision: 5, Target: map[fescuelatch.RouteID]rollout.Count{"label": {Answers: 50}}})
	c.Assert(r.Ready(), qt.IsTrue)
	r.AdoptWidening(r.WideningStart(now))
	share, steps := r.Share(now), 0
	for r.State() != chart.RolloutMoved {
		now = now.Add(r.Next(now))
		r.Advance(now)
		c.Assert(r.Share(now) <= share+0.051 || r.State() == chart.RolloutMoved, qt.IsTrue, qt.Commentf("%.2f after %.2f", r.Share(now), share))
		if r.Share(now) > share {
			steps++
		}
		share = r.Share(now)
	}
	c.Check(steps >= 16, qt.IsTrue, qt.Commentf("%d steps", steps))
	c.Check(r.Verdict(now), qt.Equals, fescuelatch.RolloutInProgress)
	c.Check(r.Verdict(now.Add(duration/5)), qt.Equals, fescuelatch.RolloutCompleted)
}
