package gate_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/gate"
)

// This file tests single decisions of an adaptive gate.

var (
	epoch    = time.Unix(1_000_000, 0)
	settings = gate.Settings{
		QueueLimit:    8,
		ReportLag:     time.Second,
		ReportTimeout: 3 * time.Second,
		RampTime:      10 * time.Second,
	}
)

// at returns a time after epoch.
func at(d time.Duration) time.Time { return epoch.Add(d) }

func work(id string, account fescuelatch.AccountID) fescuelatch.Work {
	return fescuelatch.Work{
		Attempt: fescuelatch.AttemptID(id),
		Version: testVersion,
		Request: &fescuelatch.Request{ID: fescuelatch.RequestID(id), Account: account, Arrived: epoch},
	}
}

func warmReport(now time.Time, running int) fescuelatch.LoadReport {
	return fescuelatch.LoadReport{
		Endpoint: "engine", Incarnation: "1", State: fescuelatch.EndpointWarm,
		Running: running, Generated: now,
	}
}

// warmGate returns a gate whose only endpoint is warm and past its ramp at
// the returned time.
func warmGate(slots, cold int) (*gate.Adaptive, time.Time) {
	g := gate.NewAdaptive(settings)
	g.SetOwned(epoch, []fescuelatch.OwnedEndpoint{owned("engine", slots, cold)})
	now := epoch
	for now.Before(at(15 * time.Second)) {
		now = now.Add(time.Second)
		g.Report(now, warmReport(now, 0))
	}
	return g, now
}

// fill offers n attempts and returns how many started. It advances time, so that
// the spacing of starts does not delay them.
func fill(g *gate.Adaptive, now time.Time, n int) int {
	started := 0
	for i := range n {
		if g.Offer(now, work(fmt.Sprint("fill-", now.UnixNano(), "-", i), "large")).Verdict == fescuelatch.AdmissionStart {
			started++
		}
	}
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		started += starts(g.Poll(now))
	}
	return started
}

func starts(as []fescuelatch.Admission) int {
	n := 0
	for _, a := range as {
		if a.Verdict == fescuelatch.AdmissionStart {
			n++
		}
	}
	return n
}

// breakAttempts starts n attempts that break.
func breakAttempts(g *gate.Adaptive, now time.Time, n int) {
	for i := range n {
		w := work(fmt.Sprint("broken-", i), "large")
		g.Offer(now, w)
		g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptBroken})
	}
}

func TestColdInference(t *testing.T) {
	// A failure lowers the limit of a warm endpoint.
	const slots, lowered, cold = 8, 5, 2
	for _, test := range []struct {
		name string
		act  func(g *gate.Adaptive, now time.Time) time.Time
		want int
	}{
		{"nothing happens", func(_ *gate.Adaptive, now time.Time) time.Time { return now }, slots},
		{"a report that it is cold", func(g *gate.Adaptive, now time.Time) time.Time {
			now = now.Add(time.Second)
			r := warmReport(now, 0)
			r.State = fescuelatch.EndpointCold
			g.Report(now, r)
			return now
		}, cold},
		{"another incarnation", func(g *gate.Adaptive, now time.Time) time.Time {
			now = now.Add(time.Second)
			r := warmReport(now, 0)
			r.Incarnation = "2"
			g.Report(now, r)
			return now
		}, cold},
		{"no report for too long", func(_ *gate.Adaptive, now time.Time) time.Time {
			return now.Add(settings.ReportTimeout + time.Millisecond)
		}, cold},
		{"the same report again", func(g *gate.Adaptive, now time.Time) time.Time {
			g.Report(now.Add(settings.ReportTimeout), warmReport(now, 0))
			return now.Add(settings.ReportTimeout + time.Millisecond)
		}, cold},
		{"slow first tokens", func(g *gate.Adaptive, now time.Time) time.Time {
			now = answer(g, now, 4, 200*time.Millisecond)
			return answer(g, now, 3, 2*time.Second)
		}, cold},
		{"whole answers beside quick first tokens", func(g *gate.Adaptive, now time.Time) time.Time {
			for i := range 4 {
				w := work(fmt.Sprint("streamed-", i), "large")
				w.Request.Streamed = true
				g.Offer(now, w)
				now = now.Add(50 * time.Millisecond)
				g.FirstToken(now, w.Attempt)
				g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptAnswered})
			}
			now = answer(g, now, 4, 600*time.Millisecond)
			return now
		}, slots},
		{"no first tokens", func(g *gate.Adaptive, now time.Time) time.Time {
			now = answer(g, now, 4, 200*time.Millisecond)
			as := make([]fescuelatch.Work, 3)
			for i := range as {
				as[i] = work(fmt.Sprint("slow-", i), "large")
				g.Offer(now, as[i])
			}
			now = now.Add(2 * time.Second)
			g.Poll(now)
			for _, w := range as {
				g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptCancelled})
			}
			return now
		}, cold},
		{"failures in a row", func(g *gate.Adaptive, now time.Time) time.Time {
			breakAttempts(g, now, 3)
			return now
		}, cold},
		{"failures in a row, then quick answers", func(g *gate.Adaptive, now time.Time) time.Time {
			now = answer(g, now, 4, 200*time.Millisecond)
			breakAttempts(g, now, 3)
			for range 4 {
				now = answer(g, now.Add(settings.ReportLag), 1, 200*time.Millisecond)
				g.Report(now, warmReport(now, 0))
			}
			return now
		}, cold},
		{"attempts that were not sent", func(g *gate.Adaptive, now time.Time) time.Time {
			for i := range 3 {
				w := work(fmt.Sprint("unsent-", i), "large")
				g.Offer(now, w)
				g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptNotStarted, Unsent: true})
			}
			return now
		}, slots},
		{"one failure", func(g *gate.Adaptive, now time.Time) time.Time {
			breakAttempts(g, now, 1)
			return now
		}, cold},
		{"one failure, then a report that is too old to show it", func(g *gate.Adaptive, now time.Time) time.Time {
			breakAttempts(g, now, 1)
			now = now.Add(settings.ReportLag / 2)
			g.Report(now, warmReport(now, 0))
			return now
		}, cold},
		{"one failure, then a report that would show it", func(g *gate.Adaptive, now time.Time) time.Time {
			breakAttempts(g, now, 1)
			now = now.Add(settings.ReportLag)
			g.Report(now, warmReport(now, 0))
			return now
		}, lowered},
		{"one failure beside an attempt that continues", func(g *gate.Adaptive, now time.Time) time.Time {
			w := work("continues", "large")
			g.Offer(now, w)
			now = now.Add(100 * time.Millisecond)
			breakAttempts(g, now, 1)
			g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptAnswered})
			return now
		}, lowered},
		{"one failure, then a first token of work that waited", func(g *gate.Adaptive, now time.Time) time.Time {
			ws := make([]fescuelatch.Work, slots+1)
			for i := range ws {
				ws[i] = work(fmt.Sprint("waits-", i), "large")
				g.Offer(now, ws[i])
			}
			now = now.Add(100 * time.Millisecond)
			g.End(now, fescuelatch.AttemptResult{Attempt: ws[0].Attempt, Status: fescuelatch.AttemptBroken})
			for _, w := range ws[1:] {
				g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptCancelled})
			}
			w := work("next", "large")
			g.Offer(now, w)
			g.FirstToken(now.Add(100*time.Millisecond), w.Attempt)
			now = now.Add(200 * time.Millisecond)
			g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptAnswered})
			return now
		}, cold},
		{"deadlines soon after the first token", func(g *gate.Adaptive, now time.Time) time.Time {
			now = answer(g, now, 4, 200*time.Millisecond)
			return expire(g, now, true, 2*time.Second)
		}, slots},
		{"deadlines before a first token was due", func(g *gate.Adaptive, now time.Time) time.Time {
			now = answer(g, now, 4, 200*time.Millisecond)
			return expire(g, now, false, 300*time.Millisecond)
		}, slots},
		{"deadlines while first tokens are long overdue", func(g *gate.Adaptive, now time.Time) time.Time {
			now = answer(g, now, 4, 200*time.Millisecond)
			return expire(g, now, false, 2*time.Second)
		}, cold},
		{"deadlines without a known latency", func(g *gate.Adaptive, now time.Time) time.Time {
			return expire(g, now, false, 300*time.Millisecond)
		}, cold},
		{"a report that it is leaving", func(g *gate.Adaptive, now time.Time) time.Time {
			now = now.Add(time.Second)
			r := warmReport(now, 0)
			r.State = fescuelatch.EndpointLeaving
			g.Report(now, r)
			return now
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, now := warmGate(slots, cold)
			now = test.act(g, now)
			qt.Assert(t, fill(g, now, 8), qt.Equals, test.want)
		})
	}
}

// expire runs three attempts that are cut off after d by their callers'
// deadlines.
func expire(g *gate.Adaptive, now time.Time, first bool, d time.Duration) time.Time {
	for i := range 3 {
		w := work(fmt.Sprint("expires-", i), "large")
		g.Offer(now, w)
		if first {
			g.FirstToken(now.Add(100*time.Millisecond), w.Attempt)
		}
		now = now.Add(d)
		g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptExpired})
		g.Report(now, warmReport(now, 0))
	}
	return now
}

// answer runs n attempts in sequence whose first token arrives after d, with a
// report after each.
func answer(g *gate.Adaptive, now time.Time, n int, d time.Duration) time.Time {
	for range n {
		w := work(fmt.Sprint("answer-", now.UnixNano()), "large")
		g.Offer(now, w)
		now = now.Add(d)
		g.FirstToken(now, w.Attempt)
		g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptAnswered})
		g.Report(now, warmReport(now, 0))
	}
	return now
}

func TestShares(t *testing.T) {
	for _, test := range []struct {
		name  string
		share float64
		want  int
	}{
		{"whole", 1, 5},
		{"half", 0.5, 2},
		{"an eighth", 0.125, 0},
		{"none", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gate.NewAdaptive(settings)
			o := owned("engine", 8, 5)
			o.Share = test.share
			g.SetOwned(epoch, []fescuelatch.OwnedEndpoint{o})
			g.Report(at(time.Millisecond), fescuelatch.LoadReport{Endpoint: "engine", State: fescuelatch.EndpointCold})
			qt.Assert(t, fill(g, at(time.Millisecond), 8), qt.Equals, test.want)
		})
	}
}

func TestTakeover(t *testing.T) {
	c := qt.New(t)
	g := gate.NewAdaptive(settings)
	o := owned("engine", 8, 5)
	o.After = at(time.Second)
	g.SetOwned(epoch, []fescuelatch.OwnedEndpoint{o})
	g.Report(at(900*time.Millisecond), warmReport(at(900*time.Millisecond), 0))
	c.Assert(g.Offer(at(900*time.Millisecond), work("early", "large")).Verdict, qt.Equals, fescuelatch.AdmissionQueue)
	c.Assert(g.Poll(at(1100*time.Millisecond)), qt.HasLen, 0, qt.Commentf("no report has arrived since"))

	r := warmReport(at(1200*time.Millisecond), 4)
	r.State = fescuelatch.EndpointCold
	c.Assert(starts(g.Report(at(1200*time.Millisecond), r)), qt.Equals, 1)
	c.Assert(fill(g, at(1300*time.Millisecond), 4), qt.Equals, 0, qt.Commentf("work of a former owner still runs"))

	r.Generated, r.Running = at(4*time.Second), 1
	c.Assert(starts(g.Report(at(4*time.Second), r)), qt.Equals, 1)
	c.Assert(fill(g, at(4200*time.Millisecond), 0), qt.Equals, 3)
}

func TestRefusals(t *testing.T) {
	within := func(w fescuelatch.Work, now time.Time, d time.Duration) fescuelatch.Work {
		w.Request.Deadline = now.Add(d)
		return w
	}
	for _, test := range []struct {
		name  string
		offer func(now time.Time) fescuelatch.Work
		want  fescuelatch.AdmissionVerdict
	}{
		{"in time", func(now time.Time) fescuelatch.Work {
			return within(work("a", "small"), now, 10*time.Second)
		}, fescuelatch.AdmissionQueue},
		{"too late", func(now time.Time) fescuelatch.Work {
			return within(work("a", "small"), now, 1500*time.Millisecond)
		}, fescuelatch.AdmissionRefuse},
		{"expired", func(now time.Time) fescuelatch.Work {
			return within(work("a", "small"), now, 0)
		}, fescuelatch.AdmissionRefuse},
		{"unknown version", func(time.Time) fescuelatch.Work {
			w := work("a", "small")
			w.Version = "other@1"
			return w
		}, fescuelatch.AdmissionRefuse},
		{"unknown endpoint", func(time.Time) fescuelatch.Work {
			w := work("a", "small")
			w.Endpoint = "other"
			return w
		}, fescuelatch.AdmissionRefuse},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g, now := warmGate(1, 1)
			w := work("first", "large")
			g.Offer(now, w)
			g.End(now.Add(time.Second), fescuelatch.AttemptResult{
				Attempt: w.Attempt, Version: testVersion, Status: fescuelatch.AttemptAnswered, Total: time.Second,
			})
			now = now.Add(time.Second)
			g.Offer(now, work("runs", "large"))
			a := g.Offer(now, test.offer(now))
			c.Assert(a.Verdict, qt.Equals, test.want)
			c.Assert(a.RetryAfter > 0, qt.Equals, test.want == fescuelatch.AdmissionRefuse)
		})
	}
}

func TestQueue(t *testing.T) {
	c := qt.New(t)
	g, now := warmGate(1, 1)
	c.Assert(g.Offer(now, work("runs", "large")).Verdict, qt.Equals, fescuelatch.AdmissionStart)
	low, high := work("low", "large"), work("high", "large")
	low.Request.Priority, high.Request.Priority = fescuelatch.PriorityLow, fescuelatch.PriorityHigh
	for _, w := range []fescuelatch.Work{low, work("normal", "large"), high, work("small", "small")} {
		c.Assert(g.Offer(now, w).Verdict, qt.Equals, fescuelatch.AdmissionQueue)
	}
	c.Assert(g.Spare(now), qt.DeepEquals, []fescuelatch.Spare{{Version: testVersion, Queued: 4, Slots: 1}})
	c.Assert(g.End(now, fescuelatch.AttemptResult{Attempt: "normal"}), qt.HasLen, 0)

	// The large account has been served once, so the small one is due.
	last := fescuelatch.AttemptID("runs")
	for _, want := range []fescuelatch.AttemptID{"small", "high", "low"} {
		as := g.End(now, fescuelatch.AttemptResult{Attempt: last, Status: fescuelatch.AttemptAnswered})
		c.Assert(as, qt.HasLen, 1)
		c.Assert(as[0].Attempt, qt.Equals, want)
		last = want
	}
}

// TestVersionsTakeTurns checks that versions which share an endpoint are served in
// order of arrival, whatever their names.
func TestVersionsTakeTurns(t *testing.T) {
	c := qt.New(t)
	g, now := warmGate(1, 1)
	o := owned("engine", 1, 1)
	o.Pool.Versions = append(o.Pool.Versions, "triage@2")
	g.SetOwned(now, []fescuelatch.OwnedEndpoint{o})
	last := fescuelatch.AttemptID("runs")
	g.Offer(now, work("runs", "a"))
	waiting := []fescuelatch.AttemptID{"2-a", "1-a", "1-b", "2-b"}
	for _, id := range waiting {
		w := work(string(id), "a")
		if id[0] == '2' {
			w.Version = "triage@2"
		}
		c.Assert(g.Offer(now, w).Verdict, qt.Equals, fescuelatch.AdmissionQueue)
	}
	for _, id := range waiting {
		as := g.End(now, fescuelatch.AttemptResult{Attempt: last, Status: fescuelatch.AttemptAnswered})
		c.Assert(as, qt.HasLen, 1)
		last = as[0].Attempt
		c.Check(last, qt.Equals, id)
	}
}

func TestQueueLeavesRoom(t *testing.T) {
	c := qt.New(t)
	g, now := warmGate(1, 1)
	verdicts := make(map[fescuelatch.AdmissionVerdict]int)
	for i := range 20 {
		verdicts[g.Offer(now, work(fmt.Sprint(i), "large")).Verdict]++
	}
	c.Assert(verdicts[fescuelatch.AdmissionQueue], qt.Equals, settings.QueueLimit/2)
	c.Assert(g.Offer(now, work("small", "small")).Verdict, qt.Equals, fescuelatch.AdmissionQueue)
}

func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	g, now := warmGate(8, 8)
	started := 0
	for i := range 40 {
		w := work("same", "large")
		w.Attempt = fescuelatch.AttemptID(fmt.Sprint(i))
		a := g.Offer(now, w)
		if a.Verdict != fescuelatch.AdmissionStart {
			c.Assert(a.Verdict, qt.Equals, fescuelatch.AdmissionRefuse)
			continue
		}
		started++
		g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptNotStarted, Overloaded: true})
		now = now.Add(time.Second)
		g.Report(now, warmReport(now, 0))
	}
	c.Assert(started, qt.Equals, 11) // one first attempt and a burst of retries
}

func TestOverloadLowersLimit(t *testing.T) {
	c := qt.New(t)
	g, now := warmGate(8, 2)
	w := work("refused", "large")
	g.Offer(now, w)
	g.End(now, fescuelatch.AttemptResult{Attempt: w.Attempt, Status: fescuelatch.AttemptNotStarted, Overloaded: true})
	c.Assert(g.Spare(now)[0].Slots, qt.Equals, 5)
	now = answer(g, now.Add(time.Second), 40, 100*time.Millisecond)
	c.Assert(g.Spare(now)[0].Slots, qt.Equals, 8)
}

// TestTooLateToStart checks that queued work which can no longer end in time is
// refused, not started, when a slot becomes free.
func TestTooLateToStart(t *testing.T) {
	tests := []struct {
		name string
		left time.Duration // until the deadline when the slot becomes free
		want fescuelatch.AdmissionVerdict
	}{
		{"enough time", time.Second, fescuelatch.AdmissionStart},
		{"too little time", 100 * time.Millisecond, fescuelatch.AdmissionRefuse},
		{"too little time for an unknown latency", 400 * time.Millisecond, fescuelatch.AdmissionRefuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g, now := warmGate(1, 1)
			c.Assert(g.Offer(now, work("running", "a")).Verdict, qt.Equals, fescuelatch.AdmissionStart)
			w := work("waiting", "a")
			end := now.Add(2 * time.Second)
			w.Request.Deadline = end.Add(test.left)
			c.Assert(g.Offer(now, w).Verdict, qt.Equals, fescuelatch.AdmissionQueue)
			as := g.End(end, fescuelatch.AttemptResult{Attempt: "running", Endpoint: "engine", Status: fescuelatch.AttemptCancelled})
			c.Assert(as, qt.HasLen, 1)
			c.Check(as[0].Verdict, qt.Equals, test.want)
		})
	}
}

// TestQueueOfPools checks that pools with a common version share a queue, that work
// starts at once unless queued work competes with it, and that queued work outlives
// a pool.
func TestQueueOfPools(t *testing.T) {
	c := qt.New(t)
	const left, shared, right = "left", "shared", "right"
	pool := func(id string, versions ...fescuelatch.VersionID) fescuelatch.OwnedEndpoint {
		o := owned("at-"+id, 1, 1)
		o.Pool.ID, o.Pool.Versions = fescuelatch.PoolID(id), versions
		return o
	}
	of := func(id string, v fescuelatch.VersionID) fescuelatch.Work {
		w := work(id, "a")
		w.Version = v
		return w
	}
	g := gate.NewAdaptive(settings)
	one, two := pool("one", left, shared), pool("two", shared, right)
	g.SetOwned(epoch, []fescuelatch.OwnedEndpoint{one, two})
	for _, test := range []struct {
		work fescuelatch.Work
		want fescuelatch.AdmissionVerdict
	}{
		{of("left-runs", left), fescuelatch.AdmissionStart},
		{of("left-waits", left), fescuelatch.AdmissionQueue},
		{of("right-runs", right), fescuelatch.AdmissionStart},
		{of("right-waits", right), fescuelatch.AdmissionQueue},
	} {
		c.Assert(g.Offer(epoch, test.work).Verdict, qt.Equals, test.want, qt.Commentf("%s", test.work.Attempt))
	}
	g.SetOwned(epoch, []fescuelatch.OwnedEndpoint{one})
	as := g.Poll(epoch)
	c.Assert(as, qt.HasLen, 1)
	c.Check(as[0].Attempt, qt.Equals, fescuelatch.AttemptID("right-waits"))
	c.Check(as[0].Verdict, qt.Equals, fescuelatch.AdmissionRefuse)
	as = g.End(at(time.Second), fescuelatch.AttemptResult{Attempt: "left-runs", Status: fescuelatch.AttemptAnswered})
	c.Assert(as, qt.HasLen, 1)
	c.Check(as[0].Attempt, qt.Equals, fescuelatch.AttemptID("left-waits"))
	c.Check(as[0].Verdict, qt.Equals, fescuelatch.AdmissionStart)
}

// TestRampRefills checks that starts during a ramp are spaced out only if they add to
// the load: a slot freed by an answer may be taken at once.
func TestRampRefills(t *testing.T) {
	for _, test := range []struct {
		status fescuelatch.AttemptStatus
		want   int
	}{
		{fescuelatch.AttemptAnswered, 1},
		{fescuelatch.AttemptBroken, 0},
	} {
		t.Run(string(test.status), func(t *testing.T) {
			c := qt.New(t)
			g := gate.NewAdaptive(settings)
			g.SetOwned(epoch, []fescuelatch.OwnedEndpoint{owned("engine", 8, 4)})
			now := at(settings.ReportLag)
			g.Report(now, warmReport(now, 0))
			c.Assert(g.Offer(now, work("first", "a")).Verdict, qt.Equals, fescuelatch.AdmissionStart)
			c.Check(g.Spare(now)[0].Free, qt.Equals, 3)
			c.Assert(g.Offer(now, work("second", "a")).Verdict, qt.Equals, fescuelatch.AdmissionQueue)
			now = now.Add(time.Millisecond)
			as := g.End(now, fescuelatch.AttemptResult{Attempt: "first", Status: test.status, Total: time.Millisecond})
			c.Check(starts(as), qt.Equals, test.want)
			c.Check(starts(g.Poll(now.Add(200*time.Millisecond))), qt.Equals, 1-test.want)
		})
	}
}

// TestForecastRefusal checks that queued work is refused, with its expected wait, as
// soon as the measured latency shows that it would start too late.
func TestForecastRefusal(t *testing.T) {
	c := qt.New(t)
	g, now := warmGate(1, 1)
	c.Assert(g.Offer(now, work("runs", "large")).Verdict, qt.Equals, fescuelatch.AdmissionStart)
	for _, id := range []string{"next", "second", "third", "fourth"} {
		w := work(id, "large")
		w.Request.Deadline = now.Add(5 * time.Second)
		c.Assert(g.Offer(now, w).Verdict, qt.Equals, fescuelatch.AdmissionQueue)
	}
	now = now.Add(time.Second)
	as := g.End(now, fescuelatch.AttemptResult{
		Attempt: "runs", Version: testVersion, Status: fescuelatch.AttemptAnswered, Total: time.Second,
	})
	c.Assert(starts(as), qt.Equals, 1)
	as = g.Poll(now)
	c.Assert(as, qt.DeepEquals, []fescuelatch.Admission{
		{Attempt: "fourth", Verdict: fescuelatch.AdmissionRefuse, RetryAfter: 2 * time.Second},
	})
}
