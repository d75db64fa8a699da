package failure

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests that an account uses only the models it is allowed, also
// while its permissions change.

const accountCallersPerVM = 3

// allowModels returns an edit that sets the models allowed to account "daily".
func allowModels(models ...fescuelatch.ModelID) func(*fescuelatch.Configuration) {
	return func(c *fescuelatch.Configuration) { c.Rules.Accounts[0].Models = models }
}

// callAll sends sequential calls from several callers to each VM until stop
// is closed. The returned function waits for the callers.
func (r *changesRun) callAll(stop <-chan struct{}) func() {
	var callers sync.WaitGroup
	for _, m := range r.Configuration.Inventory.VMs {
		for range accountCallersPerVM {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
						r.answersWithin(m.ID, 4, maxChangeDelay)
					}
				}
			})
		}
	}
	return callers.Wait
}

// TestModelAccessRevoked revokes the only calling account's access to a model
// while daemons that hold its calls are paused and a failure domain is cut off
// from the platform. After maxChangeDelay no endpoint may receive its work; all
// daemons must serve the account once access is granted again.
func TestModelAccessRevoked(t *testing.T) {
	c := qt.New(t)
	r := startChanges(t)
	warm := eventually(3*maxChangeDelay, func() bool { return r.answers("a-1") && r.answers("c-1") })
	c.Assert(warm, qt.IsTrue)
	stop := make(chan struct{})
	wait := r.callAll(stop)
	time.Sleep(recentWindow)
	c.Assert(r.PartitionPlatform(r.ctx, "b"), qt.IsNil)
	c.Assert(r.Pause("a-1"), qt.IsNil)
	c.Assert(r.Pause("c-1"), qt.IsNil)
	a := r.changeAt(c, allowModels(), "a-2")
	ended := r.burst(5, 4, "a-1", "c-1")
	sleepPastChangeDelay(a.At)
	c.Assert(r.Resume("a-1"), qt.IsNil)
	c.Assert(r.Resume("c-1"), qt.IsNil)
	ended()
	until := time.Now()
	last := checkStops(c, r.received(c), a.At, until, func(work) bool { return true })
	c.Logf("last new work received %v after access to the model was revoked", last)
	c.Assert(r.Heal(r.ctx), qt.IsNil)
	r.changeAt(c, allowModels("triage"), "a-2")
	for _, m := range r.Configuration.Inventory.VMs {
		c.Check(eventually(maxChangeDelay, func() bool { return r.answers(m.ID) }), qt.IsTrue, qt.Commentf("%s", m.ID))
	}
	close(stop)
	wait()
}
