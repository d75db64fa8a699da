package shared

import (
	"time"

	"fescuelatch"
	"fescuelatch/permit"
)

// This file defines the gate's use of slots at endpoints that crash when they have to turn
// away too many requests. What all daemons send there counts, so that each may only fill
// the slots that it was granted.

// SetBrittle records whether an endpoint says, in answer to a request sent at a given time,
// that it is brittle, and reports whether that has changed. The endpoints of a service are
// brittle together: those that serve the same versions count as brittle until they say
// otherwise.
func (g *Gate) SetBrittle(sent time.Time, id fescuelatch.EndpointID, brittle bool) bool {
	e := g.endpoints[id]
	if e == nil || e.hint.brittle == brittle {
		if e != nil && brittle {
			e.brittleSince = laterOf(e.brittleSince, sent)
		}
		return false
	}
	if !brittle && !sent.After(e.brittleSince) {
		return false // The request was sent before the endpoint said that it is.
	}
	g.setBrittle(sent, e, brittle)
	if brittle {
		g.spreadBrittle()
	}
	return true
}

func (g *Gate) setBrittle(at time.Time, e *endpointLoad, brittle bool) {
	e.hint.brittle, e.brittleSince = brittle, at
	if brittle && e.hint.slots == nil {
		e.hint.slots = new(permit.SlotHolder)
	}
	g.hints.byProcess.Add(processOf(e.owned), e.hint)
	g.trackBrittle(e)
}

// spreadBrittle has endpoints count as brittle if one that serves the same version is.
func (g *Gate) spreadBrittle() {
	if len(g.brittle) == 0 {
		return
	}
	for _, endpoints := range g.serving {
		var since time.Time
		for _, e := range endpoints {
			if e.hint.brittle {
				since = laterOf(since, e.brittleSince)
			}
		}
		for _, e := range endpoints {
			if !since.IsZero() && !e.hint.brittle && since.After(e.brittleSince) {
				g.setBrittle(since, e, true)
			}
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (g *Gate) trackBrittle(e *endpointLoad) {
	if e.hint.brittle {
		g.brittle[e.owned.Endpoint.ID] = e
	} else {
		delete(g.brittle, e.owned.Endpoint.ID)
	}
}

// BrittleEndpoints returns the number of brittle endpoints.
func (g *Gate) BrittleEndpoints() int { return len(g.brittle) }

// SlotRequests returns requests for slots that are due, at most a given number. Each of them
// must be answered by GrantSlots or SlotsFailed.
func (g *Gate) SlotRequests(now time.Time, most int) []permit.SlotRequest {
	var due []permit.SlotRequest
	for _, e := range g.brittle {
		if len(due) == most {
			break
		}
		if q, ok := e.hint.slots.Due(now, len(e.running), e.slots()); ok {
			q.Process, q.Domain = processOf(e.owned), e.owned.Endpoint.Domain
			due = append(due, q)
		}
	}
	return due
}

// missSecondSlot has a slot requested at a second brittle endpoint as well: the slots of the
// best one may all be filled by other daemons.
func (g *Gate) missSecondSlot(now time.Time, w fescuelatch.Work, best *endpointLoad) {
	endpoints := g.serving[w.Version]
	if !best.hint.brittle || len(endpoints) < 2 {
		return
	}
	e := endpoints[g.random.IntN(len(endpoints))]
	if e != best && e.hint.brittle && !e.out() && !g.unreachable(e) && e.permitsLeft(now) == 0 {
		e.missPermit(now)
	}
}

// SlotsDue returns the time until a request for slots is due that lacks one, or false if there
// is none.
func (g *Gate) SlotsDue(now time.Time) (time.Duration, bool) {
	var next time.Time
	for _, e := range g.brittle {
		if at, ok := e.hint.slots.Urgent(now); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return max(0, next.Sub(now)), !next.IsZero()
}

// GrantSlots applies the reply to a request for slots.
func (g *Gate) GrantSlots(p fescuelatch.EndpointProcess, r permit.SlotReply) {
	if h := g.hintOf(p).slots; h != nil {
		h.Granted(r, g.random.Float64())
	}
}

// SlotsFailed records that a request for slots has reached no allocator.
func (g *Gate) SlotsFailed(now time.Time, p fescuelatch.EndpointProcess) {
	if h := g.hintOf(p).slots; h != nil {
		h.Failed(now)
	}
}
