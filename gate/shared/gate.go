// Package shared is the gate of a daemon that sends to every endpoint itself,
// as all other daemons do. Limits of an endpoint are divided by the number of
// live daemons, what the others send is estimated from the load that the
// endpoint reports with its answers, and an endpoint is judged by its answers
// alone.
//
// It stands where package gate with its owned endpoints would need one more
// hop: a request goes to its endpoint from whichever daemon has it.
package shared

import (
	"math/rand/v2"
	"time"

	"fescuelatch"
)

// This file defines the gate and its implementation of fescuelatch.Gate.

var _ fescuelatch.Gate = (*Gate)(nil)

// Gate admits attempts to all endpoints. It is not safe for concurrent use.
type Gate struct {
	settings Settings
	random   *rand.Rand
	// members is the number of live daemons, this one included.
	members  int
	places   map[fescuelatch.EndpointID]*place
	domains  map[fescuelatch.DomainID]*domain
	order    []*place
	attempts map[fescuelatch.AttemptID]*attempt
	serving  map[fescuelatch.VersionID][]*place
	pace     map[fescuelatch.VersionID]*pace
	waiting  queue
	advices  advices
}

// New returns a gate without endpoints.
func New(s Settings, r *rand.Rand) *Gate {
	s = s.withDefaults()
	return &Gate{
		settings: s, random: r, members: 1, waiting: queue{limit: s.QueueLimit},
		places:   make(map[fescuelatch.EndpointID]*place),
		domains:  make(map[fescuelatch.DomainID]*domain),
		attempts: make(map[fescuelatch.AttemptID]*attempt),
		serving:  make(map[fescuelatch.VersionID][]*place),
		pace:     make(map[fescuelatch.VersionID]*pace),
		advices:  newAdvices(),
	}
}

// attempt is a started attempt.
type attempt struct {
	work    fescuelatch.Work
	place   *place
	started time.Time
	// fresh is the number of prompt tokens that the endpoint has not cached,
	// as far as this daemon knows.
	fresh int
	first time.Time
}

// SetMembers tells the number of live daemons, this one included.
func (g *Gate) SetMembers(n int) { g.members = max(n, 1) }

// Own implements fescuelatch.Gate: the endpoints are those that are
// registered.
func (g *Gate) Own(now time.Time, owned []fescuelatch.OwnedEndpoint) {
	seen := make(map[fescuelatch.EndpointID]bool, len(owned))
	g.order = g.order[:0]
	clear(g.serving)
	for _, o := range owned {
		seen[o.Endpoint.ID] = true
		p := g.places[o.Endpoint.ID]
		if p == nil || p.owned.Process != o.Process || p.owned.Endpoint.Address != o.Endpoint.Address {
			p = newPlace(now, o, p)
			p.advice = g.advices.of(o)
			g.places[o.Endpoint.ID] = p
		}
		p.update(now, o, g.phase(o))
		g.order = append(g.order, p)
		for _, v := range o.Pool.Versions {
			g.serving[v] = append(g.serving[v], p)
		}
	}
	for id := range g.places {
		if !seen[id] {
			delete(g.places, id)
		}
	}
}

// phase draws the delay of this daemon's first start at a cold endpoint, so
// that the daemons' starts do not coincide.
func (g *Gate) phase(o fescuelatch.OwnedEndpoint) time.Duration {
	if o.ColdRate <= 0 {
		return 0
	}
	return time.Duration(g.random.Float64() * float64(g.coldGap(o.ColdRate)))
}

// coldGap is the time between this daemon's starts at a cold endpoint.
func (g *Gate) coldGap(rate float64) time.Duration {
	return time.Duration(float64(g.members) / (rate * coldUse) * float64(time.Second))
}

// Offer implements fescuelatch.Gate.
func (g *Gate) Offer(now time.Time, w fescuelatch.Work) fescuelatch.Admission {
	if expired(now, w) {
		return refuse(w, minRetryAfter)
	}
	if p := g.choose(now, w); p != nil {
		return g.start(now, p, w)
	}
	patience := g.patience(w)
	if !g.reachable(now.Add(patience), w) || !g.waiting.push(now, w, patience) {
		return refuse(w, g.comeBack(now, w))
	}
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionQueue}
}

// Admits reports whether w would start at once.
func (g *Gate) Admits(now time.Time, w fescuelatch.Work) bool { return g.choose(now, w) != nil }

func (g *Gate) start(now time.Time, p *place, w fescuelatch.Work) fescuelatch.Admission {
	a := &attempt{work: w, place: p, started: now, fresh: p.fresh(w)}
	g.attempts[w.Attempt] = a
	p.start(now, a, g.coldGap(p.owned.ColdRate))
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionStart, Endpoint: p.owned.Endpoint.ID}
}

// First implements fescuelatch.Gate.
func (g *Gate) First(now time.Time, id fescuelatch.AttemptID) {
	a := g.attempts[id]
	if a == nil || !a.first.IsZero() {
		return
	}
	a.first = now
	a.place.heard(now)
	g.domainOf(a.place).heard()
	a.place.cached(a.work)
	took := now.Sub(a.started)
	g.paceOf(a.work.Version).observeFirst(took, a.fresh)
	a.place.observeFirst(now, took, g.paceOf(a.work.Version).expected(a.fresh))
}

// End implements fescuelatch.Gate.
func (g *Gate) End(now time.Time, r fescuelatch.AttemptResult) []fescuelatch.Admission {
	a := g.attempts[r.Attempt]
	if a == nil {
		g.waiting.remove(r.Attempt)
		return nil
	}
	delete(g.attempts, r.Attempt)
	a.place.end(now, a, r, g.settings)
	if r.RetryAfter > 0 {
		g.advices.pause(now, a.place, r.RetryAfter)
	}
	g.domainOf(a.place).end(r)
	if r.Status == fescuelatch.AttemptAnswered {
		g.paceOf(a.work.Version).observeTotal(now.Sub(a.started))
	}
	return g.drain(now, nil)
}

// Report implements fescuelatch.Gate. A report without slots tells no load.
// Whether endpoints are cold is told by their registration.
func (g *Gate) Report(now time.Time, r fescuelatch.LoadReport) []fescuelatch.Admission {
	p := g.places[r.Endpoint]
	if p == nil {
		return nil
	}
	if r.State == fescuelatch.EndpointLeaving {
		g.advices.leave(p)
	}
	if r.Slots > 0 {
		p.report(now, r)
	}
	return g.drain(now, nil)
}

// Poll implements fescuelatch.Gate.
func (g *Gate) Poll(now time.Time) []fescuelatch.Admission {
	as := g.drain(now, nil)
	for _, w := range g.waiting.overdue(now) {
		as = append(as, refuse(w, g.comeBack(now, w)))
	}
	return as
}

// drain starts waiting work while there is room, in order of rank.
func (g *Gate) drain(now time.Time, as []fescuelatch.Admission) []fescuelatch.Admission {
	g.waiting.take(func(w fescuelatch.Work) bool {
		if expired(now, w) {
			as = append(as, refuse(w, minRetryAfter))
			return true
		}
		p := g.choose(now, w)
		if p == nil {
			return false
		}
		as = append(as, g.start(now, p, w))
		return true
	})
	return as
}

// Spare implements fescuelatch.Gate.
func (g *Gate) Spare(now time.Time) []fescuelatch.Spare {
	spares := make([]fescuelatch.Spare, 0, len(g.serving))
	for v, places := range g.serving {
		s := fescuelatch.Spare{Version: v}
		for _, p := range places {
			if p.out() {
				continue
			}
			s.Slots += p.slots()
			if p.open(now) {
				s.Free += max(0, p.slots()-p.busy(now))
			}
		}
		spares = append(spares, s)
	}
	return spares
}

// Latency implements fescuelatch.Gate. It is the expected time to the first
// output, since a stream that has begun may use the rest of its time.
func (g *Gate) Latency(v fescuelatch.VersionID) time.Duration { return g.paceOf(v).first() }

func (g *Gate) paceOf(v fescuelatch.VersionID) *pace {
	p := g.pace[v]
	if p == nil {
		p = new(pace)
		g.pace[v] = p
	}
	return p
}
