package gate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/gate"
)

// This file compares the adaptive gate with the baseline over the same
// arrivals. The bounds are targets, not measured values.

const compareSeeds = 5

// TestFloodingAccount checks that while one account floods the gate, another that
// needs a fifth of the slots gets nearly all of its work done and waits about one
// service time, whichever versions of the endpoints the two request.
func TestFloodingAccount(t *testing.T) {
	for _, test := range []struct {
		name         string
		flood, small fescuelatch.VersionID
		seeds        uint64
	}{
		{"one version", testVersion, testVersion, compareSeeds},
		{"an earlier version", testVersion, nextVersion, 1},
		{"a later version", nextVersion, testVersion, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range test.seeds {
				checkFlood(t, seed, test.flood, test.small)
			}
		})
	}
}

func checkFlood(t *testing.T, seed uint64, flooded, wanted fescuelatch.VersionID) {
	c := qt.New(t)
	run := func(g fescuelatch.Gate) *client {
		b := newTestbed(g, seed, 4, 8, 2)
		small := &client{account: "small", version: wanted, rate: 12, from: 20 * time.Second, deadline: 10 * time.Second}
		b.clients = []*client{{account: "flood", version: flooded, rate: 95, from: 0, deadline: 30 * time.Second}, small}
		b.run(80 * time.Second)
		return small
	}
	fair := run(gate.NewAdaptive(gate.Settings{ReportLag: reportLag + reportInterval}))
	baseline := run(new(gate.Fixed))
	t.Logf("seed %d: adaptive answered %d of %d, median wait %v, 99th percentile %v", seed, fair.answered, fair.offered, fair.waitQuantile(0.5), fair.waitQuantile(0.99))
	t.Logf("seed %d: fixed    answered %d of %d, median wait %v, 99th percentile %v", seed, baseline.answered, baseline.offered, baseline.waitQuantile(0.5), baseline.waitQuantile(0.99))
	c.Check(float64(fair.answered) >= 0.95*float64(fair.offered), qt.IsTrue)
	c.Check(fair.waitQuantile(0.99) <= serviceMin+serviceSpread, qt.IsTrue)
	c.Check(fair.waitQuantile(0.5) < baseline.waitQuantile(0.5), qt.IsTrue)
}

// TestColdStartCrashLoop checks that engines which restart cold without notice do
// not crash repeatedly, as they do with the baseline.
func TestColdStartCrashLoop(t *testing.T) {
	c := qt.New(t)
	run := func(g fescuelatch.Gate, seed uint64) (*testbed, int) {
		b := newTestbed(g, seed, 4, 8, 2)
		b.clients = []*client{
			{account: "large", rate: 35, deadline: 5 * time.Second},
			{account: "small", rate: 5, deadline: 5 * time.Second},
		}
		b.run(30 * time.Second)
		b.restartCold(b.engines[0])
		b.restartCold(b.engines[1])
		b.run(30 * time.Second)
		crashes := 0
		for _, e := range b.engines {
			crashes += e.crashes
		}
		return b, crashes
	}
	for seed := range uint64(compareSeeds) {
		adaptive, crashes := run(gate.NewAdaptive(gate.Settings{ReportLag: reportLag + reportInterval}), seed)
		fixed, fixedCrashes := run(new(gate.Fixed), seed)
		t.Logf("seed %d: adaptive: %d engine crashes, %d attempts answered, %d broken", seed, crashes, answered(adaptive), broken(adaptive))
		t.Logf("seed %d: fixed:    %d engine crashes, %d attempts answered, %d broken", seed, fixedCrashes, answered(fixed), broken(fixed))
		c.Check(crashes, qt.Equals, 0)
		c.Check(answered(adaptive) >= answered(fixed), qt.IsTrue)
	}
}

// TestRefusedOnArrival checks that engines which ramp up under overload get only work
// that ends in time, and that nearly all other work is refused on arrival rather
// than at its deadline.
func TestRefusedOnArrival(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(compareSeeds) {
		b := newTestbed(gate.NewAdaptive(gate.Settings{ReportLag: reportLag + reportInterval}), seed, 2, 32, 8)
		l := &client{account: "daily", rate: 50, deadline: 3 * time.Second}
		b.clients = []*client{l}
		b.run(10 * time.Second)
		t.Logf("seed %d: %d of %d answered, %d late; %d refused, %d of them after a wait", seed, l.answered, l.offered, l.late, l.refused, l.refusedAfterWait)
		c.Check(l.late, qt.Equals, 0)
		c.Check(l.refusedAfterWait*10 <= l.refused, qt.IsTrue)
		c.Check(l.answered*3 >= l.offered, qt.IsTrue)
	}
}

// TestUnreportedColdStart checks that an engine which becomes cold but continues its
// work crashes at most once, before any report shows that it is cold.
func TestUnreportedColdStart(t *testing.T) {
	c := qt.New(t)
	run := func(g fescuelatch.Gate, seed uint64) int {
		b := newTestbed(g, seed, 4, 8, 2)
		b.clients = []*client{{account: "large", rate: 12, deadline: 5 * time.Second}}
		b.run(30 * time.Second)
		b.engines[0].coldUntil = b.now.Add(coldTime)
		b.run(20 * time.Second)
		return b.engines[0].crashes
	}
	for seed := range uint64(compareSeeds) {
		crashes := run(gate.NewAdaptive(gate.Settings{ReportLag: reportLag + reportInterval}), seed)
		baseline := run(new(gate.Fixed), seed)
		t.Logf("seed %d: engine crashed %d times with adaptive, %d with fixed", seed, crashes, baseline)
		c.Check(crashes <= 1, qt.IsTrue)
	}
}

// TestGradualReturn checks that starts of queued work are spread out when endpoints
// that were out return.
func TestGradualReturn(t *testing.T) {
	c := qt.New(t)
	run := func(g fescuelatch.Gate, seed uint64) int {
		b := newTestbed(g, seed, 4, 8, 2)
		b.clients = []*client{{account: "large", rate: 40, deadline: 8 * time.Second}}
		b.run(20 * time.Second)
		b.setOut(true)
		b.run(5 * time.Second)
		b.setOut(false)
		before := len(b.starts)
		b.run(time.Second)
		return maxSum(b.starts[before:], int(100*time.Millisecond/engineTick))
	}
	for seed := range uint64(compareSeeds) {
		spread := run(gate.NewAdaptive(gate.Settings{ReportLag: reportLag + reportInterval}), seed)
		baseline := run(new(gate.Fixed), seed)
		t.Logf("seed %d: at most %d starts in 100ms with adaptive, %d with fixed", seed, spread, baseline)
		c.Check(spread <= 4*2, qt.IsTrue) // the cold slots of all
	}
}

func (b *testbed) setOut(out bool) {
	// One endpoint stays available, so that work is queued.
	for _, e := range b.engines[1:] {
		e.owned.Out = out
	}
	b.own()
}

// maxSum returns the largest sum of n consecutive numbers.
func maxSum(ns []int, n int) int {
	best := 0
	for i := range ns {
		sum := 0
		for _, v := range ns[i:min(i+n, len(ns))] {
			sum += v
		}
		best = max(best, sum)
	}
	return best
}

func answered(b *testbed) int {
	n := 0
	for _, c := range b.clients {
		n += c.answered
	}
	return n
}

func broken(b *testbed) int {
	n := 0
	for _, c := range b.clients {
		n += c.broken
	}
	return n
}
