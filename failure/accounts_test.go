package failure

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests that an account uses only what it is allowed, also while
// that changes.

const accountCallers = 3 // of each VM

// allow returns an edit that gives the account "daily" models.
func allow(models ...fescuelatch.ModelID) func(*fescuelatch.Configuration) {
	return func(c *fescuelatch.Configuration) { c.Rules.Accounts[0].Models = models }
}

// callAll has an account call all VMs, one call after the other at each, until
// stop is closed, and returns what waits for the end.
func (r *changesRun) callAll(stop <-chan struct{}) func() {
	var callers sync.WaitGroup
	for _, m := range r.Configuration.Inventory.VMs {
		for range accountCallers {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
						r.answersWithin(m.ID, 4, changeBound)
					}
				}
			})
		}
	}
	return callers.Wait
}

// TestAccountLosesAModel takes the right to a model from the only account that
// calls, while daemons are paused with its calls and a failure domain is cut
// off from the platform. No endpoint may get its work after the bound, and all
// daemons must serve it again once the right is back.
func TestAccountLosesAModel(t *testing.T) {
	c := qt.New(t)
	r := startChanges(t)
	warm := changesWithin(3*changeBound, func() bool { return r.answers("a-1") && r.answers("c-1") })
	c.Assert(warm, qt.IsTrue)
	stop := make(chan struct{})
	wait := r.callAll(stop)
	time.Sleep(recent)
	c.Assert(r.CutPlatform(r.ctx, "b"), qt.IsNil)
	c.Assert(r.Pause("a-1"), qt.IsNil)
	c.Assert(r.Pause("c-1"), qt.IsNil)
	a := r.changeAt(c, allow(), "a-2")
	ended := r.burst(5, 4, "a-1", "c-1")
	pastBound(a.At)
	c.Assert(r.Resume("a-1"), qt.IsNil)
	c.Assert(r.Resume("c-1"), qt.IsNil)
	ended()
	until := time.Now()
	last := stops(c, r.received(c), a.At, until, func(work) bool { return true })
	c.Logf("last new work %v after the account lost the model", last)
	c.Assert(r.Heal(r.ctx), qt.IsNil)
	r.changeAt(c, allow("triage"), "a-2")
	for _, m := range r.Configuration.Inventory.VMs {
		c.Check(changesWithin(changeBound, func() bool { return r.answers(m.ID) }), qt.IsTrue, qt.Commentf("%s", m.ID))
	}
	close(stop)
	wait()
}
