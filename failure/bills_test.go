package failure

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"fescuelatch"
	"fescuelatch/fleet"
)

// This file tests the billing of requests.

const (
	billInterval = 100 * time.Millisecond
	// billHoldTime replaces the default of 25 s to keep the test short.
	billHoldTime = 5 * time.Second
	// maxBillDelay bounds the time until a bill reaches the platform: a
	// daemon waits up to 10 s after a failed write and up to 15 s before each
	// of two writes, as one write contains at most 100 bills with keys.
	maxBillDelay = 40 * time.Second
	// billCopyTime exceeds the time in which daemons detect the loss of the
	// holder of a copy, 3 s, and copy to another one.
	billCopyTime = 5 * time.Second
)

// TestBillsUnderFaults sends requests of all kinds during retries, forwarding,
// platform outages and kills of daemons. At the end every answered request must
// have exactly one bill, and every request that was not run none.
func TestBillsUnderFaults(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f := startFleet(t, func(o *fleet.Options) { o.Daemon = []string{"--bill-hold-time", billHoldTime.String()} })
	warmUp(ctx, c, f)
	u := newCallers(c, f)
	killOriginAndHolder(ctx, c, f, u)
	killAfterAnswers(ctx, c, f, u)
	c.Assert(f.Restart(ctx, "b-1"), qt.IsNil)
	killHolderThenOrigin(ctx, c, f, u)
	stopAfterHolders(ctx, c, f, u)
	billFaults(ctx, c, f, u)
	checkBills(ctx, c, f, u.all())
	c.Assert(f.Crashed(), qt.HasLen, 0)
}

// sendMix sends n requests of each kind to the daemon of m and repeats those
// with an idempotency key at another daemon.
func sendMix(u *callers, run string, m, other fescuelatch.VMID, n int) {
	for k := range n {
		nonce := func(kind string) string { return fmt.Sprintf("%s-%s-%d", run, kind, k) }
		u.start(call{vm: m, nonce: nonce("chat")})
		u.start(call{vm: m, nonce: nonce("stream"), streamed: true})
		u.start(call{vm: m, nonce: nonce("lookup"), operation: "lookup"})
		for _, to := range []fescuelatch.VMID{m, other} {
			u.start(call{vm: to, nonce: nonce("ban"), key: nonce("ban"), operation: "ban"})
			u.start(call{vm: to, nonce: nonce("keyed"), key: nonce("keyed")})
		}
		time.Sleep(billInterval)
	}
}

// killAfterAnswers kills a daemon as soon as it has answered. The platform is
// unavailable, so that only the copies of the bills remain.
func killAfterAnswers(ctx context.Context, c *qt.C, f *fleet.Fleet, u *callers) {
	c.Helper()
	o := outageFault("refuse")
	c.Assert(o.begin(ctx, f), qt.IsNil)
	for n := range 5 {
		r := u.send(call{vm: "b-1", nonce: fmt.Sprintf("last-%d", n)})
		c.Assert(r.outcome, qt.Equals, fescuelatch.OutcomeAnswered, qt.Commentf("%s", r))
	}
	c.Assert(f.Kill(ctx, "b-1"), qt.IsNil)
	c.Assert(o.end(ctx, f), qt.IsNil)
}

// killHolderThenOrigin kills all daemons of the failure domain that holds the
// copies of a daemon's bills and, once that daemon has had time to copy them
// again, the daemon itself. The platform is unavailable.
func killHolderThenOrigin(ctx context.Context, c *qt.C, f *fleet.Fleet, u *callers) {
	c.Helper()
	o := outageFault("refuse")
	c.Assert(o.begin(ctx, f), qt.IsNil)
	for n := range 5 {
		r := u.send(call{vm: "a-1", nonce: fmt.Sprintf("twice-%d", n)})
		c.Assert(r.outcome, qt.Equals, fescuelatch.OutcomeAnswered, qt.Commentf("%s", r))
	}
	c.Assert(f.Kill(ctx, "b-1"), qt.IsNil)
	c.Assert(f.Kill(ctx, "b-2"), qt.IsNil)
	time.Sleep(billCopyTime)
	c.Assert(f.Kill(ctx, "a-1"), qt.IsNil)
	c.Assert(o.end(ctx, f), qt.IsNil)
	restart(ctx, c, f, "a-1", "b-1", "b-2")
}

// killOriginAndHolder kills a daemon together with all daemons of the failure
// domain that holds the first copies of its bills, right after the answers.
// The platform is unavailable.
func killOriginAndHolder(ctx context.Context, c *qt.C, f *fleet.Fleet, u *callers) {
	c.Helper()
	o := outageFault("refuse")
	c.Assert(o.begin(ctx, f), qt.IsNil)
	for n := range 5 {
		r := u.send(call{vm: "a-2", nonce: fmt.Sprintf("together-%d", n)})
		c.Assert(r.outcome, qt.Equals, fescuelatch.OutcomeAnswered, qt.Commentf("%s", r))
	}
	killed := []fescuelatch.VMID{"a-2", "b-1", "b-2"}
	var g errgroup.Group
	for _, m := range killed {
		g.Go(func() error { return f.Kill(ctx, m) })
	}
	c.Assert(g.Wait(), qt.IsNil)
	c.Assert(o.end(ctx, f), qt.IsNil)
	restart(ctx, c, f, killed...)
}

// stopAfterHolders kills all daemons of the failure domain that holds the
// copies of a daemon's bills and stops the daemon before it can detect the
// loss. The platform is unavailable.
func stopAfterHolders(ctx context.Context, c *qt.C, f *fleet.Fleet, u *callers) {
	c.Helper()
	o := outageFault("refuse")
	c.Assert(o.begin(ctx, f), qt.IsNil)
	for n := range 5 {
		r := u.send(call{vm: "a-2", nonce: fmt.Sprintf("stopped-%d", n)})
		c.Assert(r.outcome, qt.Equals, fescuelatch.OutcomeAnswered, qt.Commentf("%s", r))
	}
	c.Assert(f.Kill(ctx, "b-1"), qt.IsNil)
	c.Assert(f.Kill(ctx, "b-2"), qt.IsNil)
	c.Assert(f.Stop(ctx, "a-2"), qt.IsNil)
	c.Assert(o.end(ctx, f), qt.IsNil)
	restart(ctx, c, f, "a-2", "b-1", "b-2")
}

func restart(ctx context.Context, c *qt.C, f *fleet.Fleet, ms ...fescuelatch.VMID) {
	c.Helper()
	for _, m := range ms {
		c.Assert(f.Restart(ctx, m), qt.IsNil)
	}
	for _, m := range ms {
		c.Assert(f.WaitReady(ctx, m), qt.IsNil)
	}
	warmUp(ctx, c, f)
}

// billFaults sends requests of all kinds while attempts fail, the platform is
// unavailable and its answers are lost.
func billFaults(ctx context.Context, c *qt.C, f *fleet.Fleet, u *callers) {
	c.Helper()
	for n, o := range []injectedFault{
		{"desks break", deskFaults(false), deskFaults(true)}, lostAnswersFault("cut"), outageFault("unavailable"), lostAnswersFault("timed-out"),
	} {
		c.Assert(o.begin(ctx, f), qt.IsNil)
		sendMix(u, fmt.Sprintf("a-%d", n), "a-1", "b-2", 8)
		sendMix(u, fmt.Sprintf("b-%d", n), "b-1", "a-2", 8)
		c.Assert(o.end(ctx, f), qt.IsNil)
	}
}

// checkBills checks the bills of a run in which some requests took several
// attempts.
func checkBills(ctx context.Context, c *qt.C, f *fleet.Fleet, rs []*callReply) {
	c.Helper()
	checkEachBilled(ctx, c, f, rs)
	checkSeveralAttempts(ctx, c, f)
}

// checkEachBilled waits until all answered requests have been billed, and then
// requires exactly one bill for each, none for requests that were not run, and
// at most one for the others. Repeats of a key count as one request.
func checkEachBilled(ctx context.Context, c *qt.C, f *fleet.Fleet, rs []*callReply) {
	c.Helper()
	began := time.Now()
	var bills map[string]int
	for {
		bills = billCounts(ctx, c, f)
		if countUnbilled(rs, bills) == 0 || time.Since(began) > maxBillDelay {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	took := time.Since(began)
	// Bills written by both a daemon and the holder of its copy show as
	// duplicates here.
	answered, notRun := make(map[string]bool), make(map[string]bool)
	for _, r := range rs {
		switch r.outcome {
		case fescuelatch.OutcomeAnswered:
			c.Check(r.whole, qt.IsTrue, qt.Commentf("%s", r))
			answered[billKey(r)] = true
			c.Check(bills[billKey(r)], qt.Equals, 1, qt.Commentf("bills of %s", r))
		case fescuelatch.OutcomeNotRun:
			notRun[billKey(r)] = true
		}
	}
	for _, r := range rs {
		if k := billKey(r); notRun[k] && !answered[k] && r.outcome == fescuelatch.OutcomeNotRun {
			c.Check(bills[k], qt.Equals, 0, qt.Commentf("bills of %s", r))
		}
	}
	for k, n := range bills {
		c.Check(n, qt.Equals, 1, qt.Commentf("bills of %s", k))
	}
	c.Logf("%d replies %v, %d answered requests, waited %v for their bills", len(rs), tally(rs), len(answered), took.Round(100*time.Millisecond))
}

// checkSeveralAttempts checks that some bills cover several attempts, such as
// those of a cascade.
func checkSeveralAttempts(ctx context.Context, c *qt.C, f *fleet.Fleet) {
	c.Helper()
	bs, err := f.Bills(ctx)
	c.Assert(err, qt.IsNil)
	n := 0
	for _, b := range bs {
		if b.Attempts > 1 {
			n++
		}
	}
	c.Logf("%d of %d bills cover several attempts", n, len(bs))
	c.Check(n > 0, qt.IsTrue)
}

// billKey returns what identifies the bill of r: the idempotency key, or else
// the request.
func billKey(r *callReply) string {
	if r.key != "" {
		return r.key
	}
	return string(r.request)
}

// billCounts counts the bills at the platform by idempotency key, or else by
// request.
func billCounts(ctx context.Context, c *qt.C, f *fleet.Fleet) map[string]int {
	c.Helper()
	bs, err := f.Bills(ctx)
	c.Assert(err, qt.IsNil)
	m := make(map[string]int)
	for _, b := range bs {
		if b.Key != "" {
			m[b.Key]++
			continue
		}
		m[string(b.Request)]++
	}
	return m
}

func countUnbilled(rs []*callReply, bills map[string]int) int {
	n := 0
	for _, r := range rs {
		if r.outcome == fescuelatch.OutcomeAnswered && bills[billKey(r)] == 0 {
			n++
		}
	}
	return n
}
