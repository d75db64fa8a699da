package shared

import (
	"time"

	"fescuelatch"
)

// This file defines the choice of an endpoint for contended versions, whose endpoints differ
// in speed and are loaded by many daemons.
//
// What excludes an endpoint is in exclusion: it is out, paused, unreachable, ejected, or cold
// beyond its rate. What is left is cold within its rate, or slow, or neither; only slow is a
// matter of degree, and is the factor of servicetime.Estimate. It takes the place of the
// slowdown by which the cost for other versions is multiplied.

// answerShare is the part of the time of an answer after its first output that counts like
// time to the first output. Callers read a stream as it comes, but a slow one holds a slot
// for longer and is more likely to pause.
const answerShare = 0.1

// candidate is an endpoint that may get a request.
type candidate struct {
	endpoint *endpointLoad
	option
}

// chooseUneven is choose for contended versions. It draws an endpoint among those of low cost,
// see option.
func (g *Gate) chooseUneven(now time.Time, w fescuelatch.Work) (best, lacking *endpointLoad) {
	endpoints := g.serving[w.Version]
	prefixes := g.prefixesOf(w)
	affinity := g.nearAffinityOf(endpoints, w)
	status := g.statusOf(now, endpoints)
	typical, mean := g.typicalOf(w.Version).mean(now), g.recentOf(w.Version).tokens
	size := float64(tokensOf(w))
	lasts := g.latencyOf(w.Version).meanTotal()
	status.fill = g.fillOf(now, w)
	var others float64 // at the endpoint whose exclusion was last asked for
	status.busy = func(e *endpointLoad) float64 {
		others = e.expectedOthers(now, typical, lasts)
		return float64(len(e.running)) + others
	}
	g.candidates, g.unfit = g.candidates[:0], false
	var least, leastLacking, memory float64
	for _, e := range endpoints {
		if x := g.exclusion(now, e, status, w); x != "" {
			g.trace.exclude(now, g, e, x)
			continue
		}
		n := e.memoryFor(now, size, others, mean)
		if n == 0 {
			g.unfit = true
			g.trace.exclude(now, g, e, ExcludedMemory)
			continue
		}
		uncached := e.uncachedTokensWith(w, prefixes, affinity.cachedShare(e))
		o := g.optionAt(now, e, w, others, uncached)
		g.trace.consider(now, g, e, w, uncached, time.Duration(o.cost-o.saving))
		switch {
		case e.permitsLeft(now) > 0:
			if len(g.candidates) == 0 || o.cost-o.saving < least {
				least = o.cost - o.saving
			}
			g.candidates = append(g.candidates, candidate{e, o})
			memory += n
		case e.lacksPermit(now):
			if lacking == nil || o.cost-o.saving < leastLacking {
				lacking, leastLacking = e, o.cost-o.saving
			}
		}
	}
	g.unfit = g.unfit && len(g.candidates) == 0
	if len(g.candidates) == 0 {
		return nil, lacking
	}
	if !g.mayFill(now, w, memory) {
		g.trace.takeNoMore()
		return nil, lacking
	}
	if least <= leastLacking {
		lacking = nil
	}
	unreported := g.unreported(now, w)
	best = g.candidates[draw(g.candidates, unreported, g.random)].endpoint
	g.trace.draw(g, unreported)
	return best, lacking
}

// optionAt returns the cost of w at e: the expected time to the first output, and a part of
// that of the rest of the answer.
func (g *Gate) optionAt(now time.Time, e *endpointLoad, w fescuelatch.Work, others float64, uncached int) option {
	latency := g.latencyOf(w.Version)
	saving := float64(latency.expectedFirst(w.Request.PromptTokens) - latency.expectedFirst(uncached))
	alone := float64(e.promptTime(latency, uncached)) + saving + answerShare*float64(latency.outputTime(w))
	slots, load := float64(e.slots()), e.loadFactor(others)
	o := option{
		cost: alone * load, perRequest: alone / slots, saving: saving * load,
		factor: e.speed.Factor(now), distance: float64(g.distance(e, w)), near: string(e.owned.Endpoint.Domain) == g.settings.Domain,
	}
	if over := float64(len(e.running)) + others + 1 - slots; over > 0 {
		total := float64(latency.meanTotal())
		o.cost += over / slots * total
		o.perRequest += total / slots
	}
	return o.scaled()
}

// loadFactor returns the factor by which the requests at an endpoint slow down another one
// there, given the number of those of other daemons.
func (e *endpointLoad) loadFactor(others float64) float64 {
	return 1 + (float64(len(e.running))+others)/float64(e.slots())
}

// outputTime returns the expected time from the first output of w to its end.
func (p *versionLatency) outputTime(w fescuelatch.Work) time.Duration {
	return p.perOutputToken * time.Duration(w.Request.OutputTokens)
}

// observeSpeed compares a time at the endpoint of an attempt with the one expected by the
// version's means, at the load that the endpoint had.
func (g *Gate) observeSpeed(now time.Time, a *attempt, latency *versionLatency, took, expected time.Duration) {
	if a.load == 0 {
		return
	}
	if latency.load == 0 {
		latency.load = a.load
	}
	a.endpoint.speed.Observe(now, took, time.Duration(float64(expected)*a.load/latency.load))
	latency.load += latencyWeight * (a.load - latency.load)
}

// observeOutput compares the time from the first output of an answer to its end with the
// expected one.
func (g *Gate) observeOutput(now time.Time, a *attempt, latency *versionLatency) {
	tokens := a.work.Request.OutputTokens
	if a.load == 0 || tokens == 0 || a.firstOutput.IsZero() || !now.After(a.firstOutput) {
		return
	}
	took := now.Sub(a.firstOutput)
	if latency.perOutputToken > 0 {
		g.observeSpeed(now, a, latency, took, latency.outputTime(a.work))
	}
	latency.perOutputToken = movingAverage(latency.perOutputToken, took/time.Duration(tokens))
}
