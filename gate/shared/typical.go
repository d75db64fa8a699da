package shared

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines what the gate assumes of endpoints of contended versions of which it has
// not heard lately: that other daemons load them like those of which it has.

// typicalPrior is the weight of an idle endpoint in the mean of the reported loads, so that
// the mean returns to zero when no endpoint is heard of.
const typicalPrior = 0.25

// typicalLoad is the mean load of other daemons per slot in recent reports of the endpoints
// of a model.
type typicalLoad struct {
	weight, sum float64
	updated     time.Time
}

func (t *typicalLoad) add(now time.Time, perSlot float64) {
	f := halved(now.Sub(t.updated), typicalHalfLife)
	t.weight = t.weight*f + 1
	t.sum = t.sum*f + perSlot
	t.updated = now
}

func (t *typicalLoad) mean(now time.Time) float64 {
	f := halved(now.Sub(t.updated), typicalHalfLife)
	return t.sum * f / (t.weight*f + typicalPrior)
}

// halved returns the share that is left of something after a time, by its half-life.
func halved(after, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(after, 0)) / float64(halfLife))
}

func (g *Gate) typicalOf(v fescuelatch.VersionID) *typicalLoad {
	t := g.typical[v.Model()]
	if t == nil {
		t = new(typicalLoad)
		g.typical[v.Model()] = t
	}
	return t
}

// recordTypical records the load that e has just reported, once for each of its models.
func (g *Gate) recordTypical(now time.Time, e *endpointLoad) {
	for i, v := range e.owned.Pool.Versions {
		if g.contended(v) && (i == 0 || v.Model() != e.owned.Pool.Versions[i-1].Model()) {
			g.typicalOf(v).add(now, min(e.others/float64(e.slots()), 2*overbooking))
		}
	}
}

// expectedOthers estimates the load of other daemons at an endpoint of a contended version,
// given what is typical for each of its slots. The endpoint's report counts less as it ages,
// and what is typical counts instead. A daemon hears of each of many endpoints seldom, and
// would otherwise count nearly all of them as free. A load above the typical one lasts as long
// as the requests, of which most end within a given time.
func (e *endpointLoad) expectedOthers(now time.Time, typical float64, lasts time.Duration) float64 {
	typical *= float64(e.slots())
	halfLife := reportHalfLife
	if e.others > typical {
		halfLife = max(halfLife, lasts)
	}
	return typical + (e.others-typical)*halved(now.Sub(e.reported), halfLife)
}

// othersAt returns expectedOthers for a version.
func (g *Gate) othersAt(now time.Time, e *endpointLoad, v fescuelatch.VersionID) float64 {
	return e.expectedOthers(now, g.typicalOf(v).mean(now), g.latencyOf(v).meanTotal())
}

// starts counts what this daemon has started, with less weight the longer ago.
type starts struct {
	count   float64
	updated time.Time
}

func (s *starts) add(now time.Time, halfLife time.Duration) {
	s.count, s.updated = s.recent(now, halfLife)+1, now
}

func (s *starts) recent(now time.Time, halfLife time.Duration) float64 {
	return s.count * halved(now.Sub(s.updated), halfLife)
}

// recentStarts counts the attempts of a version that this daemon has started recently.
type recentStarts struct {
	all starts
	// byPart counts those with a shared prompt part.
	byPart *simplelru.LRU[string, starts]
	// tokens is the mean size of a request at the endpoint.
	tokens float64
}

const (
	// maxRecentParts bounds the prompt parts whose starts are counted.
	maxRecentParts = 256
	// partHalfLife is longer than reportHalfLife, as a daemon starts few requests with the
	// same part.
	partHalfLife = 10 * reportHalfLife
)

func newRecentStarts() *recentStarts {
	// The size is a positive constant, which is all that is checked.
	byPart, _ := simplelru.NewLRU[string, starts](maxRecentParts, nil)
	return &recentStarts{byPart: byPart}
}

func (r *recentStarts) add(now time.Time, w fescuelatch.Work) {
	r.all.add(now, reportHalfLife)
	if id := sharedPart(w); id != "" {
		s, _ := r.byPart.Get(id)
		s.add(now, partHalfLife)
		r.byPart.Add(id, s)
	}
	if n := float64(tokensOf(w)); r.tokens == 0 {
		r.tokens = n
	} else {
		r.tokens += latencyWeight * (n - r.tokens)
	}
}

// since returns the number of starts of which the reports of endpoints do not tell yet.
func (r *recentStarts) since(now time.Time) float64 { return r.all.recent(now, reportHalfLife) }

// sinceWithPart returns how many of them have a prompt part in common.
func (r *recentStarts) sinceWithPart(now time.Time, id string) float64 {
	s, _ := r.byPart.Peek(id)
	return s.recent(now, partHalfLife) * float64(reportHalfLife) / float64(partHalfLife)
}

func (g *Gate) recentOf(v fescuelatch.VersionID) *recentStarts {
	r := g.recent[v]
	if r == nil {
		r = newRecentStarts()
		g.recent[v] = r
	}
	return r
}

// unreported estimates how many requests like w, this one included, are at endpoints whose reports
// do not tell of them yet. The daemons are assumed to be spread evenly over the failure domains,
// to start as many requests as this one, and most of them in their own failure domain.
func (g *Gate) unreported(now time.Time, w fescuelatch.Work) load {
	recent, domains := g.recentOf(w.Version), float64(len(g.domains))
	if g.domains[fescuelatch.DomainID(g.settings.Domain)] == nil {
		domains++ // This daemon's failure domain has no endpoints.
	}
	others := max(0, float64(g.members)/domains-1) * g.stillThere(w.Version)
	near := 1 + others*(1+recent.since(now))
	return load{near: near, far: near * (domains - 1), withPart: 1 + others*recent.sinceWithPart(now, sharedPart(w))}
}

// stillThere returns the share of the recently started requests for v that have not ended. It
// is 1 as long as their duration is not known.
func (g *Gate) stillThere(v fescuelatch.VersionID) float64 {
	latency := g.latencyOf(v)
	if latency.total == 0 {
		return 1
	}
	return min(1, float64(latency.total)/float64(reportHalfLife))
}
