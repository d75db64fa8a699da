package failure

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests that targets that are withdrawn, taken out or leaving get no
// new work after maxChangeDelay, according to the logs of the endpoints, and
// that work returns gradually.

const (
	withdrawalRate = 40 // calls per second
	// recentWindow is the period before a change in which work must have been
	// received.
	recentWindow = 2 * time.Second
)

// work is an attempt or execution that an endpoint received.
type work struct {
	at       time.Time
	endpoint fescuelatch.Endpoint
	version  fescuelatch.VersionID
	attempt  fescuelatch.AttemptID
}

// received returns the work that all endpoints have received, ordered by time.
func (r *changesRun) received(c *qt.C) []work {
	c.Helper()
	logs, err := r.EndpointLogs(r.ctx)
	c.Assert(err, qt.IsNil)
	var ws []work
	for _, l := range logs {
		for _, s := range l.Starts {
			ws = append(ws, work{s.At, l.Endpoint, s.Version, s.Attempt})
		}
		for _, e := range l.Executions {
			ws = append(ws, work{e.At, l.Endpoint, "", e.Attempt})
		}
	}
	slices.SortFunc(ws, func(a, b work) int { return a.at.Compare(b.at) })
	return ws
}

// workBetween returns the matching work received in (from, to].
func workBetween(ws []work, from, to time.Time, match func(work) bool) []work {
	var out []work
	for _, w := range ws {
		if w.at.After(from) && !w.at.After(to) && match(w) {
			out = append(out, w)
		}
	}
	return out
}

// checkStops checks that matching work was received before a change and none
// later than maxChangeDelay after it, and returns the delay of the last.
func checkStops(c *qt.C, ws []work, changed, until time.Time, match func(work) bool) time.Duration {
	c.Helper()
	c.Assert(until.After(changed.Add(maxChangeDelay)), qt.IsTrue)
	c.Check(len(workBetween(ws, changed.Add(-recentWindow), changed, match)) > 0, qt.IsTrue, qt.Commentf("no work before the change"))
	late := workBetween(ws, changed.Add(maxChangeDelay), until, match)
	for _, w := range late {
		c.Errorf("%s received %s of %s %v after the change", w.endpoint.ID, w.attempt, w.version, w.at.Sub(changed))
	}
	after := workBetween(ws, changed, until, match)
	if len(after) == 0 {
		return 0
	}
	return after[len(after)-1].at.Sub(changed)
}

func byVersion(v fescuelatch.VersionID, outside ...fescuelatch.DomainID) func(work) bool {
	return func(w work) bool { return w.version == v && !slices.Contains(outside, w.endpoint.Domain) }
}

func byVersionIn(v fescuelatch.VersionID, d fescuelatch.DomainID) func(work) bool {
	return func(w work) bool { return w.version == v && w.endpoint.Domain == d }
}

func byDomain(d fescuelatch.DomainID) func(work) bool {
	return func(w work) bool { return w.endpoint.Domain == d }
}

func byEndpoint(e fescuelatch.EndpointID) func(work) bool {
	return func(w work) bool { return w.endpoint.ID == e }
}

func withdraw(v fescuelatch.VersionID) func(*fescuelatch.Configuration) {
	return func(c *fescuelatch.Configuration) { c.Overrides.Withdrawn = append(c.Overrides.Withdrawn, v) }
}

// sentTo matches the work of requests that callers sent to VM m.
func (l *changesLoad) sentTo(m fescuelatch.VM) func(work) bool {
	requests := make(map[fescuelatch.RequestID]bool)
	for _, r := range l.records {
		if r.Target == m.Caller.String() {
			requests[r.RequestID] = true
		}
	}
	return func(w work) bool {
		id, _, _ := strings.Cut(string(w.attempt), ".")
		return requests[fescuelatch.RequestID(id)]
	}
}

// owners returns the owners of the endpoints in the failure domain of a VM as
// reported by its daemon.
func (r *changesRun) owners(c *qt.C, m fescuelatch.VMID) []fescuelatch.VMID {
	c.Helper()
	s, err := r.Operator(m).Status(r.ctx)
	c.Assert(err, qt.IsNil)
	var vms []fescuelatch.VMID
	for _, e := range s.Endpoints {
		if e.Domain == r.vm(m).Domain && !slices.Contains(vms, e.Owner) {
			vms = append(vms, e.Owner)
		}
	}
	return vms
}

// burst sends concurrent calls with the given number of tokens to the daemons
// of vms. The returned function waits for the calls.
func (r *changesRun) burst(each, tokens int, vms ...fescuelatch.VMID) func() {
	var calls sync.WaitGroup
	for _, m := range vms {
		for range each {
			calls.Go(func() { r.answersWithin(m, tokens, 2*maxChangeDelay) })
		}
	}
	return calls.Wait
}

// awaitAllServing waits until all endpoints receive work and the version to be
// withdrawn receives some inside and outside failure domain "b". Both take some
// time after the start of a fleet and after endpoints return.
func (r *changesRun) awaitAllServing(c *qt.C) {
	c.Helper()
	began := time.Now()
	var missing []fescuelatch.EndpointID
	ok := eventually(4*maxChangeDelay, func() bool {
		missing = nil
		now := time.Now()
		ws := r.received(c)
		for _, e := range r.Configuration.Inventory.Endpoints {
			if len(workBetween(ws, now.Add(-recentWindow), now, byEndpoint(e.ID))) == 0 {
				missing = append(missing, e.ID)
			}
		}
		version := len(workBetween(ws, now.Add(-recentWindow/2), now, byVersion("triage@1", "b"))) > 0
		return len(missing) == 0 && version && len(workBetween(ws, now.Add(-recentWindow/2), now, byVersionIn("triage@1", "b"))) > 0
	})
	c.Assert(ok, qt.IsTrue, qt.Commentf("no work at %v", missing))
	c.Logf("all endpoints had work after %v", time.Since(began))
}

// sleepPastChangeDelay sleeps until 500 ms after maxChangeDelay since t.
func sleepPastChangeDelay(t time.Time) { time.Sleep(time.Until(t.Add(maxChangeDelay + time.Second/2))) }

// TestWithdrawal withdraws or takes out different targets under steady load and
// checks the work that endpoints received.
func TestWithdrawal(t *testing.T) {
	r := startChanges(t)
	l := r.steadyLoad(qt.New(t), withdrawalRate, 1)
	tests := []struct {
		name string
		run  func(*changesRun, *qt.C)
	}{
		{"leaving endpoints", testLeavingEndpoints},
		{"withdrawn version and paused daemons", testWithdrawnPaused},
		{"failure domain out and another cut off", testDomainOut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r.awaitAllServing(c)
			test.run(r, c)
		})
	}
	t.Run("VM out", func(t *testing.T) { testVMOut(r, l, qt.New(t)) })
	l.end()
	t.Log(l.summary)
	qt.Check(t, l.summary.Faults, qt.HasLen, 0)
}

// testLeavingEndpoints announces that one endpoint is leaving only in the list
// of VMs and another only in its load reports.
func testLeavingEndpoints(r *changesRun, c *qt.C) {
	type leaving struct {
		Leaving bool `json:"leaving"`
	}
	left := time.Now()
	c.Assert(r.ListLeaving(r.ctx, "a-model"), qt.IsNil)
	c.Assert(r.Faults(r.ctx, "c-model", leaving{true}), qt.IsNil)
	sleepPastChangeDelay(left)
	until := time.Now()
	c.Assert(r.ClearLeaving(r.ctx, "a-model"), qt.IsNil)
	c.Assert(r.ClearLeaving(r.ctx, "c-model"), qt.IsNil)
	ws := r.received(c)
	c.Logf("last new work %v after the list of VMs reported leaving", checkStops(c, ws, left, until, byEndpoint("a-model")))
	c.Logf("last new work %v after the load reports reported leaving", checkStops(c, ws, left, until, byEndpoint("c-model")))
	c.Check(len(workBetween(ws, left.Add(maxChangeDelay), until, byEndpoint("a-other"))) > 0, qt.IsTrue)
}

// testWithdrawnPaused withdraws a version while daemons are paused and a
// failure domain is cut off from the platform. The paused daemons resume after
// maxChangeDelay with calls waiting in their connections and queues.
func testWithdrawnPaused(r *changesRun, c *qt.C) {
	c.Assert(r.PartitionPlatform(r.ctx, "b"), qt.IsNil)
	c.Assert(r.Pause("a-1"), qt.IsNil)
	c.Assert(r.Pause("c-1"), qt.IsNil)
	a := r.changeAt(c, withdraw("triage@1"), "a-2", "b-1")
	reachable := r.awaitActive(c, a.Generation, a.At, "a-2", "b-1", "b-2")
	wait := r.burst(20, 4, "a-1", "c-1")
	sleepPastChangeDelay(a.At)
	resumed := time.Now()
	c.Assert(r.Resume("a-1"), qt.IsNil)
	c.Assert(r.Resume("c-1"), qt.IsNil)
	late := r.awaitActive(c, a.Generation, resumed, "a-1", "c-1")
	wait()
	ws := r.received(c)
	last := checkStops(c, ws, a.At, time.Now(), byVersion("triage@1"))
	c.Logf("active after %v, in the paused daemons %v after they resumed; last new work after %v", reachable, late, last)
	c.Assert(r.Heal(r.ctx), qt.IsNil)
	r.changeAt(c, clearOverrides, "a-2")
}

func clearOverrides(c *fescuelatch.Configuration) { c.Overrides = fescuelatch.Overrides{} }

// testDomainOut takes a failure domain out and withdraws a version while
// another failure domain is isolated. The isolated domain must stop using the
// version once it receives the change after healing.
func testDomainOut(r *changesRun, c *qt.C) {
	c.Assert(r.Isolate(r.ctx, "b"), qt.IsNil)
	out := r.changeAt(c, func(c *fescuelatch.Configuration) {
		c.Overrides.DomainsOut = []fescuelatch.DomainID{"a"}
		c.Overrides.Withdrawn = []fescuelatch.VersionID{"triage@1"}
	}, "a-1", "c-1")
	sleepPastChangeDelay(out.At)
	// Calls that still reach the failure domain are forwarded.
	r.burst(5, 4, "a-1", "a-2")()
	healed := time.Now()
	c.Assert(r.Heal(r.ctx), qt.IsNil)
	asked := time.Now()
	in := r.changeAt(c, func(c *fescuelatch.Configuration) { c.Overrides.DomainsOut = nil }, "c-1")
	r.awaitActive(c, in.Generation, in.At, "a-1", "a-2")
	back := time.Now()
	// An answer takes about a second, so that each call occupies a slot.
	wait := r.burst(100, 200, "a-2")
	sleepPastChangeDelay(in.At)
	wait()
	until := time.Now()
	ws := r.received(c)
	c.Logf("last new work of the failure domain after %v", checkStops(c, ws, out.At, asked, byDomain("a")))
	c.Logf("last new work of the version after %v", checkStops(c, ws, out.At, until, byVersion("triage@1", "b")))
	inside := checkStops(c, ws, healed, until, byVersionIn("triage@1", "b"))
	c.Logf("last new work of the version in the isolated domain %v after healing", inside)
	checkDomainReturn(c, ws, back, until)
	r.changeAt(c, clearOverrides, "a-2")
}

// checkDomainReturn checks that work returns to failure domain "a" gradually:
// although many long calls wait, an endpoint receives work, but in its first
// half second at most half of its slots.
func checkDomainReturn(c *qt.C, ws []work, in, until time.Time) {
	c.Helper()
	const step = time.Second / 2
	for _, e := range []fescuelatch.EndpointID{"a-model", "a-other"} {
		var counts []int
		for t := in; t.Add(step).Before(until); t = t.Add(step) {
			counts = append(counts, len(workBetween(ws, t, t.Add(step), byEndpoint(e))))
		}
		c.Logf("work at %s per half second after the return: %v", e, counts)
		c.Check(counts[0] <= modelSlots/2, qt.IsTrue)
		c.Check(slices.Max(counts) > 0, qt.IsTrue)
	}
}

// modelSlots is the number of slots of a model engine in fleettest.Small.
const modelSlots = 8

// testVMOut takes a VM out. Calls that still reach it are refused, and the
// other daemon takes over its endpoints.
func testVMOut(r *changesRun, l *changesLoad, c *qt.C) {
	r.awaitAllServing(c)
	a := r.changeAt(c, func(c *fescuelatch.Configuration) { c.Overrides.VMsOut = []fescuelatch.VMID{"a-1"} }, "b-1")
	sleepPastChangeDelay(a.At)
	c.Check(r.answers("a-1"), qt.IsFalse)
	c.Check(r.owners(c, "a-2"), qt.DeepEquals, []fescuelatch.VMID{"a-2"})
	l.end()
	ws := r.received(c)
	until := time.Now()
	c.Logf("last new work of the VM after %v", checkStops(c, ws, a.At, until, l.sentTo(r.vm("a-1"))))
	c.Check(len(workBetween(ws, a.At.Add(maxChangeDelay), until, byDomain("a"))) > 0, qt.IsTrue)
}
