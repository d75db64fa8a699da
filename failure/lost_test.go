package failure

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests forwarded requests whose daemon becomes unresponsive.

const (
	// maxLostTime covers detecting an unresponsive daemon twice, since each
	// of two requests may be sent to it, and the answer from another daemon.
	maxLostTime = 10 * time.Second
	// lostTimeout is the timeout of the requests, which they reach if the
	// unresponsive daemon is not detected.
	lostTimeout = 25 * time.Second
	// lostCalls is the number of calls to each daemon; its retry budget allows
	// that many retries.
	lostCalls = 8
)

// TestForwardsToUnresponsiveDaemonAreRetried pauses a daemon while it runs
// idempotent requests forwarded by others. These must be answered elsewhere
// long before their deadline, without waiting for the paused daemon.
func TestForwardsToUnresponsiveDaemonAreRetried(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startFleet(t)
	warmUp(ctx, c, f)
	late := func(probability float64) {
		for _, e := range f.Configuration.Inventory.Endpoints {
			if e.Pool == "models" {
				fault := faults{"late": faults{"probability": probability}, "late-by": 3 * time.Second}
				c.Assert(f.Faults(ctx, e.ID, fault), qt.IsNil)
			}
		}
	}
	late(1)
	u := newCallers(c, f)
	for n := range lostCalls {
		for _, m := range []fescuelatch.VMID{"a-1", "b-1", "b-2"} {
			u.start(call{vm: m, nonce: fmt.Sprint("lost-", n, "-", m), timeout: lostTimeout})
		}
	}
	time.Sleep(500 * time.Millisecond)
	c.Assert(f.Pause("a-2"), qt.IsNil)
	late(0)
	u.wg.Wait()
	c.Assert(f.Resume("a-2"), qt.IsNil)
	var longest time.Duration
	for _, r := range u.all() {
		c.Check(r.outcome, qt.Equals, fescuelatch.OutcomeAnswered, qt.Commentf("%s", r))
		longest = max(longest, r.total)
	}
	c.Logf("%d calls, the longest took %v, %v", len(u.all()), longest.Round(time.Millisecond), tally(u.all()))
	c.Check(longest < maxLostTime, qt.IsTrue)
}
