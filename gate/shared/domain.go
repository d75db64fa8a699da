package shared

import (
	"maps"
	"slices"
	"time"

	"fescuelatch"
)

// This file tracks which endpoints and failure domains are reachable. An
// unreachable endpoint gets no requests until a probe connection succeeds. The same
// holds for a whole failure domain: otherwise each of its endpoints would delay a
// request before it is found unreachable.

// domainFailureLimit is the number of consecutive unreachable results in a failure
// domain, without any answer, at which the domain counts as unreachable.
const domainFailureLimit = 2

// domain is the reachability of a failure domain from this daemon.
type domain struct{ failures int }

// reached records an answer from an endpoint of the domain.
func (d *domain) reached() { d.failures = 0 }

// failed records that an endpoint of the domain was unreachable.
func (d *domain) failed() { d.failures++ }

func (d *domain) end(r fescuelatch.AttemptResult) {
	switch {
	case r.Unreachable:
		d.failed()
	case answers(r):
		d.reached()
	}
}

// answers reports whether an endpoint has answered an attempt, be it by turning it away.
func answers(r fescuelatch.AttemptResult) bool {
	return !r.Unreachable && (r.Status == fescuelatch.AttemptAnswered || r.Status == fescuelatch.AttemptFailed || r.Overloaded)
}

func (d *domain) unreachable() bool { return d.failures >= domainFailureLimit }

func (g *Gate) domainOf(e *endpointLoad) *domain {
	if e.domain != nil {
		return e.domain
	}
	id := e.owned.Endpoint.Domain
	d := g.domains[id]
	if d == nil {
		d = new(domain)
		g.domains[id] = d
	}
	e.domain = d
	return d
}

// unreachable reports whether e or its whole failure domain is unreachable.
func (g *Gate) unreachable(e *endpointLoad) bool { return e.unreachable || g.domainOf(e).unreachable() }

// UnreachableDomains returns the unreachable failure domains, and the number of domains
// that have endpoints which are not out.
func (g *Gate) UnreachableDomains() (unreachable []fescuelatch.DomainID, all int) {
	reached := make(map[fescuelatch.DomainID]bool)
	for _, e := range g.registered {
		if !e.out() {
			id := e.owned.Endpoint.Domain
			reached[id] = reached[id] || !g.unreachable(e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(reached)) {
		if !reached[id] {
			unreachable = append(unreachable, id)
		}
	}
	return unreachable, len(reached)
}

// UnreachableVersions returns the versions that have endpoints, but none that this daemon
// reaches.
func (g *Gate) UnreachableVersions() []fescuelatch.VersionID {
	var versions []fescuelatch.VersionID
	for v, endpoints := range g.serving {
		n, reached := 0, false
		for _, e := range endpoints {
			if e.out() {
				continue
			}
			if n++; !g.unreachable(e) {
				reached = true
				break
			}
		}
		if n > 0 && !reached {
			versions = append(versions, v)
		}
	}
	return versions
}

// allUnreachable reports whether all given endpoints seem unreachable. Then all are
// tried, as the fault may be at this daemon.
func allUnreachable(now time.Time, g *Gate, endpoints []*endpointLoad) bool {
	for _, e := range endpoints {
		if !e.out() && !e.isUnreachable(now) && !g.domainOf(e).unreachable() {
			return false
		}
	}
	return true
}

// Probes returns the endpoints to which the caller should open a connection now.
// It reports success with Reached.
func (g *Gate) Probes(now time.Time) []fescuelatch.EndpointID {
	var ids []fescuelatch.EndpointID
	for _, e := range g.registered {
		if e.out() || e.paused(now) || e.isMisplaced(now) || now.Before(e.nextProbe) || !g.unreachable(e) {
			continue
		}
		e.nextProbe = now.Add(probeInterval)
		ids = append(ids, e.owned.Endpoint.ID)
	}
	return ids
}

// Reached records that an endpoint has accepted a connection.
func (g *Gate) Reached(id fescuelatch.EndpointID) {
	if e := g.endpoints[id]; e != nil {
		e.unreachable = false
		g.domainOf(e).reached()
	}
}
