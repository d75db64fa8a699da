package gate

import (
	"cmp"
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines Adaptive, the gate in use.

// Adaptive is a gate that bounds the work at each endpoint by its warmth,
// its load and how fast it answers, and shares the slots fairly between
// client accounts. Use NewAdaptive.
type Adaptive struct {
	settings Settings
	places   map[fescuelatch.EndpointID]*place
	sorted   []*place // owned ones, by endpoint
	serving  map[target][]*place
	attempts map[fescuelatch.AttemptID]*attempt
	queues   map[target]*queue
	targets  []target // of queues, in order
	queued   int
	turn     int // changes the target that is served first
	latency  latencies
	budget   budget
	polled   time.Time
	called   time.Time
}

const (
	// pollEvery bounds how often inferences about all endpoints are
	// refreshed.
	pollEvery = 20 * time.Millisecond
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
	if q.length == 0 {
		if p := g.free(now, t, w); p != nil {
			q.charge(q.flow(w))
			return g.start(now, p, w)
		}
	}
	if wait, ok := g.admit(now, t, q, w); !ok {
		return refuse(w.Attempt, wait)
	}
	q.push(w)
	g.queued++
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionQueue}
}

func (g *Adaptive) queue(t target) *queue {
	q := g.queues[t]
	if q == nil {
		q = new(queue)
		g.queues[t] = q
		g.targets = append(g.targets, t)
		slices.SortFunc(g.targets, func(a, b target) int {
			return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.service, b.service))
		})
	}
	return q
}

// admit reports whether w may wait, or after what time to come back. The
// room in the queue for one account shrinks as the queue fills, so that
// there is always some for the others.
func (g *Adaptive) admit(now time.Time, t target, q *queue, w fescuelatch.Work) (time.Duration, bool) {
	wait := g.wait(now, t, q, w)
	waiting := 0
	if f := q.flows[w.Request.Account]; f != nil {
		waiting = len(f.works)
	}
	if waiting >= g.settings.QueueLimit-g.queued {
		return wait, false
	}
	return wait, !late(now.Add(wait+g.needed(t)), w)
}

// startMargin is the part of the time to its deadline that an attempt which
// has waited is not expected to use. A refusal takes a part of it to arrive.
const startMargin = 250 * time.Millisecond

// needed returns the time to the deadline with which an attempt that waits
// is started. One that ends after its deadline would be lost and its outcome
// unknown; as long as it waits it can still be refused.
func (g *Adaptive) needed(t target) time.Duration { return g.latency.most(t.version) + startMargin }

// late reports whether w would end after its deadline at time end.
func late(end time.Time, w fescuelatch.Work) bool {
	return !w.Request.Deadline.IsZero() && end.After(w.Request.Deadline)
}

// wait estimates how long w would wait: until the first endpoint opens, then
// for its turn behind all that waits for the same endpoints.
func (g *Adaptive) wait(now time.Time, t target, q *queue, w fescuelatch.Work) time.Duration {
	closed := g.settings.ReportLag
	rate := 0.0 // starts a second
	for _, p := range g.serving[t] {
		if p.owned.Out || p.warmth.leaving() {
			continue
		}
		closed = min(closed, max(0, p.owned.After.Sub(now)))
		rate += p.pace(now, g.expected(t))
	}
	turns := q.turns(w) + float64(g.beside(t))
	return closed + time.Duration(turns/rate*float64(time.Second))
}

// beside returns the number of attempts on other targets than t that wait
// for endpoints which serve t.
func (g *Adaptive) beside(t target) int {
	n := 0
	for _, o := range g.targets {
		if o == t || g.queues[o].length == 0 {
			continue
		}
		if slices.ContainsFunc(g.serving[o], func(p *place) bool { return t.of(p.owned.Pool) }) {
			n += g.queues[o].length
		}
	}
	return n
}

// expected returns the expected time from start to end.
func (g *Adaptive) expected(t target) time.Duration { return g.latency.total(t.version) }

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

// withdraw takes a queued attempt out.
func (g *Adaptive) withdraw(a fescuelatch.AttemptID) {
	for _, t := range g.targets {
		g.filter(g.queues[t], func(w fescuelatch.Work) bool { return w.Attempt == a })
	}
}

func (g *Adaptive) filter(q *queue, drop func(fescuelatch.Work) bool) {
	before := q.length
	q.filter(drop)
	g.queued -= before - q.length
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
	var as []fescuelatch.Admission
	for _, t := range g.targets {
		as = g.refuseLate(now, as, t)
	}
	return g.drainInTurn(now, as, g.targets)
}

// refuseLate refuses queued work that can no longer end in time, or that no
// endpoint serves any more.
func (g *Adaptive) refuseLate(now time.Time, as []fescuelatch.Admission, t target) []fescuelatch.Admission {
	end := now.Add(g.needed(t))
	g.filter(g.queues[t], func(w fescuelatch.Work) bool {
		if !late(end, w) && !expired(now, w) && g.serves(t, w) {
			return false
		}
		as = append(as, refuse(w.Attempt, minRetryAfter))
		return true
	})
	return as
}

// drainPool starts queued work for all that a pool serves.
func (g *Adaptive) drainPool(now time.Time, as []fescuelatch.Admission, p fescuelatch.Pool) []fescuelatch.Admission {
	if g.queued == 0 {
		return as
	}
	return g.drainInTurn(now, as, targetsOf(p))
}

// drainInTurn starts queued work, each time for another target first, as
// targets share endpoints.
func (g *Adaptive) drainInTurn(now time.Time, as []fescuelatch.Admission, ts []target) []fescuelatch.Admission {
	g.turn++
	for i := range ts {
		as = g.drain(now, as, ts[(g.turn+i)%len(ts)])
	}
	return as
}

// drain starts queued work of t in fair order while there are free slots.
func (g *Adaptive) drain(now time.Time, as []fescuelatch.Admission, t target) []fescuelatch.Admission {
	q := g.queues[t]
	for q != nil && q.length > 0 && g.free(now, t, fescuelatch.Work{}) != nil {
		var p *place
		w, ok := q.take(func(w fescuelatch.Work) bool {
			p = g.free(now, t, w)
			return p != nil
		})
		if !ok {
			break
		}
		g.queued--
		if late(now.Add(g.needed(t)), w) {
			as = append(as, refuse(w.Attempt, minRetryAfter))
			continue
		}
		as = append(as, g.start(now, p, w))
	}
	return as
}

// Spare implements fescuelatch.Gate.
func (g *Adaptive) Spare(now time.Time) []fescuelatch.Spare {
	var t spareTable
	for _, p := range g.sorted {
		if !p.owned.Out {
			p.refresh(now)
			t.addSlots(p.owned.Pool, p.bound(now), p.free(now))
		}
	}
	for k, q := range g.queues {
		t.addQueued(k, q.length)
	}
	return t.list()
}

// Latency implements fescuelatch.Gate.
func (g *Adaptive) Latency(v fescuelatch.VersionID) time.Duration { return g.latency.total(v) }
