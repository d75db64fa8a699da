package failure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"fescuelatch"
	"fescuelatch/fleet"
)

// This file tests at-most-once execution.

const (
	onceSeed = 1
	// onceInterval is the interval between keys, onceIdempotentInterval that
	// between rounds of idempotent requests, and onceFaultInterval that between
	// the starts of faults, each of which lasts two intervals, longer than the
	// lease of a daemon.
	onceInterval           = 100 * time.Millisecond
	onceIdempotentInterval = 400 * time.Millisecond
	onceFaultInterval      = 1500 * time.Millisecond
	onceLateConcurrency    = 16
	// onceClockAhead is the lead of the platform's clock over those of all
	// daemons. onceClockTimeout exceeds the interval of a daemon's calls to the
	// platform, whose answers carry the platform's time.
	onceClockAhead   = 60 * 24 * time.Hour
	onceClockTimeout = 20 * time.Second
)

var onceVMs = []fescuelatch.VMID{"a-1", "a-2", "b-1", "b-2"}

// injectedFault is a fault with functions that begin and end it.
type injectedFault struct {
	name  string
	begin func(ctx context.Context, f *fleet.Fleet) error
	end   func(ctx context.Context, f *fleet.Fleet) error
}

// faults is the request body that sets the faults of a stand-in.
type faults map[string]any

func platformFault(name string, begin, end faults) injectedFault {
	return injectedFault{
		name,
		func(ctx context.Context, f *fleet.Fleet) error { return f.PlatformFaults(ctx, begin) },
		func(ctx context.Context, f *fleet.Fleet) error { return f.PlatformFaults(ctx, end) },
	}
}

// lostAnswersFault randomly drops half of the answers to writes that took
// effect.
func lostAnswersFault(mode string) injectedFault {
	return platformFault("lost answers: "+mode,
		faults{"lost-answer": faults{"probability": 0.5}, "lost-answer-mode": mode},
		faults{"lost-answer": faults{"probability": 0}})
}

func outageFault(mode string) injectedFault {
	return platformFault("platform: "+mode, faults{"outage": mode}, faults{"outage": ""})
}

func pauseFault(m fescuelatch.VMID) injectedFault {
	return injectedFault{
		"pause " + string(m),
		func(_ context.Context, f *fleet.Fleet) error { return f.Pause(m) },
		func(_ context.Context, f *fleet.Fleet) error { return f.Resume(m) },
	}
}

func killFault(m fescuelatch.VMID) injectedFault {
	return injectedFault{
		"kill " + string(m),
		func(ctx context.Context, f *fleet.Fleet) error { return f.Kill(ctx, m) },
		func(ctx context.Context, f *fleet.Fleet) error { return f.Restart(ctx, m) },
	}
}

func deskFaults(end bool) func(ctx context.Context, f *fleet.Fleet) error {
	p := 0.2
	if end {
		p = 0
	}
	chance := faults{"probability": p}
	return func(ctx context.Context, f *fleet.Fleet) error {
		for _, e := range []fescuelatch.EndpointID{"a-desk", "b-desk"} {
			err := f.Faults(ctx, e, faults{
				"cut": chance, "cut-before": chance, "unavailable": chance, "late": chance, "late-by": time.Second,
			})
			if err != nil {
				return err
			}
		}
		return nil
	}
}

func heal(ctx context.Context, f *fleet.Fleet) error { return f.Heal(ctx) }

// faultSchedule lists faults in starting order; each overlaps its neighbors.
// The order leaves a running daemon in each failure domain.
var faultSchedule = []injectedFault{
	pauseFault("a-1"),
	killFault("b-2"),
	lostAnswersFault("cut"),
	{"cut a from b", func(ctx context.Context, f *fleet.Fleet) error { return f.Partition(ctx, "a", "b") }, heal},
	outageFault("refuse"),
	pauseFault("b-1"),
	lostAnswersFault("timed-out"),
	{"desks break", deskFaults(false), deskFaults(true)},
	{"cut a from the platform", func(ctx context.Context, f *fleet.Fleet) error { return f.PartitionPlatform(ctx, "a") }, heal},
	platformFault("slow platform", faults{"slowness": 400 * time.Millisecond}, faults{"slowness": 0}),
	outageFault("hang"),
}

// Limits of rejections during a platform outage. A daemon detects the outage by
// one claim with a timeout of 1 s, and so does the owner in the other failure
// domain; the remaining 500 ms are overhead. From then on rejections are
// immediate, except for one request per second that probes the platform.
const (
	maxRefusalTime       = 2500 * time.Millisecond
	maxPromptRefusalTime = 250 * time.Millisecond
	maxRefusalProbes     = 2 * 3 // owners times started seconds
	refusalDetectionTime = 2 * time.Second
)

// TestRejectionsDuringPlatformOutage sends bans to each daemon while the platform is unavailable.
// Each must be rejected promptly, as not run and with a retry delay, and
// concurrent lookups must be answered.
func TestRejectionsDuringPlatformOutage(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startFleet(t)
	warmUp(ctx, c, f)
	for _, ahead := range []time.Duration{0, onceClockAhead, 0} {
		checkDatedKeys(ctx, c, f, ahead)
	}
	for _, mode := range []string{"refuse", "unavailable", "hang"} {
		c.Run(mode, func(c *qt.C) {
			o := outageFault(mode)
			c.Assert(o.begin(ctx, f), qt.IsNil)
			checkRefusals(ctx, c, f, mode)
			c.Assert(o.end(ctx, f), qt.IsNil)
		})
	}
}

// checkDatedKeys sends bans whose keys are dated by the platform's clock, which
// is ahead of the clocks of all daemons. A request with an expired key may have
// run before, so that "not run" would be wrong.
func checkDatedKeys(ctx context.Context, c *qt.C, f *fleet.Fleet, ahead time.Duration) {
	c.Assert(f.PlatformFaults(ctx, faults{"clock-ahead": ahead}), qt.IsNil)
	now := time.Now().Add(ahead).UTC()
	tests := []struct {
		days    int // from today
		outcome fescuelatch.Outcome
		runs    int
	}{
		{0, fescuelatch.OutcomeAnswered, 1},
		{-30, fescuelatch.OutcomeUnknown, 0},
		{30, fescuelatch.OutcomeNotRun, 0},
	}
	u := newCallers(c, f)
	for _, m := range onceVMs {
		synced := eventually(onceClockTimeout, func() bool {
			key := fmt.Sprintf("%s/%s", now.Format("2006-01-02"), uuid.NewString())
			return u.send(call{vm: m, nonce: key, key: key, operation: "ban"}).outcome == fescuelatch.OutcomeAnswered
		})
		c.Assert(synced, qt.IsTrue, qt.Commentf("%s has not adopted the platform's time", m))
	}
	for _, test := range tests {
		key := fmt.Sprintf("%s/ban-%v", now.AddDate(0, 0, test.days).Format("2006-01-02"), now.UnixNano())
		for _, m := range onceVMs {
			r := u.send(call{vm: m, nonce: key, key: key, operation: "ban"})
			c.Check(r.outcome, qt.Equals, test.outcome, qt.Commentf("%s", r))
		}
		c.Check(executions(ctx, c, f)[key], qt.HasLen, test.runs)
	}
}

func checkRefusals(ctx context.Context, c *qt.C, f *fleet.Fleet, mode string) {
	u, lookups := newCallers(c, f), newCallers(c, f)
	began := time.Now()
	for n := 0; time.Since(began) < 2*refusalDetectionTime; n++ {
		for _, m := range onceVMs {
			nonce := fmt.Sprintf("%s-%d-%s", mode, n, m)
			u.start(call{vm: m, nonce: nonce, key: nonce, operation: "ban"})
			lookups.start(call{vm: m, nonce: "lookup-" + nonce, operation: "lookup"})
		}
		time.Sleep(onceIdempotentInterval)
	}
	done := executions(ctx, c, f)
	var longest time.Duration
	var later, atOnce int
	for _, r := range u.all() {
		c.Check(r.outcome, qt.Equals, fescuelatch.OutcomeNotRun, qt.Commentf("%s", r))
		c.Check(r.retryAfter > 0, qt.IsTrue, qt.Commentf("%s", r))
		c.Check(r.code, qt.Equals, "platform-away", qt.Commentf("%s", r))
		c.Check(r.total <= maxRefusalTime, qt.IsTrue, qt.Commentf("%s", r))
		c.Check(done[r.key], qt.HasLen, 0)
		longest = max(longest, r.total)
		if r.sent.Sub(began) >= refusalDetectionTime {
			later++
			if r.total <= maxPromptRefusalTime {
				atOnce++
			}
		}
	}
	c.Check(later-atOnce <= maxRefusalProbes, qt.IsTrue, qt.Commentf("%d of %d were prompt", atOnce, later))
	for _, r := range lookups.all() {
		c.Check(r.outcome == fescuelatch.OutcomeAnswered && r.whole, qt.IsTrue, qt.Commentf("%s", r))
	}
	c.Logf("%s: bans %v, longest %v, %d of the later %d prompt; lookups %v",
		mode, tally(u.all()), longest, atOnce, later, tally(lookups.all()))
}

// TestAtMostOnceUnderFaults sends each of many bans to all daemons concurrently, and
// half of them again later, during a series of faults. No key may be executed
// twice, whatever outcome was reported.
func TestAtMostOnceUnderFaults(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f := startFleet(t)
	u, idempotent := newCallers(c, f), newCallers(c, f)
	warmUp(ctx, c, f)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { sendBans(u, stop) })
	wg.Go(func() { sendIdempotent(idempotent, stop) })
	began := time.Now()
	runOnceFaults(ctx, c, f)
	ended := time.Now()
	close(stop)
	wg.Wait()
	rs := u.all()
	checkOnce(ctx, c, f, rs)
	checkIdempotent(c, idempotent.all(), began, ended)
	checkLateRepeats(ctx, c, f, rs)
	c.Assert(f.Crashed(), qt.HasLen, 0)
}

// runOnceFaults begins and ends all faults.
func runOnceFaults(ctx context.Context, c *qt.C, f *fleet.Fleet) {
	list := faultSchedule
	time.Sleep(onceFaultInterval)
	for i := range len(list) + 2 {
		if i >= 2 {
			c.Assert(list[i-2].end(ctx, f), qt.IsNil, qt.Commentf(list[i-2].name))
		}
		if i < len(list) {
			c.Assert(list[i].begin(ctx, f), qt.IsNil, qt.Commentf(list[i].name))
		}
		time.Sleep(onceFaultInterval)
	}
}

// sendBans sends bans to all daemons until stop is closed, half of them again
// after up to 4 s.
func sendBans(u *callers, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(onceSeed, 1))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(onceInterval):
		}
		key := fmt.Sprintf("ban-%d", n)
		sendToAll(u, key)
		if r.IntN(2) == 0 {
			later := time.Duration(r.Float64() * float64(4*time.Second))
			u.wg.Go(func() { time.Sleep(later); sendToAll(u, key) })
		}
	}
}

func sendToAll(u *callers, key string) {
	for _, m := range onceVMs {
		u.start(call{vm: m, nonce: key, key: key, operation: "ban"})
	}
}

// sendIdempotent sends idempotent requests to all daemons until stop is closed.
func sendIdempotent(u *callers, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(onceIdempotentInterval):
		}
		for _, m := range onceVMs {
			u.start(call{vm: m, nonce: fmt.Sprintf("beside-%d-%s", n, m), timeout: 2 * time.Second})
		}
	}
}

// checkOnce checks the reported outcomes of bans against the executions.
//
// "Not run" is correct if no execution belongs to that request; if all repeats
// of a key were not run, the key must have no execution. "Answered" is correct
// if the key has one execution and the answer belongs to the request.
func checkOnce(ctx context.Context, c *qt.C, f *fleet.Fleet, rs []*callReply) {
	c.Helper()
	done := executions(ctx, c, f)
	delete(done, warmUpNonce)
	ran := make(map[string]bool)
	for key, es := range done {
		c.Check(es, qt.HasLen, 1, qt.Commentf("executions of %s", key))
		for _, e := range es {
			request, _, _ := strings.Cut(string(e.Attempt), ".")
			ran[request] = true
		}
	}
	allNotRun := make(map[string]bool)
	for _, r := range rs {
		if _, ok := allNotRun[r.key]; !ok {
			allNotRun[r.key] = true
		}
		switch r.outcome {
		case fescuelatch.OutcomeNotRun:
			c.Check(ran[string(r.request)], qt.IsFalse, qt.Commentf("ran: %s", r))
			c.Check(r.retryAfter > 0, qt.IsTrue, qt.Commentf("no retry delay: %s", r))
			continue
		case fescuelatch.OutcomeAnswered:
			c.Check(r.whole, qt.IsTrue, qt.Commentf("%s", r))
			c.Check(done[r.key], qt.HasLen, 1, qt.Commentf("%s", r))
		case fescuelatch.OutcomeUnknown:
		default:
			c.Check(r.err, qt.IsNotNil, qt.Commentf("a reply without an outcome: %s", r))
		}
		allNotRun[r.key] = false
	}
	for key, not := range allNotRun {
		c.Check(not && len(done[key]) > 0, qt.IsFalse, qt.Commentf("%s was executed but all repeats were reported as not run", key))
	}
	c.Logf("seed %d: %d bans of %d keys, %d executed, outcomes %v", onceSeed, len(rs), len(allNotRun), len(done), tally(rs))
	c.Assert(len(done) > 0, qt.IsTrue)
}

// maxIdempotentGap is the longest time for which a failure domain may answer no
// idempotent request. Each domain always has a running daemon and its own
// engine. A daemon takes over from a lost one after 2.5 s and stops forwarding
// to an unreachable one after 3 s; two faults overlap, and an affected request
// waits for its timeout of 2 s.
const maxIdempotentGap = 7500 * time.Millisecond

func checkIdempotent(c *qt.C, rs []*callReply, began, ended time.Time) {
	c.Helper()
	last := map[string]time.Time{"a": began, "b": began}
	longest := make(map[string]time.Duration)
	answered := make([]*callReply, 0, len(rs))
	for _, r := range rs {
		if r.outcome == fescuelatch.OutcomeAnswered {
			c.Check(r.whole, qt.IsTrue, qt.Commentf("%s", r))
			answered = append(answered, r)
		}
	}
	note := func(d string, at time.Time) {
		longest[d] = max(longest[d], at.Sub(last[d]))
		last[d] = at
	}
	for _, r := range answered {
		if at := r.sent.Add(r.total); at.After(last[string(r.vm[0])]) {
			note(string(r.vm[0]), at)
		}
	}
	for d := range last {
		note(d, ended)
		c.Check(longest[d] <= maxIdempotentGap, qt.IsTrue, qt.Commentf("failure domain %s gave no answer for %v", d, longest[d]))
	}
	c.Logf("%d idempotent requests, outcomes %v, longest time without an answer %v", len(rs), tally(rs), longest)
}

// checkLateRepeats repeats every key after the faults. No executed key may run
// again, a key that was answered must be answered again, and "not run" needs a
// retry delay.
func checkLateRepeats(ctx context.Context, c *qt.C, f *fleet.Fleet, rs []*callReply) {
	c.Helper()
	for _, m := range onceVMs {
		c.Assert(f.WaitReady(ctx, m), qt.IsNil)
	}
	time.Sleep(2 * time.Second) // Lets daemons write outcomes that were delayed by platform outages.
	keys := make(map[string]bool)
	answered := make(map[string]bool)
	for _, r := range rs {
		keys[r.key] = true
		if r.outcome == fescuelatch.OutcomeAnswered {
			answered[r.key] = true
		}
	}
	u := newCallers(c, f)
	slots := make(chan struct{}, onceLateConcurrency)
	for key := range keys {
		slots <- struct{}{}
		u.wg.Go(func() {
			u.send(call{vm: "a-2", nonce: key, key: key, operation: "ban"})
			<-slots
		})
	}
	late := u.all()
	for _, r := range late {
		c.Check(r.outcome == fescuelatch.OutcomeAnswered || !answered[r.key], qt.IsTrue, qt.Commentf("was answered before: %s", r))
	}
	c.Logf("late repeats: %v", tally(late))
	checkOnce(ctx, c, f, append(late, rs...))
}
