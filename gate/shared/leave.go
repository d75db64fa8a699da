package shared

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
	"fescuelatch/egress"
)

// This file defines what it costs work to leave the daemon's failure domain, where the
// settings state prices.

// departure is the state of work that may leave the failure domain.
type departure struct {
	sizes  *egress.Sizes
	shares map[fescuelatch.VersionID]*versionShare
	// quote is that of the latest work, which is asked for once for each endpoint.
	quote quote
}

func newDeparture() departure {
	return departure{sizes: egress.NewSizes(), shares: make(map[fescuelatch.VersionID]*versionShare)}
}

// versionShare is the surplus of a version's work, and the load at home.
type versionShare struct {
	egress.Share
	home egress.Room
	// slowdown is the mean of those of the endpoints at home, or zero without any.
	slowdown float64
}

// quote is the time that work counts for leaving its failure domain: for the one that it is
// meant for, if any, and for the others.
type quote struct {
	attempt        fescuelatch.AttemptID
	version        fescuelatch.VersionID
	meant          fescuelatch.DomainID
	toMeant, other time.Duration
}

// distance returns the time by which an endpoint of e's failure domain must be expected to
// answer w sooner than one of this daemon's.
func (g *Gate) distance(e *endpointLoad, w fescuelatch.Work) time.Duration {
	to := e.owned.Endpoint.Domain
	if string(to) == g.settings.Domain {
		return 0
	}
	if g.settings.Prices == nil {
		return crossDomainCost
	}
	if g.departure.quote.attempt != w.Attempt || g.departure.quote.version != w.Version {
		g.departure.quote = g.quote(w)
	}
	if q := g.departure.quote; q.meant != to {
		return q.other
	}
	return g.departure.quote.toMeant
}

func (g *Gate) quote(w fescuelatch.Work) quote {
	q := quote{attempt: w.Attempt, version: w.Version}
	r := g.departing(w)
	s := g.departure.shares[w.Version]
	if s == nil {
		q.other = g.settings.Prices.Crossing(r)
		return q
	}
	r.Expected = time.Duration(max(1, s.slowdown) * float64(r.Expected))
	q.other = g.settings.Prices.Crossing(r)
	q.meant = s.Draw(lot(w.Attempt))
	perSlot := s.home.PerSlot()
	r.Expected += time.Duration(perSlot * float64(r.Expected))
	r.Expected += time.Duration(max(0, perSlot-1) * float64(g.latencyOf(w.Version).meanTotal()))
	r.Surplus = true
	q.toMeant = g.settings.Prices.Crossing(r)
	return q
}

// departing returns what the price of leaving depends on, for work that home has room for.
// Its expected time is that of idle endpoints: where all failure domains are loaded alike,
// work that changes places gains nothing.
func (g *Gate) departing(w fescuelatch.Work) egress.Request {
	return egress.Request{
		Bytes: g.departure.sizes.Expected(w.Request), Target: w.Request.TargetLatency,
		Expected: g.latencyOf(w.Version).expectedFirst(w.Request.PromptTokens),
	}
}

// onlyQueues reports whether e is in another failure domain and has no slot left, while
// endpoints at home take work: a queue elsewhere is no better than one at home, and is for the
// work there. Work that has been tried, or is bound to an endpoint, may have no place at home.
func (g *Gate) onlyQueues(now time.Time, e *endpointLoad, w fescuelatch.Work) bool {
	if g.settings.Prices == nil || string(e.owned.Endpoint.Domain) == g.settings.Domain || e.busy(now) < e.slots() {
		return false
	}
	if w.Endpoint != "" || len(w.Avoid) > 0 {
		return false
	}
	s := g.departure.shares[w.Version]
	return s != nil && s.home.Slots > 0
}

// lot returns the uniform number by which work is drawn to leave. It depends on the attempt
// only, so that waiting work keeps it.
func lot(id fescuelatch.AttemptID) float64 {
	const bits = 53 // of the mantissa
	return float64(xxhash.Sum64String(string(id))>>(64-bits)) / (1 << bits)
}

// keepsCopies reports whether each failure domain has affinity endpoints of its own for the
// shared parts of w: reading them once more costs less than the way to another one.
func (g *Gate) keepsCopies(w fescuelatch.Work) bool {
	if g.settings.Prices == nil {
		return false
	}
	r := g.departing(w)
	r.Expected = 0 // The daemons must agree, whatever their load.
	latency := g.latencyOf(w.Version)
	reading := latency.expectedFirst(sharedTokens(w.Request.Parts)) - latency.expectedFirst(0)
	return g.settings.Prices.Crossing(r) > reading
}

// refreshDeparture updates the shares of all versions that are surplus.
func (g *Gate) refreshDeparture(now time.Time) {
	if g.settings.Prices == nil {
		return
	}
	g.departure.quote = quote{}
	maps.DeleteFunc(g.departure.shares, func(v fescuelatch.VersionID, _ *versionShare) bool { return len(g.serving[v]) == 0 })
	for v, endpoints := range g.serving {
		s := g.departure.shares[v]
		if s == nil {
			s = new(versionShare)
			g.departure.shares[v] = s
		}
		var others []egress.Room
		s.home, others = g.rooms(now, endpoints)
		s.slowdown = g.slowdownAtHome(now, endpoints)
		s.Observe(now, s.home, others)
	}
}

// takesWork reports whether e may get work of this daemon, as far as its load allows.
func (g *Gate) takesWork(now time.Time, e *endpointLoad) bool {
	return !e.out() && !g.unreachable(e) && e.open(now)
}

// slowdownAtHome returns the mean slowdown of the endpoints at home that take work.
func (g *Gate) slowdownAtHome(now time.Time, endpoints []*endpointLoad) float64 {
	sum, n := 0.0, 0
	for _, e := range endpoints {
		if string(e.owned.Endpoint.Domain) == g.settings.Domain && g.takesWork(now, e) {
			sum += e.slowdown
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// rooms returns the load of the endpoints that take work, by failure domain: that of this
// daemon, and of the others by name.
func (g *Gate) rooms(now time.Time, endpoints []*endpointLoad) (home egress.Room, others []egress.Room) {
	home.Domain = fescuelatch.DomainID(g.settings.Domain)
	for _, e := range endpoints {
		if !g.takesWork(now, e) {
			continue
		}
		id := e.owned.Endpoint.Domain
		to := &home
		if id != home.Domain {
			i, ok := slices.BinarySearchFunc(others, id, func(r egress.Room, id fescuelatch.DomainID) int {
				return cmp.Compare(r.Domain, id)
			})
			if !ok {
				others = slices.Insert(others, i, egress.Room{Domain: id})
			}
			to = &others[i]
		}
		to.Busy += float64(e.busy(now))
		to.Slots += float64(e.slots())
	}
	return home, others
}

// Transferred records the traffic of an attempt that is about to end, and whether it was
// answered. It returns the failure domain of its endpoint, or none if that is this daemon's.
func (g *Gate) Transferred(id fescuelatch.AttemptID, bytes int, answered bool) fescuelatch.DomainID {
	a := g.attempts[id]
	if a == nil {
		return ""
	}
	if answered {
		g.departure.sizes.Observe(a.work.Request, bytes)
	}
	if d := a.endpoint.owned.Endpoint.Domain; string(d) != g.settings.Domain {
		return d
	}
	return ""
}

// Departure tells how much work of a version is surplus at home.
type Departure struct {
	Version fescuelatch.VersionID `json:"version"`
	Reason  egress.Reason         `json:"reason"`
	Home    egress.Room           `json:"home"`
	Parts   []egress.Part         `json:"parts,omitempty"`
}

// Departures returns the surplus of all versions, or nothing without prices.
func (g *Gate) Departures() []Departure {
	all := make([]Departure, 0, len(g.departure.shares))
	for _, v := range slices.Sorted(maps.Keys(g.departure.shares)) {
		s := g.departure.shares[v]
		all = append(all, Departure{v, s.Reason(), s.home, slices.Clone(s.Parts())})
	}
	return all
}
