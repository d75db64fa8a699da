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

// This file tests planned stops of daemons.

const (
	// stopCallersPerVM is the number of callers of each VM, which make
	// sequential calls.
	stopCallersPerVM = 6
	stopCallInterval = 150 * time.Millisecond
	// maxStopTime bounds a stop: the longest request takes 3 s, the last
	// writes take 5 s, and closing the connections takes the remainder.
	maxStopTime = 9 * time.Second
	// stopGrace is the time after the signal in which a daemon may still
	// accept work.
	stopGrace = time.Second
	// maxStopBillDelay bounds the time until the bills of a stopped daemon are
	// visible at the platform. The daemon writes them before it exits.
	maxStopBillDelay = time.Second
)

// TestStopUnderLoad stops two daemons, one of each failure domain, under load.
// Every request must get its own complete answer or be correctly reported as
// not run, and be billed accordingly.
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
		for n := range stopCallersPerVM {
			wg.Go(func() { callInTurn(u, m, n, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	began := make(map[fescuelatch.VMID]time.Time)
	for _, m := range []fescuelatch.VMID{"a-1", "b-2"} {
		began[m] = time.Now()
		c.Assert(f.Stop(ctx, m), qt.IsNil)
		took := time.Since(began[m])
		c.Check(took <= maxStopTime, qt.IsTrue, qt.Commentf("%s stopped in %v", m, took))
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

// callInTurn makes sequential calls of all kinds to m until stop is closed or
// the connection is refused.
func callInTurn(u *callers, m fescuelatch.VMID, n int, stop <-chan struct{}) {
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(stopCallInterval):
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

// checkBilledBy checks that the answers of a stopped daemon are billed at the
// platform.
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
	for countUnbilled(rs, billCounts(ctx, c, f)) > 0 && time.Since(began) < maxStopBillDelay {
		time.Sleep(50 * time.Millisecond)
	}
	c.Check(countUnbilled(rs, billCounts(ctx, c, f)), qt.Equals, 0, qt.Commentf("unbilled answers of %s, out of %d replies", m, len(rs)))
}

// checkNothingLost checks that every call was answered completely or reported
// as not run, unless the connection was refused, and that stopping daemons
// accepted no new work after stopGrace.
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
	c.Logf("%d calls: %v, of which %d had their connection refused", len(rs), tally(rs), refused)
}
