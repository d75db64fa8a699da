package shared_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/gate/shared"
)

// This file simulates loads on the gate and checks the work that endpoints get.

const version fescuelatch.VersionID = "lm@v1"

func endpointAt(id, domain string, slots int) fescuelatch.OwnedEndpoint {
	return fescuelatch.OwnedEndpoint{
		Endpoint: fescuelatch.Endpoint{ID: fescuelatch.EndpointID(id), Domain: fescuelatch.DomainID(domain), Address: netip.MustParseAddrPort("127.0.0.1:1")},
		Pool:     fescuelatch.Pool{Slots: slots, Versions: []fescuelatch.VersionID{version}},
	}
}

func newGate(seed uint64, members int, endpoints ...fescuelatch.OwnedEndpoint) *shared.Gate {
	g := shared.New(shared.Settings{Domain: "a"}, rand.New(rand.NewPCG(seed, 3)))
	g.SetMembers(members)
	g.SetOwned(epoch, endpoints)
	return g
}

var lastAttempt int

func work(idempotent bool, parts ...fescuelatch.PromptPart) fescuelatch.Work {
	lastAttempt++
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	return fescuelatch.Work{
		Attempt: fescuelatch.AttemptID(fmt.Sprint(lastAttempt)), Version: version,
		Request: &fescuelatch.Request{Idempotent: idempotent, TargetLatency: time.Second, PromptTokens: tokens, Parts: parts},
	}
}

func end(w fescuelatch.Work, a fescuelatch.Admission, status fescuelatch.AttemptStatus) fescuelatch.AttemptResult {
	return fescuelatch.AttemptResult{Attempt: w.Attempt, Endpoint: a.Endpoint, Version: version, Status: status}
}

// TestColdEndpoint checks that in any second all daemons together stay within the rate
// that a cold endpoint tolerates, though none tracks the load of the others.
func TestColdEndpoint(t *testing.T) {
	const coldRate = 23.0
	const bound = coldRate*1.5 + 5
	for _, members := range []int{1, 6, 60, 82} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			c := qt.New(t)
			e := endpointAt("cold", "a", 64)
			e.ColdRate, e.ColdUntil = coldRate, epoch.Add(10*time.Second)
			gates := make([]*shared.Gate, members)
			for i := range gates {
				gates[i] = newGate(uint64(i), members, e)
			}
			var starts []time.Duration
			for at := time.Duration(0); at < 10*time.Second; at += 20 * time.Millisecond {
				now := epoch.Add(at)
				for _, g := range gates {
					for {
						w := work(true)
						a := g.Offer(now, w)
						if a.Verdict != fescuelatch.AdmissionStart {
							g.End(now, end(w, a, fescuelatch.AttemptCancelled))
							break
						}
						starts = append(starts, at)
						g.FirstToken(now, w.Attempt)
						g.End(now, end(w, a, fescuelatch.AttemptAnswered))
					}
				}
			}
			c.Check(len(starts) > 40, qt.IsTrue, qt.Commentf("only %d starts", len(starts)))
			from := 0
			for i, at := range starts {
				for at-starts[from] >= time.Second {
					from++
				}
				c.Assert(float64(i-from+1) <= bound, qt.IsTrue, qt.Commentf("%d starts within a second at %s", i-from+1, at))
			}
		})
	}
}

// TestUnreachableDomain checks that few requests are tried in an unreachable failure
// domain, and that it is used again once its endpoints accept connections.
func TestUnreachableDomain(t *testing.T) {
	c := qt.New(t)
	g := newGate(1, 2, endpointAt("a1", "b", 8), endpointAt("a2", "b", 8), endpointAt("a3", "b", 8), endpointAt("b1", "c", 8))
	lost := 0
	now := epoch
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		w := work(true)
		a := g.Offer(now, w)
		c.Assert(a.Verdict, qt.Equals, fescuelatch.AdmissionStart)
		r := end(w, a, fescuelatch.AttemptAnswered)
		if a.Endpoint != "b1" {
			lost++
			r.Status, r.Unsent, r.Unreachable = fescuelatch.AttemptNotStarted, true, true
		} else {
			g.FirstToken(now, w.Attempt)
		}
		g.End(now, r)
	}
	c.Check(lost <= 2, qt.IsTrue, qt.Commentf("%d requests were tried in the unreachable domain", lost))
	probes := g.Probes(now)
	c.Assert(probes, qt.HasLen, 3)
	for _, id := range probes {
		g.Reached(id)
	}
	used := map[fescuelatch.EndpointID]bool{}
	for range 40 {
		w := work(true)
		a := g.Offer(now, w)
		used[a.Endpoint] = true
		now = now.Add(5 * time.Millisecond)
	}
	c.Check(len(used), qt.Equals, 4)
}

// TestAllUnreachable checks that requests are still tried when no endpoint seems
// reachable, as the fault may be at this daemon.
func TestAllUnreachable(t *testing.T) {
	c := qt.New(t)
	g := newGate(1, 1, endpointAt("a1", "a", 8))
	w := work(true)
	a := g.Offer(epoch, w)
	r := end(w, a, fescuelatch.AttemptNotStarted)
	r.Unsent, r.Unreachable = true, true
	g.End(epoch, r)
	c.Check(g.Offer(epoch, work(true)).Verdict, qt.Equals, fescuelatch.AdmissionStart)
}

// TestFailing checks that a failing endpoint is ejected, then tried again with an
// idempotent request, and returns to service if that succeeds.
func TestFailing(t *testing.T) {
	c := qt.New(t)
	g := newGate(1, 1, endpointAt("bad", "a", 8), endpointAt("good", "a", 8))
	now := epoch
	failures := 0
	serve := func(idempotent, recovered bool) fescuelatch.EndpointID {
		now = now.Add(20 * time.Millisecond)
		w := work(idempotent)
		a := g.Offer(now, w)
		status := fescuelatch.AttemptAnswered
		if a.Endpoint == "bad" && !recovered {
			failures++
			status = fescuelatch.AttemptBroken
		} else {
			g.FirstToken(now, w.Attempt)
		}
		g.End(now, end(w, a, status))
		return a.Endpoint
	}
	for range 100 {
		serve(true, false)
	}
	c.Check(failures <= 5, qt.IsTrue, qt.Commentf("%d failures", failures))
	now = now.Add(10 * time.Second)
	for range 20 {
		c.Check(serve(false, false), qt.Equals, fescuelatch.EndpointID("good"))
	}
	recovered := 0
	for range 60 {
		if serve(true, true) == "bad" {
			recovered++
		}
	}
	c.Check(recovered > 10, qt.IsTrue, qt.Commentf("%d of 60 after recovery", recovered))
}

// TestAffinity checks that prompts that share a part go to few endpoints, and to
// others when these are busy.
func TestAffinity(t *testing.T) {
	c := qt.New(t)
	endpoints := make([]fescuelatch.OwnedEndpoint, 8)
	for i := range endpoints {
		endpoints[i] = endpointAt(fmt.Sprint("e", i), "a", 8)
	}
	g := newGate(1, 1, endpoints...)
	prompt := func(n int) fescuelatch.Work {
		return work(true, fescuelatch.PromptPart{ID: "document", Tokens: 5000}, fescuelatch.PromptPart{ID: fmt.Sprint("own", n), Tokens: 100})
	}
	used := map[fescuelatch.EndpointID]bool{}
	for n := range 30 {
		w := prompt(n)
		a := g.Offer(epoch, w)
		used[a.Endpoint] = true
		g.FirstToken(epoch.Add(50*time.Millisecond), w.Attempt)
		g.End(epoch.Add(100*time.Millisecond), end(w, a, fescuelatch.AttemptAnswered))
	}
	c.Check(len(used) <= 2, qt.IsTrue, qt.Commentf("%d endpoints processed the same document", len(used)))
	clear(used)
	started := 0
	for n := range 60 {
		if a := g.Offer(epoch.Add(time.Second), prompt(100+n)); a.Verdict == fescuelatch.AdmissionStart {
			used[a.Endpoint] = true
			started++
		}
	}
	c.Check(len(used) > 4, qt.IsTrue, qt.Commentf("%d endpoints shared a burst", len(used)))
	c.Check(started >= 60, qt.IsTrue)
}

// TestPartsProcessedOnce simulates daemons in several failure domains that do not
// communicate, with prompts that share long parts, and checks that nearly all
// prompts of a part go to the same endpoint.
func TestPartsProcessedOnce(t *testing.T) {
	const (
		domains   = 6
		documents = 50
		prompts   = 20 // of each document
	)
	c := qt.New(t)
	var endpoints []fescuelatch.OwnedEndpoint
	for i := range 12 * domains {
		endpoints = append(endpoints, endpointAt(fmt.Sprint("e", i), fmt.Sprint("d", i%domains), 16))
	}
	read := map[string]bool{}
	for document := range documents {
		for n := range prompts {
			g := shared.New(shared.Settings{Domain: fmt.Sprint("d", n%domains)}, rand.New(rand.NewPCG(uint64(n), 5)))
			g.SetOwned(epoch, endpoints)
			w := work(true, fescuelatch.PromptPart{ID: fmt.Sprint("document", document), Tokens: 5000}, fescuelatch.PromptPart{ID: fmt.Sprint("own", n), Tokens: 100})
			a := g.Offer(epoch, w)
			c.Assert(a.Verdict, qt.Equals, fescuelatch.AdmissionStart)
			read[fmt.Sprint(document, a.Endpoint)] = true
		}
	}
	c.Check(len(read) <= documents*11/10, qt.IsTrue, qt.Commentf("%d documents were processed %d times", documents, len(read)))
}

// TestOverload checks that excess work is refused soon, with a RetryAfter that
// differs between callers.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	g := newGate(1, 1, endpointAt("e", "a", 4))
	queued, times := 0, map[time.Duration]bool{}
	for range 40 {
		switch a := g.Offer(epoch, work(true)); a.Verdict {
		case fescuelatch.AdmissionQueue:
			queued++
		case fescuelatch.AdmissionRefuse:
			times[a.RetryAfter] = true
		}
	}
	c.Check(queued > 0, qt.IsTrue)
	for _, a := range g.Poll(epoch.Add(150 * time.Millisecond)) {
		c.Check(a.Verdict, qt.Equals, fescuelatch.AdmissionRefuse)
		times[a.RetryAfter] = true
	}
	c.Check(len(times) > 10, qt.IsTrue, qt.Commentf("%d distinct values of RetryAfter", len(times)))
}

// TestLeaving checks that an endpoint that is out gets no work, not even queued
// work.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	e := endpointAt("e", "a", 1)
	g := newGate(1, 1, e)
	first := work(true)
	a := g.Offer(epoch, first)
	g.Offer(epoch, work(true))
	waiting := work(true)
	c.Assert(g.Offer(epoch, waiting).Verdict, qt.Not(qt.Equals), fescuelatch.AdmissionStart)
	e.Out = true
	g.SetOwned(epoch, []fescuelatch.OwnedEndpoint{e})
	c.Check(g.End(epoch, end(first, a, fescuelatch.AttemptAnswered)), qt.HasLen, 0)
	c.Check(g.Offer(epoch, work(true)).Verdict, qt.Equals, fescuelatch.AdmissionRefuse)
}

// TestHanging checks that an endpoint which accepts requests and never answers gets
// few non-idempotent requests, since these wait there until they end.
func TestHanging(t *testing.T) {
	c := qt.New(t)
	g := newGate(1, 1, endpointAt("hangs", "a", 8), endpointAt("e1", "a", 8), endpointAt("e2", "a", 8))
	type waiting struct {
		work  fescuelatch.Work
		start fescuelatch.Admission
		at    time.Time
	}
	var pending []waiting
	hung := 0
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		now := epoch.Add(at)
		for len(pending) > 0 && now.Sub(pending[0].at) >= 2*time.Second {
			g.End(now, end(pending[0].work, pending[0].start, fescuelatch.AttemptCancelled))
			pending = pending[1:]
		}
		w := work(false)
		a := g.Offer(now, w)
		c.Assert(a.Verdict, qt.Equals, fescuelatch.AdmissionStart)
		if a.Endpoint == "hangs" {
			hung++
			pending = append(pending, waiting{w, a, now})
			continue
		}
		g.FirstToken(now.Add(20*time.Millisecond), w.Attempt)
		g.End(now.Add(20*time.Millisecond), end(w, a, fescuelatch.AttemptAnswered))
	}
	c.Check(hung <= 10, qt.IsTrue, qt.Commentf("%d of 200 requests hung", hung))
}

// TestMisplaced checks that an endpoint at whose address another one answers gets no
// work until it registers again, or until a timeout.
func TestMisplaced(t *testing.T) {
	c := qt.New(t)
	e := endpointAt("e", "a", 8)
	g := newGate(1, 1, e)
	w := work(true)
	a := g.Offer(epoch, w)
	c.Assert(a.Verdict, qt.Equals, fescuelatch.AdmissionStart)
	r := end(w, a, fescuelatch.AttemptNotStarted)
	r.WrongEndpoint = true
	g.End(epoch, r)
	now := epoch.Add(time.Second)
	c.Check(g.Probes(now), qt.HasLen, 0, qt.Commentf("a connection cannot show whether the endpoint is back at its address"))
	w = work(true)
	a = g.Offer(now, w)
	c.Check(a.Verdict, qt.Not(qt.Equals), fescuelatch.AdmissionStart)
	c.Check(g.Offer(now.Add(2*time.Second), work(true)).Verdict, qt.Equals, fescuelatch.AdmissionStart, qt.Commentf("the misplaced state did not time out"))
	e.Process++
	g.SetOwned(now, []fescuelatch.OwnedEndpoint{e})
	a = g.Offer(now, work(true))
	c.Check(a.Verdict, qt.Equals, fescuelatch.AdmissionStart)
}

// TestUnreachableDomains checks which failure domains count as unreachable: those whose
// endpoints all seem unreachable. Endpoints that are out are ignored.
func TestUnreachableDomains(t *testing.T) {
	c := qt.New(t)
	gone := endpointAt("c1", "c", 8)
	gone.Out = true
	g := newGate(1, 1, endpointAt("a1", "a", 8), endpointAt("b1", "b", 8), endpointAt("b2", "b", 8), gone)
	unreachable, all := g.UnreachableDomains()
	c.Check(unreachable, qt.HasLen, 0)
	c.Check(all, qt.Equals, 2)
	for _, id := range []fescuelatch.EndpointID{"b1", "a1", "b2"} {
		w := work(true)
		w.Endpoint = id
		a := g.Offer(epoch, w)
		c.Assert(a.Verdict, qt.Equals, fescuelatch.AdmissionStart)
		r := end(w, a, fescuelatch.AttemptAnswered)
		if id != "a1" {
			r.Status, r.Unsent, r.Unreachable = fescuelatch.AttemptNotStarted, true, true
		}
		g.End(epoch, r)
	}
	unreachable, _ = g.UnreachableDomains()
	c.Check(unreachable, qt.DeepEquals, []fescuelatch.DomainID{"b"})
	g.Reached("b2")
	unreachable, _ = g.UnreachableDomains()
	c.Check(unreachable, qt.HasLen, 0)
}
