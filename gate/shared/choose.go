package shared

import (
	"slices"
	"sync"
	"time"

	"fescuelatch"
)

// This file defines the choice of an endpoint for an attempt: the one with the
// lowest expected time to the first output.

// choose returns the endpoint for w, or nil when none has room. For short
// requests the number of requests at an endpoint dominates, for long prompts the
// prompt tokens still to be processed there, less those in its prompt cache. If a
// better endpoint lacks a permit, and more permits may be had for it, it is returned
// as lacking.
func (g *Gate) choose(now time.Time, w fescuelatch.Work) (best, lacking *endpointLoad) {
	if g.contended(w.Version) && g.latencyOf(w.Version).meanTotal() >= minKnownTotal {
		return g.chooseUneven(now, w)
	}
	g.unfit = false
	endpoints := g.serving[w.Version]
	prefixes := g.prefixesOf(w)
	affinity := g.affinityOf(endpoints, w)
	status := g.statusOf(now, endpoints)
	status.fill = g.fillOf(now, w)
	var least, leastLacking time.Duration
	for _, e := range endpoints {
		if x := g.exclusion(now, e, status, w); x != "" {
			g.trace.exclude(now, g, e, x)
			continue
		}
		uncached := e.uncachedTokensWith(w, prefixes, affinity.cachedShare(e))
		c := g.cost(now, e, w, uncached)
		g.trace.consider(now, g, e, w, uncached, c)
		// Ties are broken at random, so that daemons do not all choose the
		// first endpoint of the same list.
		c += time.Duration(g.random.Float64() * float64(time.Millisecond))
		switch {
		case e.permitsLeft(now) > 0:
			if best == nil || c < least {
				best, least = e, c
			}
		case e.lacksPermit(now):
			if lacking == nil || c < leastLacking {
				lacking, leastLacking = e, c
			}
		}
	}
	if best != nil && least <= leastLacking {
		lacking = nil
	}
	return best, lacking
}

// versionStatus holds conditions over all endpoints of a version. Each is evaluated
// at most once per choice, and only if needed.
type versionStatus struct {
	degraded, unreachable func() bool
	// fill is the number of requests per slot up to which an endpoint gets work, and busy
	// the estimate of those at it.
	fill float64
	busy func(*endpointLoad) float64
}

func (g *Gate) statusOf(now time.Time, endpoints []*endpointLoad) versionStatus {
	return versionStatus{
		fill:        overbooking,
		busy:        func(e *endpointLoad) float64 { return float64(e.busy(now)) },
		degraded:    sync.OnceValue(func() bool { return g.degraded(now, endpoints) }),
		unreachable: sync.OnceValue(func() bool { return allUnreachable(now, g, endpoints) }),
	}
}

// exclusion returns why e may not get w now, or nothing. Failing endpoints are excluded,
// unless too many of them fail at once.
func (g *Gate) exclusion(now time.Time, e *endpointLoad, status versionStatus, w fescuelatch.Work) Exclusion {
	e.skipMissedStarts(now, g.coldInterval(max(e.owned.ColdRate, 1)))
	switch {
	case e.out():
		return ExcludedOut
	case e.paused(now):
		return ExcludedPaused
	case e.isMisplaced(now):
		return ExcludedMisplaced
	case slices.Contains(w.Avoid, e.owned.Endpoint.ID):
		return ExcludedTried
	case w.Endpoint != "" && w.Endpoint != e.owned.Endpoint.ID:
		return ExcludedBound
	case status.busy(e) >= status.fill*float64(e.slots()):
		return ExcludedFull // Where room is short, this excludes most endpoints, and is soon told.
	case g.unreachable(e) && !status.unreachable():
		return ExcludedUnreachable
	case !e.open(now) && (e.cold(now) || !status.degraded()):
		return e.closedBy(now)
	case g.unresponsive(now, e) && !status.degraded():
		return ExcludedUnresponsive
	case e.ejections > 0 && !w.Request.Idempotent && !status.degraded():
		return ExcludedTrial // Only an idempotent request may be the trial.
	case len(e.running) >= g.connections(e):
		return ExcludedConnections
	case g.onlyQueues(now, e, w):
		return ExcludedQueue
	}
	return ""
}

// unresponsive reports whether an attempt has waited for its first output much
// longer than usual without any output from the endpoint. Non-idempotent requests
// there wait until they end, so no more should be sent.
func (g *Gate) unresponsive(now time.Time, e *endpointLoad) bool {
	if now.Sub(e.lastResponse) <= minUnresponsive {
		return false // Attempts since then are younger.
	}
	for _, a := range e.running {
		if !a.firstOutput.IsZero() || !e.lastResponse.Before(a.started) {
			continue
		}
		// The time by the clock is cheaper to tell, and suffices for most attempts.
		if after := g.unresponsiveAfter(a); now.Sub(a.started) > after && g.ranSince(a, now) > after {
			return true
		}
	}
	return false
}

// ranSince returns for how long this daemon has run since an attempt began.
func (g *Gate) ranSince(a *attempt, now time.Time) time.Duration {
	return g.settings.Stalls.Ran(a.started, now, minHidingStall)
}

// unresponsiveAfter returns how long an attempt may wait for its first output.
func (g *Gate) unresponsiveAfter(a *attempt) time.Duration {
	usual := g.latencyOf(a.work.Version).expectedFirst(a.uncached)
	return max(minUnresponsive, unresponsiveFactor*usual)
}

// unanswered reports whether an attempt that is given up now has waited long enough to show
// that its endpoint fails. If this daemon did not run for much of the time, the answer may
// have come unseen before the attempt was given up, unless it takes unusually long.
func (g *Gate) unanswered(now time.Time, a *attempt) bool {
	if !a.firstOutput.IsZero() || !a.endpoint.lastResponse.Before(a.started) {
		return false
	}
	least := minUnresponsive
	ran := g.ranSince(a, now)
	if float64(ran) < minRanShare*float64(now.Sub(a.started)) {
		least = g.unresponsiveAfter(a)
	}
	if ran > least || now.Sub(a.started) <= least {
		return ran > least
	}
	// One attempt was too short for a daemon with many stalls, but several show it.
	a.endpoint.unanswered.add(a.started, now, g.settings.Stalls)
	return a.endpoint.unanswered.ran > least
}

// connections returns the maximum number of requests of this daemon at e.
func (g *Gate) connections(e *endpointLoad) int {
	if e.owned.Connections == 0 {
		return 1 << 30
	}
	return max(minConnections, int(connectionShare*float64(e.owned.Connections))/g.members)
}

// degraded reports whether so many endpoints are excluded that the others may
// not carry the load.
func (g *Gate) degraded(now time.Time, endpoints []*endpointLoad) bool {
	excluded, n := 0, 0
	for _, e := range endpoints {
		if e.out() {
			continue
		}
		n++
		if e.paused(now) || e.permitsLeft(now) == 0 || e.isUnreachable(now) || now.Before(e.ejectedUntil) || e.trial != "" || g.unresponsive(now, e) {
			excluded++
		}
	}
	return float64(excluded) > maxEjected*float64(n)
}

// cost estimates the time to the first output of w at e. Prompts already being
// processed there come first, and generation slows prompt processing down. uncached
// is the number of w's prompt tokens assumed not to be in e's cache.
func (g *Gate) cost(now time.Time, e *endpointLoad, w fescuelatch.Work, uncached int) time.Duration {
	latency := g.latencyOf(w.Version)
	c := e.promptTime(latency, uncached)
	busy, slots := float64(e.busy(now)), float64(e.slots())
	c += time.Duration(float64(c) * busy / slots)
	if over := busy + 1 - slots; over > 0 {
		c += time.Duration(over / slots * float64(latency.meanTotal()))
	}
	c = time.Duration(float64(c) * max(1, e.slowdown))
	return c + g.distance(e, w)
}

// promptTime returns the expected time in which e reads a prompt with the given number of
// uncached tokens, and those of this daemon that it reads before, if it does nothing else.
func (e *endpointLoad) promptTime(latency *versionLatency, uncached int) time.Duration {
	ahead := 0
	for _, a := range e.running {
		if a.firstOutput.IsZero() {
			ahead += a.uncached
		}
	}
	c := latency.expectedFirst(uncached)
	if ahead > 0 {
		c += latency.expectedFirst(ahead)
	}
	return c
}

// uncachedTokensWith returns the prompt tokens of w assumed not to be in e's cache, if the
// given fraction of the shared ones is there because other daemons send these parts to e.
func (e *endpointLoad) uncachedTokensWith(w fescuelatch.Work, prefixes []prefix, cached float64) int {
	uncached := e.uncachedTokens(w, prefixes)
	if cached > 0 {
		uncached = min(uncached, w.Request.PromptTokens-int(cached*float64(sharedTokens(w.Request.Parts))))
	}
	return max(uncached, 0)
}

// prefixesOf returns the prefixes of w's prompt. The result is valid until the next call.
func (g *Gate) prefixesOf(w fescuelatch.Work) []prefix {
	g.prefixes = appendPrefixes(g.prefixes[:0], w.Version, w.Request.Parts)
	return g.prefixes
}
