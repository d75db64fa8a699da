package shared_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/gate/shared"
	"fescuelatch/permit"
)

// This file tests that the gate sends requests to an endpoint with a rate limit by
// permits only.

// limitedGate returns a gate whose endpoint "e" has named a limit at epoch. The gate
// has requested permits.
func limitedGate(c *qt.C, others ...fescuelatch.OwnedEndpoint) (*shared.Gate, permit.Request) {
	g := newGate(1, 1, append(others, endpointAt("e", "a", 8))...)
	c.Assert(g.SetLimit(epoch, epoch, "e", fescuelatch.RateLimit{Limited: true, PerSecond: 1}), qt.IsTrue)
	due := g.PermitRequests(epoch, 10)
	c.Assert(due, qt.HasLen, 1)
	return g, due[0]
}

// grant is a reply with permits and the limit of limitedGate.
func grant(permits int, retryAfter time.Duration) permit.Reply {
	return permit.Reply{Permits: permits, RetryAfter: retryAfter, Limit: fescuelatch.RateLimit{Limited: true, PerSecond: 1}}
}

// TestAttemptWithoutPermit guards against kinds of attempts that go past a rate limit.
func TestAttemptWithoutPermit(t *testing.T) {
	tests := []struct {
		name string
		work func(g *shared.Gate, now time.Time) fescuelatch.Work
	}{
		{"the first of a request", func(*shared.Gate, time.Time) fescuelatch.Work { return work(true) }},
		{"of a request that must not be repeated", func(*shared.Gate, time.Time) fescuelatch.Work { return work(false) }},
		{"after another endpoint has failed", func(*shared.Gate, time.Time) fescuelatch.Work {
			w := work(true)
			w.Avoid = []fescuelatch.EndpointID{"other"}
			return w
		}},
		{"for this endpoint only", func(*shared.Gate, time.Time) fescuelatch.Work {
			w := work(true)
			w.Endpoint = "e"
			return w
		}},
		{"the trial after an ejection", func(g *shared.Gate, now time.Time) fescuelatch.Work {
			var broken []fescuelatch.Work
			g.GrantPermits(now, now, fescuelatch.EndpointProcess{Endpoint: "e", Address: endpointAt("e", "a", 1).Endpoint.Address}, grant(4, 0))
			for range 4 {
				w := work(true)
				w.Endpoint = "e"
				g.Offer(now, w)
				broken = append(broken, w)
			}
			for _, w := range broken {
				g.End(now, end(w, fescuelatch.Admission{Endpoint: "e"}, fescuelatch.AttemptBroken))
			}
			return work(true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			other := endpointAt("other", "a", 8)
			other.Out = true
			g, q := limitedGate(c, other)
			w := test.work(g, epoch)
			now := epoch.Add(2 * time.Second) // The ejection is over.
			c.Check(g.Offer(now, w).Verdict, qt.Not(qt.Equals), fescuelatch.AdmissionStart)
			g.GrantPermits(now, now, q.Process, grant(1, 0))
			w.Attempt += "-again"
			c.Check(g.Offer(now, w).Verdict, qt.Equals, fescuelatch.AdmissionStart)
			c.Check(g.Offer(now, work(true)).Verdict, qt.Not(qt.Equals), fescuelatch.AdmissionStart)
		})
	}
}

// TestPermitAfterItsLifetime checks that a permit is not used late.
func TestPermitAfterItsLifetime(t *testing.T) {
	c := qt.New(t)
	g, q := limitedGate(c)
	g.GrantPermits(epoch, epoch, q.Process, grant(1, 0))
	c.Check(g.Offer(epoch.Add(permit.Lifetime), work(true)).Verdict, qt.Not(qt.Equals), fescuelatch.AdmissionStart)
}

// TestRefusedUntilNextPermit checks that a request is refused at once if no permit can
// arrive while it waits, with the time until one can.
func TestRefusedUntilNextPermit(t *testing.T) {
	c := qt.New(t)
	const retryAfter = 1600 * time.Millisecond
	g, q := limitedGate(c)
	g.GrantPermits(epoch, epoch, q.Process, grant(0, retryAfter))
	a := g.Offer(epoch, work(true))
	c.Check(a.Verdict, qt.Equals, fescuelatch.AdmissionRefuse)
	c.Check(a.RetryAfter >= retryAfter/2, qt.IsTrue, qt.Commentf("%s", a.RetryAfter))
	c.Check(g.Census(epoch, version.Model()).Limited, qt.Equals, 1)
}

// TestQueuedUntilPermit checks that a waiting request uses a permit that arrives.
func TestQueuedUntilPermit(t *testing.T) {
	c := qt.New(t)
	g, q := limitedGate(c)
	w := work(true)
	c.Assert(g.Offer(epoch, w).Verdict, qt.Equals, fescuelatch.AdmissionQueue)
	now := epoch.Add(20 * time.Millisecond)
	g.GrantPermits(now, epoch, q.Process, grant(1, 0))
	as := g.Poll(now)
	c.Assert(as, qt.HasLen, 1)
	c.Check(as[0].Verdict, qt.Equals, fescuelatch.AdmissionStart)
}

// TestLimitEndsByLaterRequest checks which answers without a limit end it: one to a
// request from before the limit may only have been on its way.
func TestLimitEndsByLaterRequest(t *testing.T) {
	tests := []struct {
		name  string
		sent  time.Time
		ended bool
	}{
		{"sent before", epoch.Add(-time.Second), false},
		{"sent after", epoch.Add(time.Millisecond), true},
	}
	for _, test := range tests {
		c := qt.New(t)
		g, _ := limitedGate(c)
		g.SetLimit(epoch.Add(time.Second), test.sent, "e", fescuelatch.RateLimit{})
		c.Check(g.Limit("e").Limited, qt.Equals, !test.ended, qt.Commentf("%s", test.name))
	}
}

// TestLimitOfProcess checks that a limit holds while the registration of the endpoint
// lapses, but not for its next process.
func TestLimitOfProcess(t *testing.T) {
	c := qt.New(t)
	g, _ := limitedGate(c)
	e := endpointAt("e", "a", 8)
	g.SetOwned(epoch, nil)
	g.SetOwned(epoch, []fescuelatch.OwnedEndpoint{e})
	c.Check(g.Limit("e").Limited, qt.IsTrue)
	g.SetOwned(epoch, []fescuelatch.OwnedEndpoint{nextProcess(e)})
	c.Check(g.Limit("e").Limited, qt.IsFalse)
	c.Check(g.LimitedEndpoints(), qt.Equals, 0)
}

// TestPermitRequestsBounded checks that requests beyond the bound are returned later.
func TestPermitRequestsBounded(t *testing.T) {
	c := qt.New(t)
	var all []fescuelatch.OwnedEndpoint
	for _, id := range []string{"e-1", "e-2", "e-3"} {
		all = append(all, endpointAt(id, "a", 8))
	}
	g := newGate(1, 1, all...)
	for _, e := range all {
		g.SetLimit(epoch, epoch, e.Endpoint.ID, fescuelatch.RateLimit{Limited: true, PerSecond: 1})
	}
	c.Check(g.PermitRequests(epoch, 2), qt.HasLen, 2)
	c.Check(g.PermitRequests(epoch, 2), qt.HasLen, 1)
	c.Check(g.PermitRequests(epoch, 2), qt.HasLen, 0)
}
