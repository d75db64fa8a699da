package failure

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/fleet"
)

// This file tests that an endpoint in a cold start receives no more than it
// bears, over all daemons.

const (
	// floodCallers exceeds what two cold engines bear more than tenfold.
	floodCallers = 48
	floodTokens  = 100
	floodSeed    = 5
	// leastService is the least time of an answer of floodTokens by a lone
	// warm engine: 4 ms between tokens.
	leastService = floodTokens * 4 * time.Millisecond
	// rampFor is the time in which the gate goes from the cold to the full
	// number of slots.
	rampFor = 10 * time.Second
	// newsOfTurn bounds the time until a daemon knows of an announced turn:
	// the lag of the load report and the interval of reading it, twice for a
	// slow machine.
	newsOfTurn = 2 * (200 + 500) * time.Millisecond
)

// checkCold checks that no engine has had more work in a cold start than it
// bears, and none has fallen over.
func (f *traffic) checkCold(c *qt.C) {
	c.Helper()
	for _, e := range f.Configuration.Inventory.Endpoints {
		l := f.log(e.ID)
		c.Logf("%s: at most %d at once while cold, %d when warm, %d attempts, %d fall-overs",
			e.ID, l.Counts.MaxCold, l.Counts.MaxRunning, len(l.Starts), l.Counts.FallOvers)
		c.Check(l.Counts.FallOvers, qt.Equals, 0, qt.Commentf("%s", e.ID))
		c.Check(l.Counts.MaxCold <= coldSlots, qt.IsTrue, qt.Commentf("%s had %d at once", e.ID, l.Counts.MaxCold))
	}
}

// startsWithin returns the number of attempts that an engine received in a
// span of time.
func startsWithin(l fleet.EndpointLog, from, to time.Time) int {
	n := 0
	for _, s := range l.Starts {
		if !s.At.Before(from) && s.At.Before(to) {
			n++
		}
	}
	return n
}

// checkReturn checks that work returns gradually to an engine whose cold
// start ended at end. The gate lets its bound rise from the cold slots on
// from the end at the earliest, and one slot serves at most so many attempts
// in a second as the least time of an answer allows.
func checkReturn(c *qt.C, l fleet.EndpointLog, end time.Time) {
	c.Helper()
	for age := time.Duration(0); age <= 2*time.Second; age += 250 * time.Millisecond {
		ramp := coldSlots + (engineSlots-coldSlots)*float64(age+time.Second)/float64(rampFor)
		bound := int(math.Floor(ramp)) * (1 + int(math.Floor(float64(time.Second)/float64(leastService))))
		n := startsWithin(l, end.Add(age), end.Add(age+time.Second))
		c.Logf("%s: %d attempts in the second from %v after the cold start, at most %d", l.Endpoint.ID, n, age, bound)
		c.Check(n <= bound, qt.IsTrue)
	}
}

// turn turns an engine cold and returns when its cold start ends.
func (f *traffic) turn(c *qt.C, e fescuelatch.EndpointID, t coldTurn) time.Time {
	c.Helper()
	c.Assert(f.Faults(f.ctx, e, coldFault{t}), qt.IsNil)
	return time.Now().Add(t.For)
}

// TestColdStartWithChangingOwners overloads a fleet whose engines are cold,
// while a daemon joins, the owner of one engine is paused beyond its lease
// and resumes, and the owner of the other is killed.
func TestColdStartWithChangingOwners(t *testing.T) {
	c := qt.New(t)
	f := startTraffic(t, 3, 2)
	f.served("a-1")
	const cold = 13 * time.Second
	end := f.turn(c, "e-1", coldTurn{For: cold})
	f.turn(c, "e-2", coldTurn{For: cold})
	time.Sleep(newsOfTurn)

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
	// 2 s later, before the first resumes.
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
		l := f.log(e.ID)
		served += startsWithin(l, end.Add(newsOfTurn-cold), end)
		checkReturn(c, l, end)
	}
	c.Check(served > 0, qt.IsTrue, qt.Commentf("nothing was served in the cold start"))
	n := s.checkOwn(c)
	c.Check(n[verdictWhole] > 0, qt.IsTrue)
}

// TestTurnsToCold turns loaded engines cold in ways that they do or do not
// announce.
//
// Work in progress at a turn is beyond reach: it breaks, or goes on. An
// engine that breaks it tells by that. Nothing else tells of an unannounced
// turn whose work goes on, so that the first new attempt beyond the cold
// slots may make the engine fall over, once. What this breaks tells, and
// from then on no more is sent than the engine bears.
func TestTurnsToCold(t *testing.T) {
	c := qt.New(t)
	const cold = 6 * time.Second
	tests := []struct {
		name      string
		endpoint  fescuelatch.EndpointID
		turn      coldTurn
		fallOvers int
	}{
		{"restart that reports tell of", "e-1", coldTurn{For: cold, NewIncarnation: true, Break: true}, 0},
		{"restart that reports do not tell of", "e-2", coldTurn{For: cold, Unannounced: true, Break: true}, 0},
		{"nothing tells", "e-3", coldTurn{For: 4 * time.Second, Unannounced: true}, 1},
	}
	f := startTraffic(t, 2, 3)
	s, stop := f.flood(floodSeed, floodCallers, floodTokens, "a-1", "a-2", "b-1")
	f.within(25*time.Second, "warm engines", func() bool {
		for _, test := range tests {
			// Only a warm engine gets more than its cold slots.
			if f.log(test.endpoint).Counts.MaxRunning <= coldSlots+1 {
				return false
			}
		}
		return true
	})
	f.checkCold(c)
	var end time.Time
	for _, test := range tests {
		if at := f.turn(c, test.endpoint, test.turn); at.After(end) {
			end = at
		}
	}
	// The owners stay, so that a wave on return would show.
	time.Sleep(time.Until(end.Add(3 * time.Second)))
	stop()
	checkReturn(c, f.log("e-1"), end)
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			l := f.log(test.endpoint)
			since := startsWithin(l, end.Add(-cold), end)
			c.Logf("at most %d at once while cold, %d fall-overs, %d attempts since the turn", l.Counts.MaxCold, l.Counts.FallOvers, since)
			c.Check(l.Counts.FallOvers <= test.fallOvers, qt.IsTrue)
			c.Check(test.fallOvers > 0 || l.Counts.MaxCold <= coldSlots, qt.IsTrue)
			c.Check(since > 0, qt.IsTrue)
		})
	}
	s.checkOwn(c)
}
