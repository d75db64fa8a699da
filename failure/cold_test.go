package failure

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/fleet"
)

// This file tests that all daemons together do not exceed the capacity of an
// endpoint during its cold start.

const (
	// floodCallers is more than ten times the slots of two cold engines.
	floodCallers = 48
	floodTokens  = 100
	floodSeed    = 5
	// minServiceTime is the shortest time in which a warm engine produces an
	// answer of floodTokens, at 4 ms between tokens.
	minServiceTime = floodTokens * 4 * time.Millisecond
	// rampTime is the time in which the gate raises its limit from the cold to
	// the full number of slots.
	rampTime = 10 * time.Second
	// maxColdDetection bounds the time until a daemon detects an announced
	// cold start: the delay of load reports, 200 ms, plus their polling
	// interval, 500 ms, doubled for slow machines.
	maxColdDetection = 2 * (200 + 500) * time.Millisecond
)

// checkCold checks that no engine exceeded its cold slots during a cold start
// and none fell over.
func (f *traffic) checkCold(c *qt.C) {
	c.Helper()
	for _, e := range f.Configuration.Inventory.Endpoints {
		l := f.endpointLog(e.ID)
		c.Logf("%s: at most %d concurrent while cold, %d while warm, %d attempts, %d fall-overs",
			e.ID, l.Counts.MaxCold, l.Counts.MaxRunning, len(l.Starts), l.Counts.OverloadFailures)
		c.Check(l.Counts.OverloadFailures, qt.Equals, 0, qt.Commentf("%s", e.ID))
		c.Check(l.Counts.MaxCold <= coldSlots, qt.IsTrue, qt.Commentf("%s had %d concurrent attempts while cold", e.ID, l.Counts.MaxCold))
	}
}

// countStarts returns the number of attempts received in [from, to).
func countStarts(l fleet.EndpointLog, from, to time.Time) int {
	n := 0
	for _, s := range l.Starts {
		if !s.At.Before(from) && s.At.Before(to) {
			n++
		}
	}
	return n
}

// checkRampUp checks that load on an engine rises gradually after its cold
// start ended at end. The gate raises its limit from the cold slots no earlier
// than end, and minServiceTime limits the attempts that one slot can serve in a
// second.
func checkRampUp(c *qt.C, l fleet.EndpointLog, end time.Time) {
	c.Helper()
	for age := time.Duration(0); age <= 2*time.Second; age += 250 * time.Millisecond {
		ramp := coldSlots + (engineSlots-coldSlots)*float64(age+time.Second)/float64(rampTime)
		bound := int(math.Floor(ramp)) * (1 + int(math.Floor(float64(time.Second)/float64(minServiceTime))))
		n := countStarts(l, end.Add(age), end.Add(age+time.Second))
		c.Logf("%s: %d attempts in the second from %v after the cold start, limit %d", l.Endpoint.ID, n, age, bound)
		c.Check(n <= bound, qt.IsTrue)
	}
}

// startCold starts a cold start of an engine and returns the time of its end.
func (f *traffic) startCold(c *qt.C, e fescuelatch.EndpointID, t coldStart) time.Time {
	c.Helper()
	c.Assert(f.Faults(f.ctx, e, coldFault{t}), qt.IsNil)
	return time.Now().Add(t.For)
}

// TestColdStartWithChangingOwners overloads a fleet with cold engines while a
// daemon joins, the owner of one engine is paused beyond its lease and resumed,
// and the owner of the other engine is killed.
func TestColdStartWithChangingOwners(t *testing.T) {
	c := qt.New(t)
	f := startTraffic(t, 3, 2)
	f.awaitServing("a-1")
	const cold = 13 * time.Second
	end := f.startCold(c, "e-1", coldStart{For: cold})
	f.startCold(c, "e-2", coldStart{For: cold})
	time.Sleep(maxColdDetection)

	paused := f.owner("a-1", "e-1")
	joins := fescuelatch.VMID("a-3")
	if joins == paused {
		joins = "a-2"
	}
	s, stop := f.flood(floodSeed, floodCallers, floodTokens, "a-1", "a-2", "a-3", "b-1")
	c.Assert(f.Kill(f.ctx, joins), qt.IsNil)
	c.Assert(f.Pause(paused), qt.IsNil)
	c.Assert(f.Restart(f.ctx, joins), qt.IsNil)
	// The lease is 2 s; another daemon takes over after 2.5 s and sends work
	// 2 s later, before the paused one resumes.
	time.Sleep(5500 * time.Millisecond)
	c.Assert(f.Resume(paused), qt.IsNil)
	time.Sleep(500 * time.Millisecond)
	killed := f.owner(joins, "e-2")
	c.Assert(f.Kill(f.ctx, killed), qt.IsNil)
	time.Sleep(time.Until(end.Add(3 * time.Second)))
	stop()

	c.Logf("paused %s, killed %s, joined %s", paused, killed, joins)
	f.checkCold(c)
	served := 0
	for _, e := range f.Configuration.Inventory.Endpoints {
		l := f.endpointLog(e.ID)
		served += countStarts(l, end.Add(maxColdDetection-cold), end)
		checkRampUp(c, l, end)
	}
	c.Check(served > 0, qt.IsTrue, qt.Commentf("no attempt was served during the cold start"))
	n := s.checkVerdicts(c)
	c.Check(n[verdictWhole] > 0, qt.IsTrue)
}

// TestColdStartsOfLoadedEngines puts loaded engines into announced and unannounced cold
// starts.
//
// Attempts in progress at the start of a cold start either fail or continue.
// Failed attempts reveal the cold start. If an unannounced one lets attempts
// continue, the first new attempt beyond the cold slots may make the engine
// fall over, once. The attempts that fail then reveal it, and from then on the
// load stays within the cold slots.
func TestColdStartsOfLoadedEngines(t *testing.T) {
	c := qt.New(t)
	const cold = 6 * time.Second
	tests := []struct {
		name      string
		endpoint  fescuelatch.EndpointID
		start     coldStart
		fallOvers int
	}{
		{"restart that reports tell of", "e-1", coldStart{For: cold, NewIncarnation: true, Break: true}, 0},
		{"restart that reports do not tell of", "e-2", coldStart{For: cold, Unannounced: true, Break: true}, 0},
		{"nothing tells", "e-3", coldStart{For: 4 * time.Second, Unannounced: true}, 1},
	}
	f := startTraffic(t, 2, 3)
	s, stop := f.flood(floodSeed, floodCallers, floodTokens, "a-1", "a-2", "b-1")
	f.waitFor(25*time.Second, "warm engines", func() bool {
		for _, test := range tests {
			// Only a warm engine receives more than its cold slots.
			if f.endpointLog(test.endpoint).Counts.MaxRunning <= coldSlots+1 {
				return false
			}
		}
		return true
	})
	f.checkCold(c)
	var end time.Time
	for _, test := range tests {
		if at := f.startCold(c, test.endpoint, test.start); at.After(end) {
			end = at
		}
	}
	// The owners stay the same, so that a load spike after the cold start
	// would show.
	time.Sleep(time.Until(end.Add(3 * time.Second)))
	stop()
	checkRampUp(c, f.endpointLog("e-1"), end)
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			l := f.endpointLog(test.endpoint)
			since := countStarts(l, end.Add(-cold), end)
			c.Logf("at most %d concurrent while cold, %d fall-overs, %d attempts during the cold start", l.Counts.MaxCold, l.Counts.OverloadFailures, since)
			c.Check(l.Counts.OverloadFailures <= test.fallOvers, qt.IsTrue)
			c.Check(test.fallOvers > 0 || l.Counts.MaxCold <= coldSlots, qt.IsTrue)
			c.Check(since > 0, qt.IsTrue)
		})
	}
	s.checkVerdicts(c)
}
