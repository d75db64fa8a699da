package gate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/gate"
)

// This file compares the adaptive gate with the baseline over the same
// arrivals. The bounds are targets, not what was seen.

const compareSeeds = 5

// TestFloodingAccount checks that an account which floods the gate leaves
// another, which asks for a fifth of the slots, nearly all of its work and a
// wait of about one service time, whichever of the versions of the endpoints
// the two ask for.
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
		b := newBench(g, seed, 4, 8, 2)
		small := &client{account: "small", version: wanted, rate: 12, from: 20 * time.Second, deadline: 10 * time.Second}
		b.clients = []*client{{account: "flood", version: flooded, rate: 95, from: 0, deadline: 30 * time.Second}, small}
		b.run(80 * time.Second)
		return small
	}
	fair := run(gate.NewAdaptive(gate.Settings{ReportLag: reportLag + reportEvery}))
	plain := run(new(gate.Fixed))
	t.Logf("seed %d: adaptive answered %d of %d, median wait %v, 99 of 100 within %v", seed, fair.answered, fair.offered, fair.wait(0.5), fair.wait(0.99))
	t.Logf("seed %d: fixed    answered %d of %d, median wait %v, 99 of 100 within %v", seed, plain.answered, plain.offered, plain.wait(0.5), plain.wait(0.99))
	c.Check(float64(fair.answered) >= 0.95*float64(fair.offered), qt.IsTrue)
	c.Check(fair.wait(0.99) <= serviceMin+serviceSpread, qt.IsTrue)
	c.Check(fair.wait(0.5) < plain.wait(0.5), qt.IsTrue)
}

// TestColdStartStorm checks that engines which turn cold without a warning
// do not fall over again and again, as they do with the baseline.
func TestColdStartStorm(t *testing.T) {
	c := qt.New(t)
	run := func(g fescuelatch.Gate, seed uint64) (*bench, int) {
		b := newBench(g, seed, 4, 8, 2)
		b.clients = []*client{
			{account: "large", rate: 35, deadline: 5 * time.Second},
			{account: "small", rate: 5, deadline: 5 * time.Second},
		}
		b.run(30 * time.Second)
		b.chill(b.engines[0])
		b.chill(b.engines[1])
		b.run(30 * time.Second)
		falls := 0
		for _, e := range b.engines {
			falls += e.falls
		}
		return b, falls
	}
	for seed := range uint64(compareSeeds) {
		adaptive, falls := run(gate.NewAdaptive(gate.Settings{ReportLag: reportLag + reportEvery}), seed)
		fixed, fixedFalls := run(new(gate.Fixed), seed)
		t.Logf("seed %d: adaptive fell over %d times, answered %d, broke %d", seed, falls, answered(adaptive), broken(adaptive))
		t.Logf("seed %d: fixed    fell over %d times, answered %d, broke %d", seed, fixedFalls, answered(fixed), broken(fixed))
		c.Check(falls, qt.Equals, 0)
		c.Check(answered(adaptive) >= answered(fixed), qt.IsTrue)
	}
}

// TestGivenUpAtOnce checks that engines which ramp up under too much work are
// given only work that ends in time, and that nearly all of the rest is
// refused when it arrives rather than at its deadline.
func TestGivenUpAtOnce(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(compareSeeds) {
		b := newBench(gate.NewAdaptive(gate.Settings{ReportLag: reportLag + reportEvery}), seed, 2, 32, 8)
		l := &client{account: "daily", rate: 50, deadline: 3 * time.Second}
		b.clients = []*client{l}
		b.run(10 * time.Second)
		t.Logf("seed %d: %d of %d answered, %d late; %d refused, %d of them after a wait", seed, l.answered, l.offered, l.late, l.refused, l.kept)
		c.Check(l.late, qt.Equals, 0)
		c.Check(l.kept*10 <= l.refused, qt.IsTrue)
		c.Check(l.answered*3 >= l.offered, qt.IsTrue)
	}
}

// TestSilentColdStart checks that an engine which turns cold while it goes on
// with its work falls over once at most, before anything shows that it is
// cold.
func TestSilentColdStart(t *testing.T) {
	c := qt.New(t)
	run := func(g fescuelatch.Gate, seed uint64) int {
		b := newBench(g, seed, 4, 8, 2)
		b.clients = []*client{{account: "large", rate: 12, deadline: 5 * time.Second}}
		b.run(30 * time.Second)
		b.engines[0].coldUntil = b.now.Add(coldFor)
		b.run(20 * time.Second)
		return b.engines[0].falls
	}
	for seed := range uint64(compareSeeds) {
		falls := run(gate.NewAdaptive(gate.Settings{ReportLag: reportLag + reportEvery}), seed)
		plain := run(new(gate.Fixed), seed)
		t.Logf("seed %d: fell over %d times with adaptive, %d with fixed", seed, falls, plain)
		c.Check(falls <= 1, qt.IsTrue)
	}
}

// TestNoWaveOnReturn checks that queued work is spread out when endpoints
// that were out come back.
func TestNoWaveOnReturn(t *testing.T) {
	c := qt.New(t)
	run := func(g fescuelatch.Gate, seed uint64) int {
		b := newBench(g, seed, 4, 8, 2)
		b.clients = []*client{{account: "large", rate: 40, deadline: 8 * time.Second}}
		b.run(20 * time.Second)
		b.setOut(true)
		b.run(5 * time.Second)
		b.setOut(false)
		before := len(b.starts)
		b.run(time.Second)
		return most(b.starts[before:], int(100*time.Millisecond/engineTick))
	}
	for seed := range uint64(compareSeeds) {
		spread := run(gate.NewAdaptive(gate.Settings{ReportLag: reportLag + reportEvery}), seed)
		wave := run(new(gate.Fixed), seed)
		t.Logf("seed %d: at most %d starts in 100ms with adaptive, %d with fixed", seed, spread, wave)
		c.Check(spread <= 4*2, qt.IsTrue) // the cold slots of all
	}
}

func (b *bench) setOut(out bool) {
	// One endpoint stays in, so that work waits.
	for _, e := range b.engines[1:] {
		e.owned.Out = out
	}
	b.own()
}

// most returns the largest sum of n successive numbers.
func most(ns []int, n int) int {
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

func answered(b *bench) int {
	n := 0
	for _, c := range b.clients {
		n += c.answered
	}
	return n
}

func broken(b *bench) int {
	n := 0
	for _, c := range b.clients {
		n += c.broken
	}
	return n
}
