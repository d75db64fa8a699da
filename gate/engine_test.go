package gate_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines model engines and client accounts in simulated time, for
// comparisons of gates over the same arrivals.

const (
	engineTick    = 10 * time.Millisecond
	reportEvery   = 250 * time.Millisecond
	reportLag     = 500 * time.Millisecond
	coldFor       = 4 * time.Second
	serviceMin    = 300 * time.Millisecond
	serviceSpread = 400 * time.Millisecond
	coldSlowdown  = 6
	testVersion   = fescuelatch.VersionID("triage@1")
	nextVersion   = fescuelatch.VersionID("triage@2")
)

// engine is a model engine that falls over when it gets more than its cold
// slots while cold, and then is cold again.
type engine struct {
	owned     fescuelatch.OwnedEndpoint
	life      int
	coldUntil time.Time
	jobs      []*engineJob
	reports   []fescuelatch.LoadReport
	// worst is the highest concurrency while cold, and falls how often the
	// engine fell over.
	worst, falls int
}

type engineJob struct {
	work       fescuelatch.Work
	started    time.Time
	first, end time.Time
	told       bool
}

// client offers work of one account at a rate.
type client struct {
	account  fescuelatch.AccountID
	version  fescuelatch.VersionID // testVersion when empty
	rate     float64               // a second
	from     time.Duration
	deadline time.Duration
	// What became of its work, and how long it waited until it started.
	offered, answered, refused, broken int
	waits                              []time.Duration
	// late counts answers after the deadline, and kept the refusals that
	// came only after a wait.
	late, kept int
}

func (c *client) wait(quantile float64) time.Duration {
	if len(c.waits) == 0 {
		return 0
	}
	slices.Sort(c.waits)
	return c.waits[int(quantile*float64(len(c.waits)-1))]
}

// bench runs one gate with engines and clients.
type bench struct {
	gate fescuelatch.Gate
	// Arrivals and service draw from two sources, so that all gates get the
	// same arrivals.
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

func newBench(g fescuelatch.Gate, seed uint64, engines, slots, cold int) *bench {
	b := &bench{
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

// owned returns an endpoint that is owned for good.
func owned(id string, slots, cold int) fescuelatch.OwnedEndpoint {
	return fescuelatch.OwnedEndpoint{
		Endpoint: fescuelatch.Endpoint{ID: fescuelatch.EndpointID(id), Pool: "pool"},
		Pool: fescuelatch.Pool{
			ID: "pool", Versions: []fescuelatch.VersionID{testVersion}, Slots: slots, ColdSlots: cold,
		},
		Share: 1,
	}
}

func (b *bench) own() {
	os := make([]fescuelatch.OwnedEndpoint, len(b.engines))
	for i, e := range b.engines {
		os[i] = e.owned
	}
	b.gate.Own(b.now, os)
}

// run lets time pass.
func (b *bench) run(span time.Duration) {
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

func (b *bench) offer(c *client) {
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

func (b *bench) client(a fescuelatch.AccountID) *client {
	i := slices.IndexFunc(b.clients, func(c *client) bool { return c.account == a })
	return b.clients[i]
}

// decide carries out decisions.
func (b *bench) decide(as []fescuelatch.Admission) {
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
				c.kept++
			}
		}
	}
}

func (b *bench) begin(id fescuelatch.EndpointID, w fescuelatch.Work) {
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

// chill makes the engine cold without a warning; work on it breaks.
func (b *bench) chill(e *engine) {
	e.coldUntil = b.now.Add(coldFor)
	e.life++
	jobs := e.jobs
	e.jobs = nil
	for _, j := range jobs {
		b.finish(e, j, fescuelatch.AttemptBroken)
	}
}

func (b *bench) step(e *engine) {
	if e.cold(b.now) {
		e.worst = max(e.worst, len(e.jobs))
		if len(e.jobs) > e.owned.Pool.ColdSlots {
			e.falls++
			b.chill(e)
		}
	}
	for _, j := range slices.Clone(e.jobs) {
		if !j.told && !b.now.Before(j.first) {
			j.told = true
			b.gate.First(b.now, j.work.Attempt)
		}
		if !b.now.Before(j.end) {
			e.jobs = slices.DeleteFunc(e.jobs, func(o *engineJob) bool { return o == j })
			b.finish(e, j, fescuelatch.AttemptAnswered)
		}
	}
	b.report(e)
}

func (b *bench) finish(e *engine, j *engineJob, s fescuelatch.AttemptStatus) {
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
	if j.told {
		r.FirstToken = j.first.Sub(j.started)
	}
	b.decide(b.gate.End(b.now, r))
}

// report sends load reports, which arrive after the lag.
func (b *bench) report(e *engine) {
	if b.now.Sub(b.start)%reportEvery == 0 {
		state := fescuelatch.EndpointWarm
		if e.cold(b.now) {
			state = fescuelatch.EndpointCold
		}
		e.reports = append(e.reports, fescuelatch.LoadReport{
			Endpoint: e.owned.Endpoint.ID, Incarnation: fescuelatch.Incarnation(fmt.Sprint(e.life)),
			State: state, Running: len(e.jobs), Slots: e.owned.Pool.Slots, Generated: b.now,
		})
	}
	for len(e.reports) > 0 && b.now.Sub(e.reports[0].Generated) >= reportLag {
		r := e.reports[0]
		e.reports = e.reports[1:]
		b.decide(b.gate.Report(b.now, r))
	}
}
