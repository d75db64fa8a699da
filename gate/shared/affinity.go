package shared

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file defines the affinity endpoints of prompt parts: the endpoints at which
// all daemons expect shared prompt parts to be cached, without communicating.

// sharedTokens returns the tokens of the parts that other requests share: all but
// the last.
func sharedTokens(parts []fescuelatch.PromptPart) int {
	n := 0
	for _, p := range parts[:len(parts)-1] {
		n += p.Tokens
	}
	return n
}

// sharedPart returns the ID of the last part of a prompt that other requests share, or an
// empty one if there is none.
func sharedPart(w fescuelatch.Work) string {
	if len(w.Request.Parts) < 2 {
		return ""
	}
	return w.Request.Parts[len(w.Request.Parts)-2].ID
}

// affinityEndpoints are the endpoints to which all daemons send a prompt's shared
// parts: the first, or the second while the first is busier. There is one pair for
// all failure domains, or one for each.
type affinityEndpoints []affinityPair

// affinityPair holds the endpoints of a failure domain with the highest scores; domain
// is empty if the pair is that of all.
type affinityPair struct {
	domain    fescuelatch.DomainID
	endpoints [2]*endpointLoad
	scores    [2]uint64
}

// secondaryShare is the assumed fraction of the shared tokens in the second
// endpoint's cache. It is below 1, or each part would be processed at both.
const secondaryShare = 0.5

// cachedShare returns the assumed fraction of the shared tokens in e's cache.
func (a affinityEndpoints) cachedShare(e *endpointLoad) float64 {
	for _, p := range a {
		switch e {
		case p.endpoints[0]:
			return 1
		case p.endpoints[1]:
			return secondaryShare
		}
	}
	return 0
}

// nearAffinityOf is affinityOf for contended versions, among the endpoints of this daemon's
// failure domain if it has some. Otherwise the first requests with a part that many callers
// use all at once, one of each daemon, would exceed the room of one endpoint.
func (g *Gate) nearAffinityOf(endpoints []*endpointLoad, w fescuelatch.Work) affinityEndpoints {
	if len(w.Request.Parts) < 2 {
		return nil
	}
	g.near = g.near[:0]
	for _, e := range endpoints {
		if string(e.owned.Endpoint.Domain) == g.settings.Domain && !e.out() && !g.unreachable(e) {
			g.near = append(g.near, e)
		}
	}
	if len(g.near) == 0 {
		return g.affinityOf(endpoints, w)
	}
	return g.affinityOf(g.near, w)
}

// affinityOf returns the two endpoints with the highest rendezvous hashes for the
// shared parts of a prompt. All daemons agree on them without communicating, so
// that few endpoints process the parts. Endpoints of other failure domains are
// included where reaching them costs less than processing a long part again;
// otherwise each failure domain has two.
func (g *Gate) affinityOf(endpoints []*endpointLoad, w fescuelatch.Work) affinityEndpoints {
	if len(w.Request.Parts) < 2 {
		return nil
	}
	copies := g.keepsCopies(w)
	var best affinityEndpoints
	part := sharedPart(w)
	for _, e := range endpoints {
		if e.out() {
			continue
		}
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(part)
		_, _ = d.WriteString(string(e.owned.Endpoint.ID))
		var domain fescuelatch.DomainID
		if copies {
			domain = e.owned.Endpoint.Domain
		}
		best = best.add(domain, e, d.Sum64())
	}
	return best
}

// add adds an endpoint with its score to the pair of a failure domain.
func (a affinityEndpoints) add(domain fescuelatch.DomainID, e *endpointLoad, score uint64) affinityEndpoints {
	i := slices.IndexFunc(a, func(p affinityPair) bool { return p.domain == domain })
	if i < 0 {
		i = len(a)
		a = append(a, affinityPair{domain: domain})
	}
	p := &a[i]
	switch {
	case score > p.scores[0]:
		p.endpoints[1], p.scores[1] = p.endpoints[0], p.scores[0]
		p.endpoints[0], p.scores[0] = e, score
	case score > p.scores[1]:
		p.endpoints[1], p.scores[1] = e, score
	}
	return a
}
