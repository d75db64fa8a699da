package shared_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests that the gate follows the hints of endpoints.

// TestLeavingInAnswers checks that an endpoint that reports that it is leaving gets
// no more work, whatever its registration says, until another process of it
// registers.
func TestLeavingInAnswers(t *testing.T) {
	c := qt.New(t)
	e := endpointAt("e", "a", 1)
	g := newGate(1, 1, e)
	first := work(true)
	a := g.Offer(epoch, first)
	c.Assert(g.Offer(epoch, work(true)).Verdict, qt.Equals, fescuelatch.AdmissionStart)
	waiting := work(true)
	c.Assert(g.Offer(epoch, waiting).Verdict, qt.Equals, fescuelatch.AdmissionQueue)
	g.Report(epoch, fescuelatch.LoadReport{Endpoint: "e", State: fescuelatch.EndpointLeaving})
	c.Check(g.End(epoch, end(first, a, fescuelatch.AttemptAnswered)), qt.HasLen, 0, qt.Commentf("waiting work was started"))
	now := epoch.Add(time.Minute)
	steps := []struct {
		name       string
		registered []fescuelatch.OwnedEndpoint
		started    bool
	}{
		{"registered as before", []fescuelatch.OwnedEndpoint{e}, false},
		{"lapsed", nil, false},
		{"the registration returned", []fescuelatch.OwnedEndpoint{e}, false},
		{"another process", []fescuelatch.OwnedEndpoint{nextProcess(e)}, true},
	}
	for _, s := range steps {
		g.SetOwned(now, s.registered)
		got := g.Offer(now, work(true)).Verdict
		c.Check(got == fescuelatch.AdmissionStart, qt.Equals, s.started, qt.Commentf("%s: %s", s.name, got))
	}
}

// nextProcess returns an endpoint whose process has been replaced.
func nextProcess(e fescuelatch.OwnedEndpoint) fescuelatch.OwnedEndpoint {
	e.Process++
	return e
}

// TestPause checks that an endpoint gets no work for the time that it asks for, and
// that the pause is no ejection: it serves at once afterwards.
func TestPause(t *testing.T) {
	const asked = 2 * time.Second
	tests := []struct {
		name   string
		asked  time.Duration
		at     time.Duration
		starts bool
	}{
		{"at once", asked, 0, false},
		{"within the time", asked, asked - time.Millisecond, false},
		{"after it", asked, asked, true},
		{"hours", 5 * time.Hour, 30 * time.Second, false},
		{"hours, bounded", 5 * time.Hour, time.Minute, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGate(1, 1, endpointAt("e", "a", 4))
			w := work(false)
			r := end(w, g.Offer(epoch, w), fescuelatch.AttemptNotStarted)
			r.Overloaded, r.RetryAfter = true, test.asked
			g.End(epoch, r)
			a := g.Offer(epoch.Add(test.at), work(false))
			c.Check(a.Verdict == fescuelatch.AdmissionStart, qt.Equals, test.starts, qt.Commentf("%s", a.Verdict))
			if a.Verdict == fescuelatch.AdmissionRefuse {
				c.Check(a.RetryAfter >= min(asked-test.at, time.Second), qt.IsTrue, qt.Commentf("RetryAfter is %s", a.RetryAfter))
			}
		})
	}
}

// TestHintsAlwaysFollowed simulates random loads, failures and hints, and checks that no
// endpoint gets work against its hints, even when all others fail.
func TestHintsAlwaysFollowed(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 11))
			var endpoints []fescuelatch.OwnedEndpoint
			for i := range 4 {
				endpoints = append(endpoints, endpointAt(fmt.Sprint("e", i), "a", 2))
			}
			g := newGate(seed, 1, endpoints...)
			leaving := map[fescuelatch.EndpointID]bool{}
			paused := map[fescuelatch.EndpointID]time.Time{}
			running := map[fescuelatch.AttemptID]fescuelatch.Admission{}
			started := func(now time.Time, a fescuelatch.Admission) {
				if a.Verdict != fescuelatch.AdmissionStart {
					return
				}
				c.Assert(leaving[a.Endpoint], qt.IsFalse, qt.Commentf("%s is leaving", a.Endpoint))
				c.Assert(now.Before(paused[a.Endpoint]), qt.IsFalse, qt.Commentf("%s wants no work until %s", a.Endpoint, paused[a.Endpoint]))
				running[a.Attempt] = a
			}
			for step := range 2000 {
				now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
				started(now, g.Offer(now, work(random.IntN(2) == 0)))
				for id, a := range running {
					if random.IntN(3) > 0 {
						continue
					}
					delete(running, id)
					statuses := []fescuelatch.AttemptStatus{fescuelatch.AttemptAnswered, fescuelatch.AttemptBroken, fescuelatch.AttemptNotStarted}
					r := fescuelatch.AttemptResult{Attempt: id, Endpoint: a.Endpoint, Version: version, Status: statuses[random.IntN(len(statuses))]}
					if r.Status == fescuelatch.AttemptNotStarted && random.IntN(2) == 0 {
						r.Overloaded, r.RetryAfter = true, time.Duration(random.IntN(1000))*time.Millisecond
						if until := now.Add(r.RetryAfter); until.After(paused[a.Endpoint]) {
							paused[a.Endpoint] = until
						}
					}
					if step > 1000 && random.IntN(50) == 0 && len(leaving) < 3 {
						leaving[a.Endpoint] = true
						for _, b := range g.Report(now, fescuelatch.LoadReport{Endpoint: a.Endpoint, State: fescuelatch.EndpointLeaving}) {
							started(now, b)
						}
					}
					for _, b := range g.End(now, r) {
						started(now, b)
					}
				}
				for _, a := range g.Poll(now) {
					started(now, a)
				}
				for _, id := range g.Probes(now) {
					c.Assert(leaving[id] || now.Before(paused[id]), qt.IsFalse)
				}
			}
			c.Check(len(leaving) > 0, qt.IsTrue)
		})
	}
}
