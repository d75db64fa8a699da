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

// This file defines the tests of bills.

const (
	billPace = 100 * time.Millisecond
	// billHoldTime is in place of 25 s, to keep the test short.
	billHoldTime = 5 * time.Second
	// billBound is the longest time until a bill is at the platform: a
	// daemon waits for up to 10 s after a failed write and for up to 15 s
	// before each of two writes, as one holds at most 100 bills with keys.
	billBound = 40 * time.Second
	// billCopied is longer than daemons take to notice that the holder of a
	// copy is gone, 3 s, and to find another one.
	billCopied = 5 * time.Second
)

// TestBillsUnderFaults sends requests of all kinds through retries,
// forwards, an outage of the platform and kills. At the end every answered
// request must have one bill, and every request that was not run none.
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

// sendMix sends n requests of each kind to the daemon of m, and repeats those
// that have a key at another daemon.
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
		time.Sleep(billPace)
	}
}

// killAfterAnswers kills a daemon as soon as it has answered. The platform is
// away, so that the bills are nowhere but in copies.
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
// copies of a daemon's bills and, when that has had time to find out, the
// daemon itself. The platform is away.
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
	time.Sleep(billCopied)
	c.Assert(f.Kill(ctx, "a-1"), qt.IsNil)
	c.Assert(o.end(ctx, f), qt.IsNil)
	restart(ctx, c, f, "a-1", "b-1", "b-2")
}

// killOriginAndHolder kills a daemon at the same moment as all of the failure
// domain that holds the first copies of its bills, right after the answers.
// The platform is away.
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
// copies of a daemon's bills and stops the daemon before it can know. The
// platform is away.
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

// billFaults sends requests of all kinds while attempts break, the platform
// is away and its answers are lost.
func billFaults(ctx context.Context, c *qt.C, f *fleet.Fleet, u *callers) {
	c.Helper()
	for n, o := range []onceFault{
		{"desks break", deskFaults(false), deskFaults(true)}, lostAnswers("cut"), outageFault("unavailable"), lostAnswers("timed-out"),
	} {
		c.Assert(o.begin(ctx, f), qt.IsNil)
		sendMix(u, fmt.Sprintf("a-%d", n), "a-1", "b-2", 8)
		sendMix(u, fmt.Sprintf("b-%d", n), "b-1", "a-2", 8)
		c.Assert(o.end(ctx, f), qt.IsNil)
	}
}

// checkBills waits until all answered requests have been billed, and then
// asks for exactly one bill of each, none of those that were not run, and at
// most one of the others. The repeats of a key count as one request.
func checkBills(ctx context.Context, c *qt.C, f *fleet.Fleet, rs []*callReply) {
	c.Helper()
	began := time.Now()
	var bills map[string]int
	for {
		bills = billCounts(ctx, c, f)
		if unbilled(rs, bills) == 0 || time.Since(began) > billBound {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	took := time.Since(began)
	// What a daemon and the holder of its copy both write shows now.
	answered, notRun := make(map[string]bool), make(map[string]bool)
	for _, r := range rs {
		switch r.outcome {
		case fescuelatch.OutcomeAnswered:
			c.Check(r.whole, qt.IsTrue, qt.Commentf("%s", r))
			answered[billed(r)] = true
			c.Check(bills[billed(r)], qt.Equals, 1, qt.Commentf("bills of %s", r))
		case fescuelatch.OutcomeNotRun:
			notRun[billed(r)] = true
		}
	}
	for _, r := range rs {
		if k := billed(r); notRun[k] && !answered[k] && r.outcome == fescuelatch.OutcomeNotRun {
			c.Check(bills[k], qt.Equals, 0, qt.Commentf("bills of %s", r))
		}
	}
	for k, n := range bills {
		c.Check(n, qt.Equals, 1, qt.Commentf("bills of %s", k))
	}
	c.Logf("%d replies %v, %d answered requests, all billed %v after the last", len(rs), tally(rs), len(answered), took.Round(100*time.Millisecond))
	checkSeveralAttempts(ctx, c, f)
}

// checkSeveralAttempts checks that the run had requests of several attempts,
// such as cascades, which have one bill as well.
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
	c.Logf("%d of %d bills are of several attempts", n, len(bs))
	c.Check(n > 0, qt.IsTrue)
}

// billed is what a bill of r stands for: its key, or else the request.
func billed(r *callReply) string {
	if r.key != "" {
		return r.key
	}
	return string(r.request)
}

// billCounts counts the bills at the platform by key, or else by request.
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

func unbilled(rs []*callReply, bills map[string]int) int {
	n := 0
	for _, r := range rs {
		if r.outcome == fescuelatch.OutcomeAnswered && bills[billed(r)] == 0 {
			n++
		}
	}
	return n
}
