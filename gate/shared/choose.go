package shared

import (
	"slices"
	"sync"
	"time"

	"fescuelatch"
)

// This file defines the choice of an endpoint for one attempt: the one that is
// expected to give its first output soonest.

// choose returns the endpoint for w, or nil when none has room. It answers
// two loads: short requests go by the number of requests at an endpoint, long
// prompts by what is still to be read there, with what a prompt cache saves.
func (g *Gate) choose(now time.Time, w fescuelatch.Work) *place {
	places := g.serving[w.Version]
	home := g.homes(places, w)
	all := g.overview(now, places)
	var best *place
	var least time.Duration
	for _, p := range places {
		if !g.admits(now, p, all, w) {
			continue
		}
		c := g.cost(now, p, w, home.cached(p))
		// Equal costs are drawn from, so that daemons do not all take the
		// first endpoint of the same list.
		c += time.Duration(g.random.Float64() * float64(time.Millisecond))
		if best == nil || c < least {
			best, least = p, c
		}
	}
	return best
}

// overview tells what holds of all endpoints of a version, which is found out
// once for a choice, and only if it matters.
type overview struct{ crowded, lost func() bool }

func (g *Gate) overview(now time.Time, places []*place) overview {
	return overview{
		crowded: sync.OnceValue(func() bool { return g.crowded(now, places) }),
		lost:    sync.OnceValue(func() bool { return allLost(now, g, places) }),
	}
}

// admits reports whether p may get w now. Endpoints that fail are left alone,
// unless too many of them fail at once.
func (g *Gate) admits(now time.Time, p *place, all overview, w fescuelatch.Work) bool {
	p.advance(now, g.coldGap(max(p.owned.ColdRate, 1)))
	if p.out() || p.paused(now) || p.moved(now) || slices.Contains(w.Avoid, p.owned.Endpoint.ID) {
		return false
	}
	if w.Endpoint != "" && w.Endpoint != p.owned.Endpoint.ID {
		return false
	}
	if g.lost(p) && !all.lost() {
		return false
	}
	if !p.open(now) && (p.cold(now) || !all.crowded()) {
		return false
	}
	if g.silent(now, p) && !all.crowded() {
		return false
	}
	if p.ejections > 0 && !w.Request.Idempotent && !all.crowded() {
		return false // Only a request that may be repeated is tried there.
	}
	if len(p.running) >= g.connections(p) {
		return false
	}
	return float64(p.busy(now)) < overbooking*float64(p.slots())
}

// silent reports whether an attempt has waited for its first output for much
// longer than usual while nothing was heard from the endpoint. Requests that
// must not be repeated wait there to the end, and no further ones should join
// them.
func (g *Gate) silent(now time.Time, p *place) bool {
	for _, a := range p.running {
		if !a.first.IsZero() || !p.lastHeard.Before(a.started) {
			continue
		}
		usual := g.paceOf(a.work.Version).expected(a.fresh)
		if now.Sub(a.started) > max(silentLeast, silentFactor*usual) {
			return true
		}
	}
	return false
}

// connections returns how many requests of this daemon may be at p at once.
func (g *Gate) connections(p *place) int {
	if p.owned.Connections == 0 {
		return 1 << 30
	}
	return max(minConnections, int(connectionUse*float64(p.owned.Connections))/g.members)
}

// crowded reports whether so many endpoints are left alone that the others
// may not carry the load.
func (g *Gate) crowded(now time.Time, places []*place) bool {
	out, n := 0, 0
	for _, p := range places {
		if p.out() {
			continue
		}
		n++
		if p.paused(now) || p.away(now) || now.Before(p.ejected) || p.trial != "" || g.silent(now, p) {
			out++
		}
	}
	return float64(out) > maxEjected*float64(n)
}

// cost estimates the time to the first output of w at p. Prompts that are
// being read there come first, and what is generated slows reading down.
// cached is the part of the shared parts of the prompt that is taken to be held
// there because other daemons send them to p.
func (g *Gate) cost(now time.Time, p *place, w fescuelatch.Work, cached float64) time.Duration {
	pc := g.paceOf(w.Version)
	fresh := p.fresh(w)
	if cached > 0 {
		fresh = min(fresh, w.Request.PromptTokens-int(cached*float64(shared(w.Request.Parts))))
	}
	ahead := 0
	for _, a := range p.running {
		if a.first.IsZero() {
			ahead += a.fresh
		}
	}
	busy, slots := float64(p.busy(now)), float64(p.slots())
	c := pc.expected(max(fresh, 0))
	if ahead > 0 {
		c += pc.expected(ahead)
	}
	c += time.Duration(float64(c) * busy / slots)
	if over := busy + 1 - slots; over > 0 {
		c += time.Duration(over / slots * float64(pc.whole()))
	}
	c = time.Duration(float64(c) * max(1, p.slow))
	if string(p.owned.Endpoint.Domain) != g.settings.Domain {
		c += crossDomainCost
	}
	return c
}
