package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines Adaptive, the gate in use. What waits is in waiting.go.

// Adaptive is a gate that bounds the work at each endpoint by its warmth,
// its load and how fast it answers, and shares the slots fairly between
// client accounts. Use NewAdaptive.
type Adaptive struct {
	settings Settings
	places   map[fescuelatch.EndpointID]*place
	sorted   []*place // owned ones, by endpoint
	serving  map[target][]*place
	attempts map[fescuelatch.AttemptID]*attempt
	// groups has a representative for each target that is served: targets
	// that endpoints serve together have the same one, and share a queue.
	groups  map[target]target
	queues  map[target]*queue // by representative
	order   []target          // of queues
	queued  int
	latency latencies
	budget  budget
	polled  time.Time
	// foreseen is when the turns of waiting work were last foreseen.
	foreseen time.Time
	called   time.Time
}

const (
	// pollEvery bounds how often inferences about all endpoints are
	// refreshed.
	pollEvery = 20 * time.Millisecond
	// foreseeEvery bounds how often the turns of all waiting work are
	// foreseen.
	foreseeEvery = 250 * time.Millisecond
	// pauseMin is the time between calls that tells of a pause.
	pauseMin = time.Second
)

// NewAdaptive returns a gate that owns nothing.
func NewAdaptive(s Settings) *Adaptive {
	return &Adaptive{
		settings: s.withDefaults(),
		places:   make(map[fescuelatch.EndpointID]*place),
		serving:  make(map[target][]*place),
		attempts: make(map[fescuelatch.AttemptID]*attempt),
		queues:   make(map[target]*queue),
	}
}

// wake notes a pause of this process: load reports that came meanwhile have
// not been read yet.
func (g *Adaptive) wake(now time.Time) {
	if now.Sub(g.called) > pauseMin {
		for _, p := range g.places {
			p.resumed = now
		}
	}
	g.called = now
}

// Own implements fescuelatch.Gate.
func (g *Adaptive) Own(now time.Time, owned []fescuelatch.OwnedEndpoint) {
	g.wake(now)
	held := make(map[fescuelatch.EndpointID]bool, len(owned))
	for _, o := range owned {
		held[o.Endpoint.ID] = true
		p := g.places[o.Endpoint.ID]
		if p == nil {
			p = &place{settings: g.settings, warmth: newWarmth()}
			g.places[o.Endpoint.ID] = p
		}
		p.own(now, o)
	}
	for id, p := range g.places {
		p.held = held[id]
		if !p.held && len(p.running) == 0 {
			p.warmth.enter(now, chart.EventRemove)
			delete(g.places, id)
		}
	}
	g.index()
}

// index rebuilds the lists of owned endpoints.
func (g *Adaptive) index() {
	g.sorted = g.sorted[:0]
	for _, p := range g.places {
		if p.held {
			g.sorted = append(g.sorted, p)
		}
	}
	slices.SortFunc(g.sorted, func(a, b *place) int {
		return cmp.Compare(a.owned.Endpoint.ID, b.owned.Endpoint.ID)
	})
	clear(g.serving)
	for _, p := range g.sorted {
		for _, t := range targetsOf(p.owned.Pool) {
			g.serving[t] = append(g.serving[t], p)
		}
	}
	g.regroup()
	for _, q := range g.queues {
		q.places = q.places[:0]
	}
	for _, p := range g.sorted {
		if ts := targetsOf(p.owned.Pool); len(ts) > 0 {
			q := g.queue(ts[0])
			q.places = append(q.places, p)
		}
	}
}

// regroup lets work for targets that endpoints serve together wait in one
// queue, so that its accounts get fair turns whatever they ask for.
func (g *Adaptive) regroup() {
	groups := grouped(g.sorted)
	if maps.Equal(groups, g.groups) {
		return
	}
	g.groups = groups
	old, order := g.queues, g.order
	g.queues, g.order = make(map[target]*queue), nil
	for _, t := range order {
		for _, f := range old[t].order {
			for _, w := range f.works {
				g.queue(targetOf(w)).push(w)
			}
		}
	}
}

// Offer implements fescuelatch.Gate.
func (g *Adaptive) Offer(now time.Time, w fescuelatch.Work) fescuelatch.Admission {
	g.wake(now)
	t := targetOf(w)
	if expired(now, w) || !g.serves(t, w) {
		return refuse(w.Attempt, minRetryAfter)
	}
	if !g.budget.spend(now, retryKey{w.Request.ID, t}) {
		return refuse(w.Attempt, retryWindow/retryBurst)
	}
	q := g.queue(t)
	if p := g.free(now, t, w); p != nil && !q.wants(p) {
		q.charge(q.flow(w))
		return g.start(now, p, w)
	}
	if wait, ok := g.admit(now, t, q, w); !ok {
		return refuse(w.Attempt, wait)
	}
	q.push(w)
	g.queued++
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionQueue}
}

// queue returns the queue that work for t waits in.
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
	for _, p := range g.serving[t] {
		if !p.owned.Out && !p.warmth.leaving() && (w.Endpoint == "" || w.Endpoint == p.owned.Endpoint.ID) {
			return true
		}
	}
	return false
}

// free returns the endpoint with most free slots that can run w, or nil.
func (g *Adaptive) free(now time.Time, t target, w fescuelatch.Work) *place {
	var best *place
	most := 0
	for _, p := range g.serving[t] {
		if w.Endpoint != "" && w.Endpoint != p.owned.Endpoint.ID {
			continue
		}
		p.refresh(now)
		if n := p.free(now); n > most {
			best, most = p, n
		}
	}
	return best
}

func (g *Adaptive) start(now time.Time, p *place, w fescuelatch.Work) fescuelatch.Admission {
	g.attempts[w.Attempt] = p.start(now, w)
	return fescuelatch.Admission{
		Attempt:  w.Attempt,
		Verdict:  fescuelatch.AdmissionStart,
		Endpoint: p.owned.Endpoint.ID,
	}
}

// First implements fescuelatch.Gate.
func (g *Adaptive) First(now time.Time, a fescuelatch.AttemptID) {
	if r := g.attempts[a]; r != nil && !r.first {
		r.place.first(now, r, now.Sub(r.started))
	}
}

// End implements fescuelatch.Gate.
func (g *Adaptive) End(now time.Time, r fescuelatch.AttemptResult) []fescuelatch.Admission {
	g.wake(now)
	a := g.attempts[r.Attempt]
	if a == nil {
		g.withdraw(r.Attempt)
		return nil
	}
	delete(g.attempts, r.Attempt)
	p := a.place
	p.remove(now, a)
	p.end(now, a, r)
	g.latency.observe(r)
	t := targetOf(fescuelatch.Work{Request: a.request, Version: a.version})
	if !r.Unsent && (r.Status == fescuelatch.AttemptNotStarted || r.Status == fescuelatch.AttemptBroken) {
		g.budget.fail(now, retryKey{a.request.ID, t})
	}
	if !p.held && len(p.running) == 0 {
		p.warmth.enter(now, chart.EventRemove)
		delete(g.places, p.owned.Endpoint.ID)
	}
	return g.drainPool(now, nil, p.owned.Pool)
}

// Report implements fescuelatch.Gate.
func (g *Adaptive) Report(now time.Time, r fescuelatch.LoadReport) []fescuelatch.Admission {
	g.wake(now)
	p := g.places[r.Endpoint]
	if p == nil {
		return nil
	}
	p.report(now, r)
	return g.drainPool(now, nil, p.owned.Pool)
}

// Poll implements fescuelatch.Gate.
func (g *Adaptive) Poll(now time.Time) []fescuelatch.Admission {
	g.wake(now)
	if now.Sub(g.polled) >= pollEvery {
		g.polled = now
		for _, p := range g.sorted {
			p.refresh(now)
			p.suspect(now)
		}
		g.budget.expire(now)
	}
	foresee := now.Sub(g.foreseen) >= foreseeEvery
	if foresee {
		g.foreseen = now
	}
	var as []fescuelatch.Admission
	for _, t := range g.order {
		if foresee {
			as = g.refuseHopeless(now, as, g.queues[t])
		}
		as = g.refuseLate(now, as, g.queues[t])
		as = g.drain(now, as, g.queues[t])
	}
	return as
}

// Spare implements fescuelatch.Gate.
func (g *Adaptive) Spare(now time.Time) []fescuelatch.Spare {
	var t spareTable
	for _, p := range g.sorted {
		if !p.owned.Out {
			p.refresh(now)
			t.addSlots(p.owned.Pool, p.bound(now), p.room(now))
		}
	}
	for _, q := range g.queues {
		q.each(func(w fescuelatch.Work) { t.addQueued(targetOf(w), 1) })
	}
	return t.list()
}

// Latency implements fescuelatch.Gate.
func (g *Adaptive) Latency(v fescuelatch.VersionID) time.Duration { return g.latency.total(v) }
