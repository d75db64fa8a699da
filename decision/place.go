package decision

import (
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the placement of attempts.

// spareOf returns the number of attempts on s that would start at once, less
// those that wait.
func (c *Core) spareOf(now time.Time, s service) int {
	own := c.ownSpare(now, s)
	return own.Free - own.Queued + c.peers.free[s]
}

// ownSpare returns the free capacity of the own endpoints for s. The gate
// sums it over all endpoints and versions, so its answer is kept until the
// gate changes or the event ends: a request asks once for each version.
func (c *Core) ownSpare(now time.Time, s service) fescuelatch.Spare {
	if c.serves[s] == 0 {
		return fescuelatch.Spare{}
	}
	if !c.sparesKnown {
		c.sparesKnown = true
		clear(c.spares)
		for _, w := range c.options.Gate.Spare(now) {
			c.spares[serviceOf(w)] = w
		}
	}
	return c.spares[s]
}

// gate returns the gate for a call that may change what it has free.
func (c *Core) gate() fescuelatch.Gate {
	c.sparesKnown = false
	return c.options.Gate
}

// place makes the next attempt of q at the best spot, or ends the request.
// Versions that no spot serves are passed over.
func (c *Core) place(now time.Time, q *request) {
	if c.late(now, q) {
		c.refuse(q, ReasonDeadline, defaultRetryAfter)
		return
	}
	for {
		if spot, ok := c.choose(now, q); ok {
			c.attempt(now, q, spot)
			return
		}
		if q.step+1 >= len(q.plan) {
			c.refuse(q, c.noSpot(q), defaultRetryAfter)
			return
		}
		q.step++
		clear(q.tried)
	}
}

// late reports whether the deadline has passed or, when an attempt was made
// before, whether another one could not end before it. As long as nothing has
// run, the request can be refused truly. A stream that the caller is receiving
// goes on as long as there is time at all: the alternative is to cut it.
func (c *Core) late(now time.Time, q *request) bool {
	if q.attempts == 0 || q.relayed {
		return !now.Before(q.Deadline)
	}
	latency := c.options.Gate.Latency(q.plan[q.step])
	if latency == 0 {
		latency = unknownLatency
	}
	return now.Add(retryMargin + latency).After(q.Deadline)
}

// choose returns the best spot for the current version, if there is any. A
// version may have been withdrawn, or the account's right to it taken away,
// since the request was planned.
func (c *Core) choose(now time.Time, q *request) (fescuelatch.Spot, bool) {
	if !c.usable(q) {
		return fescuelatch.Spot{}, false
	}
	spots := c.spots(now, q)
	if len(spots) == 0 {
		return fescuelatch.Spot{}, false
	}
	i := c.options.Placement.Choose(now, q.Request, spots, c.options.Random.Float64())
	if i < 0 {
		return fescuelatch.Spot{}, false
	}
	return spots[i], true
}

// usable reports whether the request may still run on the current version,
// or use its plain service.
func (c *Core) usable(q *request) bool {
	return q.movesOn() || c.view.MayRun(q.Request, q.plan[q.step])
}

func (c *Core) noSpot(q *request) Reason {
	if len(q.tried) > 0 {
		return ReasonNoCapacity
	}
	return ReasonNoEndpoint
}

// spots returns where an attempt on the current version can be made, in a
// fixed order: own endpoints, then other daemons by identifier. Places that
// were tried for this version are left out.
func (c *Core) spots(now time.Time, q *request) []fescuelatch.Spot {
	s := q.service()
	var spots []fescuelatch.Spot
	if c.serves[s] > 0 && (c.options.Direct || !q.tried[c.options.VM]) {
		w := c.ownSpare(now, s)
		spots = append(spots, fescuelatch.Spot{
			VM: c.options.VM, Domain: c.options.Domain, Own: true, Local: true, Spare: w.Free - w.Queued, Seen: now,
		})
	}
	if q.Forwarded || c.options.Direct {
		return spots
	}
	for _, p := range c.peers.sorted {
		w, ok := p.spares[s]
		if !ok || q.tried[p.vm] || p.out {
			continue
		}
		spots = append(spots, fescuelatch.Spot{
			VM: p.vm, Domain: p.domain, Local: p.domain == c.options.Domain,
			Spare: c.returning(now, p.domain, w.Free-w.Queued), Seen: p.at, Sent: w.sent,
		})
	}
	return spots
}

func (c *Core) attempt(now time.Time, q *request, s fescuelatch.Spot) {
	c.newAttempt(q, s.VM)
	if s.VM != c.options.VM {
		c.peers.sent(s.VM, q.service())
		c.fire(q, chart.EventForward)
		c.emit(Forward{Request: q.ID, Attempt: q.current.id, VM: s.VM, Version: q.current.version})
		return
	}
	w := c.work(q)
	w.Endpoint = s.Endpoint
	c.admit(now, []fescuelatch.Admission{c.gate().Offer(now, w)})
}

// work returns the current attempt of q as the gate takes it.
func (c *Core) work(q *request) fescuelatch.Work {
	return fescuelatch.Work{
		Attempt: q.current.id, Request: q.Request, Version: q.current.version,
		Share: q.share, Avoid: q.avoid,
	}
}

// admit carries out the gate's decisions.
func (c *Core) admit(now time.Time, as []fescuelatch.Admission) {
	for _, a := range as {
		q, ok := c.attempts[a.Attempt]
		if !ok || q.current.id != a.Attempt {
			c.returnSlot(now, a)
			continue
		}
		switch a.Verdict {
		case fescuelatch.AdmissionQueue:
			q.current.queued = true
			c.fire(q, chart.EventQueue)
		case fescuelatch.AdmissionStart:
			q.current.queued = false
			q.current.endpoint = a.Endpoint
			c.fire(q, chart.EventDispatch)
			c.emit(Start{Request: q.ID, Attempt: a.Attempt, Endpoint: a.Endpoint, Version: q.current.version, Patience: c.patience(q)})
		case fescuelatch.AdmissionRefuse:
			if q.current.queued {
				q.current.queued = false
				c.fire(q, chart.EventPlan)
			}
			q.retryAfter = max(q.retryAfter, a.RetryAfter)
			c.notStarted(now, q, fescuelatch.AttemptResult{
				Attempt: a.Attempt, Status: fescuelatch.AttemptNotStarted, RetryAfter: a.RetryAfter, Overloaded: true,
			})
		}
	}
}

// returnSlot gives a slot back that was admitted to an attempt whose request
// has ended.
func (c *Core) returnSlot(now time.Time, a fescuelatch.Admission) {
	if a.Verdict != fescuelatch.AdmissionStart {
		return
	}
	r := fescuelatch.AttemptResult{Attempt: a.Attempt, Endpoint: a.Endpoint, Status: fescuelatch.AttemptCancelled}
	c.admit(now, c.gate().End(now, r))
}
