package shared

import (
	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file defines the homes of prompt parts: the endpoints at which all daemons
// expect the parts that prompts share to be cached, without telling each other.

// shared returns the tokens of the parts that other requests share, which are
// all but the last.
func shared(parts []fescuelatch.PromptPart) int {
	n := 0
	for _, p := range parts[:len(parts)-1] {
		n += p.Tokens
	}
	return n
}

// homes are the endpoints to which all daemons send a prompt's shared parts: the
// first, and the second while the first has more work than others.
type homes [2]*place

// secondHome is the part of the shared tokens that the second home is taken to
// hold. It is less than all, or each part would be read at both.
const secondHome = 0.5

// cached returns the part of the shared tokens that p is taken to hold.
func (h homes) cached(p *place) float64 {
	switch p {
	case h[0]:
		return 1
	case h[1]:
		return secondHome
	}
	return 0
}

// homes returns the two endpoints of the highest rendezvous scores for the
// shared parts of a prompt. All daemons agree on them without telling each other,
// so that the parts are read in few places. The endpoints of other failure domains
// count as well: the way there costs far less than reading a long part again.
func (g *Gate) homes(places []*place, w fescuelatch.Work) homes {
	var best homes
	if len(w.Request.Parts) < 2 {
		return best
	}
	part := w.Request.Parts[len(w.Request.Parts)-2].ID
	var scores [2]uint64
	for _, p := range places {
		if p.out() {
			continue
		}
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(part)
		_, _ = d.WriteString(string(p.owned.Endpoint.ID))
		switch s := d.Sum64(); {
		case s > scores[0]:
			best[1], scores[1] = best[0], scores[0]
			best[0], scores[0] = p, s
		case s > scores[1]:
			best[1], scores[1] = p, s
		}
	}
	return best
}
