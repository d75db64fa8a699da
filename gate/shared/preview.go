package shared

import (
	"maps"
	"math/rand/v2"

	"fescuelatch"
)

// This file defines previews: copies of a gate that decide by its code on a copy of its state,
// and start nothing.

// Preview returns a preview of g with its own source of random choices. It may only be used
// while g is not, as it shares with it what no decision changes.
func (g *Gate) Preview(r *rand.Rand) *Gate {
	p := *g
	p.random, p.trace = r, newTrace()
	p.waiting.waiters = append([]waiter(nil), g.waiting.waiters...)
	p.contention = g.contention.Preview(r)
	p.candidates, p.near, p.prefixes = nil, nil, nil
	// These gain an entry where one is first asked for.
	p.domains, p.latencies = maps.Clone(g.domains), maps.Clone(g.latencies)
	p.typical, p.recent = maps.Clone(g.typical), maps.Clone(g.recent)
	p.departure.sizes = g.departure.sizes.Clone()
	p.departure.quote = quote{}
	p.copyEndpoints(g)
	return &p
}

// copyEndpoints gives g copies of the endpoints of another gate.
func (g *Gate) copyEndpoints(from *Gate) {
	copies := make(map[*endpointLoad]*endpointLoad, len(from.registered))
	copyAll := func(es []*endpointLoad) []*endpointLoad {
		all := make([]*endpointLoad, len(es))
		for i, e := range es {
			all[i] = copies[e]
		}
		return all
	}
	copyMap := func(es map[fescuelatch.EndpointID]*endpointLoad) map[fescuelatch.EndpointID]*endpointLoad {
		all := make(map[fescuelatch.EndpointID]*endpointLoad, len(es))
		for id, e := range es {
			all[id] = copies[e]
		}
		return all
	}
	clones := make([]endpointLoad, 0, len(from.endpoints))
	for _, e := range from.endpoints {
		clones = append(clones, e.clone())
		copies[e] = &clones[len(clones)-1]
	}
	g.endpoints, g.limited, g.brittle = copyMap(from.endpoints), copyMap(from.limited), copyMap(from.brittle)
	g.registered = copyAll(from.registered)
	g.serving = make(map[fescuelatch.VersionID][]*endpointLoad, len(from.serving))
	for v, es := range from.serving {
		g.serving[v] = copyAll(es)
	}
}

// clone returns a copy of e. Its attempts and its cache are shared, as only starts and answers
// change them.
func (e *endpointLoad) clone() endpointLoad {
	c := *e
	if h := e.hint.permits; h != nil {
		c.hint.permits = h.Clone()
	}
	if h := e.hint.slots; h != nil {
		c.hint.slots = h.Clone()
	}
	return c
}
