package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines Adaptive, the production gate. Its queueing is in waiting.go.

// Adaptive is a gate that bounds the work at each endpoint by its warmth,
// its load and how fast it answers, and shares the slots fairly between
// client accounts. Use NewAdaptive.
type Adaptive struct {
	settings  Settings
	endpoints map[fescuelatch.EndpointID]*endpointLoad
	sorted    []*endpointLoad // owned endpoints, by ID
	serving   map[target][]*endpointLoad
	attempts  map[fescuelatch.AttemptID]*attempt
	// groups maps each served target to a representative: targets that
	// endpoints serve together have the same one, and share a queue.
	groups   map[target]target
	queues   map[target]*queue // by representative
	order    []target          // of queues
	queued   int
	latency  latencies
	budget   budget
	lastPoll time.Time
	// lastForecast is when the waits of queued work were last forecast.
	lastForecast time.Time
	lastCall     time.Time
}

const (
	// pollInterval is the minimum time between refreshes of all endpoints.
	pollInterval = 20 * time.Millisecond
	// forecastInterval is the minimum time between forecasts of the waits of
	// all queued work.
	forecastInterval = 250 * time.Millisecond
	// minPause is the time between calls above which the process counts as
	// paused.
	minPause = time.Second
)

// NewAdaptive returns a gate that owns nothing.
func NewAdaptive(s Settings) *Adaptive {
	return &Adaptive{
		settings:  s.withDefaults(),
		endpoints: make(map[fescuelatch.EndpointID]*endpointLoad),
		serving:   make(map[target][]*endpointLoad),
		attempts:  make(map[fescuelatch.AttemptID]*attempt),
		queues:    make(map[target]*queue),
	}
}

// detectPause records a pause of this process: load reports that arrived meanwhile
// have not been read yet.
func (g *Adaptive) detectPause(now time.Time) {
	if now.Sub(g.lastCall) > minPause {
		for _, e := range g.endpoints {
			e.resumedAt = now
		}
	}
	g.lastCall = now
}

// SetOwned implements fescuelatch.Gate.
func (g *Adaptive) SetOwned(now time.Time, owned []fescuelatch.OwnedEndpoint) {
	g.detectPause(now)
	current := make(map[fescuelatch.EndpointID]bool, len(owned))
	for _, o := range owned {
		current[o.Endpoint.ID] = true
		e := g.endpoints[o.Endpoint.ID]
		if e == nil {
			e = &endpointLoad{settings: g.settings, warmth: newWarmth()}
			g.endpoints[o.Endpoint.ID] = e
		}
		e.own(now, o)
	}
	for id, e := range g.endpoints {
		e.isOwned = current[id]
		if !e.isOwned && len(e.running) == 0 {
			e.warmth.transition(now, chart.EventRemove)
			delete(g.endpoints, id)
		}
	}
	g.index()
}

// index rebuilds the lists of owned endpoints.
func (g *Adaptive) index() {
	g.sorted = g.sorted[:0]
	for _, e := range g.endpoints {
		if e.isOwned {
			g.sorted = append(g.sorted, e)
		}
	}
	slices.SortFunc(g.sorted, func(a, b *endpointLoad) int {
		return cmp.Compare(a.owned.Endpoint.ID, b.owned.Endpoint.ID)
	})
	clear(g.serving)
	for _, e := range g.sorted {
		for _, t := range targetsOf(e.owned.Pool) {
			g.serving[t] = append(g.serving[t], e)
		}
	}
	g.regroup()
	for _, q := range g.queues {
		q.endpoints = q.endpoints[:0]
	}
	for _, e := range g.sorted {
		if ts := targetsOf(e.owned.Pool); len(ts) > 0 {
			q := g.queue(ts[0])
			q.endpoints = append(q.endpoints, e)
		}
	}
}

// regroup queues work for targets that endpoints serve together in one queue, so
// that its accounts share the slots fairly whatever they request.
func (g *Adaptive) regroup() {
	groups := groupTargets(g.sorted)
	if maps.Equal(groups, g.groups) {
		return
	}
	g.groups = groups
	old, order := g.queues, g.order
	g.queues, g.order = make(map[target]*queue), nil
	for _, t := range order {
		for _, f := range old[t].order {
			for _, w := range f.pending {
				g.queue(targetOf(w)).push(w)
			}
		}
	}
}

// Offer implements fescuelatch.Gate.
func (g *Adaptive) Offer(now time.Time, w fescuelatch.Work) fescuelatch.Admission {
	g.detectPause(now)
	t := targetOf(w)
	if expired(now, w) || !g.serves(t, w) {
		return refuse(w.Attempt, minRetryAfter)
	}
	if !g.budget.spend(now, retryKey{w.Request.ID, t}) {
		return refuse(w.Attempt, retryWindow/retryBurst)
	}
	q := g.queue(t)
	if e := g.free(now, t, w); e != nil && !q.hasWorkFor(e) {
		q.charge(q.flow(w))
		return g.start(now, e, w)
	}
	if wait, ok := g.admit(now, t, q, w); !ok {
		return refuse(w.Attempt, wait)
	}
	q.push(w)
	g.queued++
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionQueue}
}

func (g *Adaptive) queue(t target) *queue {
	if group, ok := g.groups[t]; ok {
		t = group
	}
	q := g.queues[t]
	if q == nil {
		q = new(queue)
		g.queues[t] = q
		g.order = append(g.order, t)
		slices.SortFunc(g.order, target.compare)
	}
	return q
}

// serves reports whether an endpoint that may get new work could run w.
func (g *Adaptive) serves(t target, w fescuelatch.Work) bool {
	for _, e := range g.serving[t] {
		if !e.owned.Out && !e.warmth.leaving() && (w.Endpoint == "" || w.Endpoint == e.owned.Endpoint.ID) {
			return true
		}
	}
	return false
}

// free returns the endpoint with the most free slots that can run w, or nil.
func (g *Adaptive) free(now time.Time, t target, w fescuelatch.Work) *endpointLoad {
	var best *endpointLoad
	most := 0
	for _, e := range g.serving[t] {
		if w.Endpoint != "" && w.Endpoint != e.owned.Endpoint.ID {
			continue
		}
		e.refresh(now)
		if n := e.free(now); n > most {
			best, most = e, n
		}
	}
	return best
}

func (g *Adaptive) start(now time.Time, e *endpointLoad, w fescuelatch.Work) fescuelatch.Admission {
	g.attempts[w.Attempt] = e.start(now, w)
	return fescuelatch.Admission{
		Attempt:  w.Attempt,
		Verdict:  fescuelatch.AdmissionStart,
		Endpoint: e.owned.Endpoint.ID,
	}
}

// FirstToken implements fescuelatch.Gate.
func (g *Adaptive) FirstToken(now time.Time, a fescuelatch.AttemptID) {
	if r := g.attempts[a]; r != nil && !r.firstToken {
		r.endpoint.first(now, r, now.Sub(r.started))
	}
}

// End implements fescuelatch.Gate.
func (g *Adaptive) End(now time.Time, r fescuelatch.AttemptResult) []fescuelatch.Admission {
	g.detectPause(now)
	a := g.attempts[r.Attempt]
	if a == nil {
		g.cancelQueued(r.Attempt)
		return nil
	}
	delete(g.attempts, r.Attempt)
	e := a.endpoint
	e.remove(now, a)
	e.end(now, a, r)
	g.latency.observe(r)
	t := targetOf(fescuelatch.Work{Request: a.request, Version: a.version})
	if !r.Unsent && (r.Status == fescuelatch.AttemptNotStarted || r.Status == fescuelatch.AttemptBroken) {
		g.budget.fail(now, retryKey{a.request.ID, t})
	}
	if !e.isOwned && len(e.running) == 0 {
		e.warmth.transition(now, chart.EventRemove)
		delete(g.endpoints, e.owned.Endpoint.ID)
	}
	return g.drainPool(now, nil, e.owned.Pool)
}

// Report implements fescuelatch.Gate.
func (g *Adaptive) Report(now time.Time, r fescuelatch.LoadReport) []fescuelatch.Admission {
	g.detectPause(now)
	e := g.endpoints[r.Endpoint]
	if e == nil {
		return nil
	}
	e.report(now, r)
	return g.drainPool(now, nil, e.owned.Pool)
}

// Poll implements fescuelatch.Gate.
func (g *Adaptive) Poll(now time.Time) []fescuelatch.Admission {
	g.detectPause(now)
	if now.Sub(g.lastPoll) >= pollInterval {
		g.lastPoll = now
		for _, e := range g.sorted {
			e.refresh(now)
			e.checkSlowAttempts(now)
		}
		g.budget.expire(now)
	}
	forecast := now.Sub(g.lastForecast) >= forecastInterval
	if forecast {
		g.lastForecast = now
	}
	var as []fescuelatch.Admission
	for _, t := range g.order {
		if forecast {
			as = g.refuseForecastLate(now, as, g.queues[t])
		}
		as = g.refuseOverdue(now, as, g.queues[t])
		as = g.drain(now, as, g.queues[t])
	}
	return as
}

// Spare implements fescuelatch.Gate.
func (g *Adaptive) Spare(now time.Time) []fescuelatch.Spare {
	var t spareTable
	for _, e := range g.sorted {
		if !e.owned.Out {
			e.refresh(now)
			t.addSlots(e.owned.Pool, e.bound(now), e.headroom(now))
		}
	}
	for _, q := range g.queues {
		q.visit(func(w fescuelatch.Work) { t.addQueued(targetOf(w), 1) })
	}
	return t.list()
}

// Latency implements fescuelatch.Gate.
func (g *Adaptive) Latency(v fescuelatch.VersionID) time.Duration { return g.latency.total(v) }
