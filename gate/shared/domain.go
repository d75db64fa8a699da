package shared

import (
	"maps"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines which endpoints can be reached. One that cannot be gets no
// requests until a connection alone has shown that it can be again, and so
// does a whole failure domain: otherwise each of its endpoints would cost a
// request the time to find that out.

// darkAfter is the number of endpoints in a row that could not be reached in a
// failure domain, with none heard of, at which it counts as dark.
const darkAfter = 2

// domain is a failure domain as it is reached from here.
type domain struct{ unreachable int }

// heard notes that an endpoint of the domain has answered.
func (d *domain) heard() { d.unreachable = 0 }

// end notes how an attempt in the domain ended.
func (d *domain) end(r fescuelatch.AttemptResult) {
	switch {
	case r.Unreachable:
		d.unreachable++
	case r.Status == fescuelatch.AttemptAnswered, r.Status == fescuelatch.AttemptFailed, r.Overloaded:
		d.heard()
	}
}

// dark reports whether the domain gets no work.
func (d *domain) dark() bool { return d.unreachable >= darkAfter }

func (g *Gate) domainOf(p *place) *domain {
	id := p.owned.Endpoint.Domain
	d := g.domains[id]
	if d == nil {
		d = new(domain)
		g.domains[id] = d
	}
	return d
}

// lost reports whether p cannot be reached, alone or with its failure domain.
func (g *Gate) lost(p *place) bool { return p.unreachable || g.domainOf(p).dark() }

// DarkDomains returns the failure domains that cannot be reached, and the number
// of all that have endpoints which are not out.
func (g *Gate) DarkDomains() (dark []fescuelatch.DomainID, all int) {
	reached := make(map[fescuelatch.DomainID]bool)
	for _, p := range g.order {
		if !p.out() {
			id := p.owned.Endpoint.Domain
			reached[id] = reached[id] || !g.lost(p)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(reached)) {
		if !reached[id] {
			dark = append(dark, id)
		}
	}
	return dark, len(reached)
}

// allLost reports whether none of the places is known to be reached. Then all
// are tried: the fault may lie here.
func allLost(now time.Time, g *Gate, places []*place) bool {
	for _, p := range places {
		if !p.out() && !p.away(now) && !g.domainOf(p).dark() {
			return false
		}
	}
	return true
}

// Probes returns the endpoints to which a connection should be tried now, of
// which Reached is then told.
func (g *Gate) Probes(now time.Time) []fescuelatch.EndpointID {
	var ids []fescuelatch.EndpointID
	for _, p := range g.order {
		if p.out() || p.paused(now) || p.moved(now) || now.Before(p.probe) || !g.lost(p) {
			continue
		}
		p.probe = now.Add(probeInterval)
		ids = append(ids, p.owned.Endpoint.ID)
	}
	return ids
}

// Reached tells that an endpoint has taken a connection.
func (g *Gate) Reached(id fescuelatch.EndpointID) {
	if p := g.places[id]; p != nil {
		p.unreachable = false
		g.domainOf(p).heard()
	}
}
