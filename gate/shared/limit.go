package shared

import (
	"math"
	"time"

	"fescuelatch"
	"fescuelatch/permit"
)

// This file defines the gate's use of permits for endpoints that limit the rate of
// their requests.

// SetLimit records an endpoint's statement on its rate limit, made in answer to a
// request sent at a given time, and reports whether the limit has changed. An answer
// without a limit only replaces statements from before its request was sent.
func (g *Gate) SetLimit(now, sent time.Time, id fescuelatch.EndpointID, l fescuelatch.RateLimit) bool {
	e := g.endpoints[id]
	if e == nil || e.hint.permits == nil && !l.Limited {
		return false
	}
	if e.hint.permits == nil {
		e.hint.permits = permit.NewHolder()
		g.hints.byProcess.Add(processOf(e.owned), e.hint)
	}
	g.trackLimit(e)
	at := now
	if !l.Limited {
		at = sent
	}
	return e.hint.permits.Observe(now, fescuelatch.LimitStatement{Limit: l, At: at})
}

// Limit returns an endpoint's rate limit.
func (g *Gate) Limit(id fescuelatch.EndpointID) fescuelatch.RateLimit {
	if e := g.endpoints[id]; e != nil && e.hint.permits != nil {
		return e.hint.permits.Limit()
	}
	return fescuelatch.RateLimit{}
}

// TracksLimits reports whether permits or slots may have to be requested.
func (g *Gate) TracksLimits() bool { return len(g.limited) > 0 || len(g.brittle) > 0 }

// LimitedEndpoints returns the number of endpoints with a rate limit.
func (g *Gate) LimitedEndpoints() int {
	n := 0
	for _, e := range g.limited {
		if e.isLimited() {
			n++
		}
	}
	return n
}

// PermitRequests returns requests for permits that are due, at most a given number. Each
// of them must be answered by GrantPermits or PermitsFailed.
func (g *Gate) PermitRequests(now time.Time, most int) []permit.Request {
	var due []permit.Request
	for id, e := range g.limited {
		if len(due) == most {
			break
		}
		q, ok := e.hint.permits.Due(now)
		if ok {
			q.Process, q.Domain = processOf(e.owned), e.owned.Endpoint.Domain
			due = append(due, q)
		} else if e.hint.permits.Idle() {
			delete(g.limited, id)
		}
	}
	return due
}

// GrantPermits applies the reply to a request for permits that was sent at asked, and
// reports whether the endpoint's limit has changed.
func (g *Gate) GrantPermits(now, asked time.Time, p fescuelatch.EndpointProcess, r permit.Reply) bool {
	h := g.hintOf(p).permits
	return h != nil && h.Granted(now, asked, r, g.random.Float64())
}

// PermitsFailed records that a request for permits has reached no allocator.
func (g *Gate) PermitsFailed(now time.Time, p fescuelatch.EndpointProcess) {
	if h := g.hintOf(p).permits; h != nil {
		h.Failed(now)
	}
}

// hintOf returns the hint of a process, registered or not.
func (g *Gate) hintOf(p fescuelatch.EndpointProcess) hint {
	if e := g.endpoints[p.Endpoint]; e != nil && processOf(e.owned) == p {
		return e.hint
	}
	h, _ := g.hints.byProcess.Peek(p)
	return h
}

// trackLimit tracks an endpoint if its process may have a rate limit.
func (g *Gate) trackLimit(e *endpointLoad) {
	if e.hint.permits == nil {
		delete(g.limited, e.owned.Endpoint.ID)
		return
	}
	g.limited[e.owned.Endpoint.ID] = e
}

func (e *endpointLoad) isLimited() bool {
	return e.hint.permits != nil && e.hint.permits.Limit().Limited
}

// permitsLeft returns the number of requests that the endpoint's rate limit and this
// daemon's slots there permit now.
func (e *endpointLoad) permitsLeft(now time.Time) int {
	left := math.MaxInt
	if e.isLimited() {
		left = e.hint.permits.Permits(now)
	}
	if e.hint.brittle {
		left = min(left, e.hint.slots.Left(now, len(e.running)))
	}
	return left
}

// usePermit records the start of an attempt.
func (e *endpointLoad) usePermit(now time.Time) {
	if e.isLimited() {
		e.hint.permits.Use(now)
	}
	if e.hint.brittle {
		e.hint.slots.Filled(len(e.running))
	}
}

// lacksPermit reports whether a request that lacks a permit or a slot should be counted:
// more may be had.
func (e *endpointLoad) lacksPermit(now time.Time) bool {
	if e.isLimited() && e.hint.permits.Permits(now) == 0 {
		return e.hint.permits.Lacks(now)
	}
	return e.hint.brittle
}

// missPermit counts a request that lacked a permit or a slot.
func (e *endpointLoad) missPermit(now time.Time) {
	if e.isLimited() && e.hint.permits.Permits(now) == 0 {
		e.hint.permits.Miss(now)
		return
	}
	e.hint.slots.Miss(now)
}

// mayBePermitted reports whether there may be a permit and a slot at the endpoint by a time.
func (e *endpointLoad) mayBePermitted(by time.Time) bool {
	if e.isLimited() && e.hint.permits.Permits(by) == 0 && !e.hint.permits.Expects(by) {
		return false
	}
	return !e.hint.brittle || e.hint.slots.Left(by, len(e.running)) > 0 || e.hint.slots.Expects(by)
}

// permitWait returns the time until the next permits or slots may be had.
func (e *endpointLoad) permitWait(now time.Time) time.Duration {
	var wait time.Duration
	if e.isLimited() && e.hint.permits.Permits(now) == 0 {
		wait = e.hint.permits.Next().Sub(now)
	}
	if e.hint.brittle && e.hint.slots.Left(now, len(e.running)) == 0 {
		wait = max(wait, e.hint.slots.Next().Sub(now))
	}
	return wait
}
