package shared

import (
	"time"

	"fescuelatch"
)

// This file defines what the gate knows of a failure domain as a whole. When a
// domain is cut off, each of its endpoints would otherwise cost a request the
// time to find that out.

const (
	// darkAfter is the number of endpoints in a row that could not be reached
	// in a domain, with none heard of, at which it counts as dark.
	darkAfter = 2
	// darkTrial is the time between requests that try a dark domain.
	darkTrial = 400 * time.Millisecond
)

// domain is a failure domain as it is reached from here.
type domain struct {
	unreachable int
	next        time.Time // of a trial
}

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

// start notes that a request tries the domain.
func (d *domain) start(now time.Time) {
	if d.unreachable >= darkAfter {
		d.next = now.Add(darkTrial)
	}
}

// dark reports whether the domain gets no work now.
func (d *domain) dark(now time.Time) bool { return d.unreachable >= darkAfter && now.Before(d.next) }

func (g *Gate) domainOf(p *place) *domain {
	id := p.owned.Endpoint.Domain
	d := g.domains[id]
	if d == nil {
		d = new(domain)
		g.domains[id] = d
	}
	return d
}

// allDark reports whether none of the places is in a domain that is reached.
func (g *Gate) allDark(now time.Time, places []*place) bool {
	for _, p := range places {
		if !p.owned.Out && !g.domainOf(p).dark(now) {
			return false
		}
	}
	return true
}
