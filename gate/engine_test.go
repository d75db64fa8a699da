package gate_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fescuelatch"
)

// This file simulates model engines and client accounts, to compare gates over the
// same arrivals.

const (
	engineTick     = 10 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	reportLag      = 500 * time.Millisecond
	coldTime       = 4 * time.Second
	serviceMin     = 300 * time.Millisecond
	serviceSpread  = 400 * time.Millisecond
	coldSlowdown   = 6
	testVersion    = fescuelatch.VersionID("triage@1")
	nextVersion    = fescuelatch.VersionID("triage@2")
)

// engine is a model engine that crashes when it gets more work than its cold slots
// while cold, and is cold again after the restart.
type engine struct {
	owned       fescuelatch.OwnedEndpoint
	incarnation int
	coldUntil   time.Time
	jobs        []*engineJob
	reports     []fescuelatch.LoadReport
	// maxColdJobs is the highest concurrency while cold.
	maxColdJobs, crashes int
}

type engineJob struct {
	work          fescuelatch.Work
	started       time.Time
	first, end    time.Time
	firstReported bool
}

// client offers work of one account at a rate.
type client struct {
	account  fescuelatch.AccountID
	version  fescuelatch.VersionID // testVersion when empty
	rate     float64               // per second
	from     time.Duration
	deadline time.Duration
	// Outcomes of its work, and the waits of started work.
	offered, answered, refused, broken int
	waits                              []time.Duration
	// late counts answers after the deadline, refusedAfterWait refusals of
	// queued work.
	late, refusedAfterWait int
}

func (c *client) waitQuantile(quantile float64) time.Duration {
	if len(c.waits) == 0 {
		return 0
	}
	slices.Sort(c.waits)
	return c.waits[int(quantile*float64(len(c.waits)-1))]
}

// testbed runs one gate with engines and clients.
type testbed struct {
	gate fescuelatch.Gate
	// Arrivals and service times have separate random sources, so that all
	// gates get the same arrivals.
	arrivals, service *rand.Rand

	start   time.Time
	now     time.Time
	engines []*engine
	clients []*client
	queued  map[fescuelatch.AttemptID]fescuelatch.Work
	count   int
	// starts counts the starts in each tick.
	starts []int
}

func newTestbed(g fescuelatch.Gate, seed uint64, engines, slots, cold int) *testbed {
	b := &testbed{
		gate:     g,
		arrivals: rand.New(rand.NewPCG(seed, 0)),
		service:  rand.New(rand.NewPCG(seed, 1)),
		start:    time.Unix(1_000_000, 0),
		now:      time.Unix(1_000_000, 0),
		queued:   make(map[fescuelatch.AttemptID]fescuelatch.Work),
	}
	for i := range engines {
		o := owned(fmt.Sprint("engine-", i), slots, cold)
		o.Pool.Versions = append(o.Pool.Versions, nextVersion)
		b.engines = append(b.engines, &engine{owned: o})
	}
	b.own()
	return b
}

// owned returns an endpoint that is owned exclusively.
func owned(id string, slots, cold int) fescuelatch.OwnedEndpoint {
	return fescuelatch.OwnedEndpoint{
		Endpoint: fescuelatch.Endpoint{ID: fescuelatch.EndpointID(id), Pool: "pool"},
		Pool: fescuelatch.Pool{
			ID: "pool", Versions: []fescuelatch.VersionID{testVersion}, Slots: slots, ColdSlots: cold,
		},
		Share: 1,
	}
}

func (b *testbed) own() {
	os := make([]fescuelatch.OwnedEndpoint, len(b.engines))
	for i, e := range b.engines {
		os[i] = e.owned
	}
	b.gate.SetOwned(b.now, os)
}

// run advances time by span.
func (b *testbed) run(span time.Duration) {
	for end := b.now.Add(span); b.now.Before(end); {
		b.now = b.now.Add(engineTick)
		b.starts = append(b.starts, 0)
		for _, e := range b.engines {
			b.step(e)
		}
		for _, c := range b.clients {
			if b.now.Sub(b.start) >= c.from && b.arrivals.Float64() < c.rate*engineTick.Seconds() {
				b.offer(c)
			}
		}
		b.decide(b.gate.Poll(b.now))
	}
}

func (b *testbed) offer(c *client) {
	c.offered++
	b.count++
	id := fmt.Sprint("attempt-", b.count)
	w := fescuelatch.Work{
		Attempt: fescuelatch.AttemptID(id),
		Version: cmp.Or(c.version, testVersion),
		Request: &fescuelatch.Request{
			ID: fescuelatch.RequestID(id), Account: c.account,
			Arrived: b.now, Deadline: b.now.Add(c.deadline),
		},
	}
	b.queued[w.Attempt] = w
	b.decide([]fescuelatch.Admission{b.gate.Offer(b.now, w)})
}

func (b *testbed) client(a fescuelatch.AccountID) *client {
	i := slices.IndexFunc(b.clients, func(c *client) bool { return c.account == a })
	return b.clients[i]
}

// decide carries out decisions.
func (b *testbed) decide(as []fescuelatch.Admission) {
	for _, a := range as {
		w, ok := b.queued[a.Attempt]
		if !ok {
			panic("decision on unknown attempt " + a.Attempt)
		}
		c := b.client(w.Request.Account)
		switch a.Verdict {
		case fescuelatch.AdmissionStart:
			delete(b.queued, a.Attempt)
			b.starts[len(b.starts)-1]++
			c.waits = append(c.waits, b.now.Sub(w.Request.Arrived))
			b.begin(a.Endpoint, w)
		case fescuelatch.AdmissionRefuse:
			delete(b.queued, a.Attempt)
			c.refused++
			if b.now.After(w.Request.Arrived) {
				c.refusedAfterWait++
			}
		}
	}
}

func (b *testbed) begin(id fescuelatch.EndpointID, w fescuelatch.Work) {
	i := slices.IndexFunc(b.engines, func(e *engine) bool { return e.owned.Endpoint.ID == id })
	e := b.engines[i]
	j := &engineJob{work: w, started: b.now}
	span := serviceMin + time.Duration(b.service.Int64N(int64(serviceSpread)))
	first := span / 5
	if e.cold(b.now) {
		span, first = span*coldSlowdown, span
	}
	j.first, j.end = b.now.Add(first), b.now.Add(span)
	e.jobs = append(e.jobs, j)
}

func (e *engine) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// restartCold restarts the engine cold without notice; its work breaks.
func (b *testbed) restartCold(e *engine) {
	e.coldUntil = b.now.Add(coldTime)
	e.incarnation++
	jobs := e.jobs
	e.jobs = nil
	for _, j := range jobs {
		b.finish(e, j, fescuelatch.AttemptBroken)
	}
}

func (b *testbed) step(e *engine) {
	if e.cold(b.now) {
		e.maxColdJobs = max(e.maxColdJobs, len(e.jobs))
		if len(e.jobs) > e.owned.Pool.ColdSlots {
			e.crashes++
			b.restartCold(e)
		}
	}
	for _, j := range slices.Clone(e.jobs) {
		if !j.firstReported && !b.now.Before(j.first) {
			j.firstReported = true
			b.gate.FirstToken(b.now, j.work.Attempt)
		}
		if !b.now.Before(j.end) {
			e.jobs = slices.DeleteFunc(e.jobs, func(o *engineJob) bool { return o == j })
			b.finish(e, j, fescuelatch.AttemptAnswered)
		}
	}
	b.report(e)
}

func (b *testbed) finish(e *engine, j *engineJob, s fescuelatch.AttemptStatus) {
	c := b.client(j.work.Request.Account)
	if s == fescuelatch.AttemptAnswered {
		c.answered++
		if b.now.After(j.work.Request.Deadline) {
			c.late++
		}
	} else {
		c.broken++
	}
	r := fescuelatch.AttemptResult{
		Attempt: j.work.Attempt, Endpoint: e.owned.Endpoint.ID, Version: j.work.Version,
		Status: s, Total: b.now.Sub(j.started),
	}
	if j.firstReported {
		r.FirstToken = j.first.Sub(j.started)
	}
	b.decide(b.gate.End(b.now, r))
}

// report sends load reports, which arrive after the lag.
func (b *testbed) report(e *engine) {
	if b.now.Sub(b.start)%reportInterval == 0 {
		state := fescuelatch.EndpointWarm
		if e.cold(b.now) {
			state = fescuelatch.EndpointCold
		}
		e.reports = append(e.reports, fescuelatch.LoadReport{
			Endpoint: e.owned.Endpoint.ID, Incarnation: fescuelatch.Incarnation(fmt.Sprint(e.incarnation)),
			State: state, Running: len(e.jobs), Slots: e.owned.Pool.Slots, Generated: b.now,
		})
	}
	for len(e.reports) > 0 && b.now.Sub(e.reports[0].Generated) >= reportLag {
		r := e.reports[0]
		e.reports = e.reports[1:]
		b.decide(b.gate.Report(b.now, r))
	}
}
