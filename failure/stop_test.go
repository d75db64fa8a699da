package failure

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/fleet"
)

// This file defines the tests of planned stops.

const (
	// stopCallers is the number of callers of each VM, each of which makes
	// one call after the other.
	stopCallers = 6
	stopPause   = 150 * time.Millisecond
	// stopBound is the longest time of a stop: that of the longest request,
	// 3 s, of the last writes, 5 s, and of closing the connections.
	stopBound = 9 * time.Second
	// stopGrace is how long after the signal a daemon may still take work.
	stopGrace = time.Second
	// stopBilled bounds the time until the bills of a stopped daemon are at
	// the platform. It writes them before it ends.
	stopBilled = time.Second
)

// TestStopUnderLoad stops two daemons, one of each failure domain, while all
// get requests. Every request must get its own whole answer, or be refused
// as not run and not have run, and be billed as told.
func TestStopUnderLoad(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f := startFleet(t)
	warmUp(ctx, c, f)
	u := newCallers(c, f)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, m := range onceVMs {
		for n := range stopCallers {
			wg.Go(func() { callInTurn(u, m, n, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	began := make(map[fescuelatch.VMID]time.Time)
	for _, m := range []fescuelatch.VMID{"a-1", "b-2"} {
		began[m] = time.Now()
		c.Assert(f.Stop(ctx, m), qt.IsNil)
		took := time.Since(began[m])
		c.Check(took <= stopBound, qt.IsTrue, qt.Commentf("%s stopped in %v", m, took))
		c.Logf("%s stopped in %v", m, took)
		checkBilledBy(ctx, c, f, u, m)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	rs := u.all()
	checkNothingLost(ctx, c, f, rs, began)
	checkBills(ctx, c, f, rs)
	c.Assert(f.Crashed(), qt.HasLen, 0)
}

// callInTurn makes calls of all kinds to m until stop is closed or nothing
// listens there any more.
func callInTurn(u *callers, m fescuelatch.VMID, n int, stop <-chan struct{}) {
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(stopPause):
		}
		c := call{vm: m, nonce: fmt.Sprintf("stop-%s-%d-%d", m, n, k)}
		switch k % 4 {
		case 1:
			c.streamed = true
		case 2:
			c.operation = "lookup"
		case 3:
			c.operation, c.key = "ban", c.nonce
		}
		if r := u.send(c); errors.Is(r.err, syscall.ECONNREFUSED) {
			return
		}
	}
}

// checkBilledBy checks that the answers which a stopped daemon has given are
// billed at the platform.
func checkBilledBy(ctx context.Context, c *qt.C, f *fleet.Fleet, u *callers, m fescuelatch.VMID) {
	c.Helper()
	u.mu.Lock()
	var rs []*callReply
	for _, r := range u.replies {
		if r.vm == m {
			rs = append(rs, r)
		}
	}
	u.mu.Unlock()
	began := time.Now()
	for unbilled(rs, billCounts(ctx, c, f)) > 0 && time.Since(began) < stopBilled {
		time.Sleep(50 * time.Millisecond)
	}
	c.Check(unbilled(rs, billCounts(ctx, c, f)), qt.Equals, 0, qt.Commentf("answers of %s without a bill, of %d", m, len(rs)))
}

// checkNothingLost checks that every call was answered as a whole or refused
// as not run, unless nothing listened, and that the daemons that stop took
// no new work after the grace.
func checkNothingLost(ctx context.Context, c *qt.C, f *fleet.Fleet, rs []*callReply, began map[fescuelatch.VMID]time.Time) {
	c.Helper()
	done := executions(ctx, c, f)
	refused := 0
	for _, r := range rs {
		at, stopped := began[r.vm]
		switch r.outcome {
		case fescuelatch.OutcomeAnswered:
			c.Check(r.whole, qt.IsTrue, qt.Commentf("%s", r))
			c.Check(stopped && r.sent.After(at.Add(stopGrace)), qt.IsFalse, qt.Commentf("new work while stopping: %s", r))
		case fescuelatch.OutcomeNotRun:
			c.Check(r.operation == "" || len(done[r.nonce]) == 0, qt.IsTrue, qt.Commentf("ran: %s", r))
		default:
			c.Check(stopped && errors.Is(r.err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("lost: %s", r))
			refused++
		}
	}
	c.Logf("%d calls: %v, of which %d found nothing listening", len(rs), tally(rs), refused)
}
