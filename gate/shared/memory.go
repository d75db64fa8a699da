package shared

import (
	"math"
	"time"

	"fescuelatch"
)

// This file bounds what the requests at an endpoint of a contended version take of its memory.
// An endpoint that holds more than it has memory for crashes, with all its requests.

// memoryShare is the share of an endpoint's memory that its requests may take by this daemon's
// estimate. The rest is for what other daemons start before its reports tell of it.
const memoryShare = 0.6

// deviations is the number of standard deviations by which more requests than expected are
// assumed at an endpoint that was not heard of lately: those of many daemons come at random.
const deviations = 2

// tokensOf returns the memory that w takes at an endpoint, in tokens.
func tokensOf(w fescuelatch.Work) int { return w.Request.PromptTokens + w.Request.OutputTokens }

// memoryFor returns how many requests of a size an endpoint has memory for, and zero if it must
// not get one. The requests of this daemon are known, those of the others are estimated by their
// number and by the mean size of this daemon's. A request that is alone there may take all of the
// memory.
func (e *endpointLoad) memoryFor(now time.Time, each, others, mean float64) float64 {
	memory := float64(e.owned.CacheTokens)
	if memory == 0 || each == 0 {
		return math.Inf(1)
	}
	if len(e.running) == 0 && others < 0.5 && each <= memory {
		return max(1, memoryShare*memory/each)
	}
	if mean == 0 {
		mean = each
	}
	unknown := others * (1 - halved(now.Sub(e.reported), reportHalfLife))
	held := (others + deviations*math.Sqrt(unknown)) * mean
	for _, a := range e.running {
		held += float64(tokensOf(a.work))
	}
	n := (memoryShare*memory - held) / each
	if n < 1 {
		return 0
	}
	return n
}

// fitsNowhere reports whether no endpoint has memory for w even when it is idle.
func (g *Gate) fitsNowhere(w fescuelatch.Work) bool {
	some := false
	for _, e := range g.serving[w.Version] {
		if e.out() {
			continue
		}
		if e.owned.CacheTokens == 0 || tokensOf(w) <= e.owned.CacheTokens {
			return false
		}
		some = true
	}
	return some
}

// mayFill reports whether this daemon may start w if endpoints have memory for n requests like it
// by its estimate: until their reports tell of the requests of the others, it takes no more than
// its part, and one request.
func (g *Gate) mayFill(now time.Time, w fescuelatch.Work, n float64) bool {
	recent, each := g.recentOf(w.Version), float64(tokensOf(w))
	if g.members == 1 || w.Endpoint != "" || each == 0 || recent.tokens == 0 {
		return true // The part is one of all endpoints, and of memory that is taken.
	}
	return recent.since(now)*g.stillThere(w.Version) < max(1, n*each/recent.tokens/float64(g.members))
}

// lacksMemory reports whether an endpoint has no memory for a request of the mean size.
func (g *Gate) lacksMemory(now time.Time, e *endpointLoad, v fescuelatch.VersionID) bool {
	if !g.contended(v) {
		return false
	}
	mean := g.recentOf(v).tokens
	return e.memoryFor(now, mean, g.othersAt(now, e, v), mean) == 0
}
