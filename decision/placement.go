package decision

import (
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the placement of attempts.

// spareOf returns the number of attempts on s that could start at once, minus
// the waiting ones.
func (c *Core) spareOf(now time.Time, s serviceKey) int {
	own := c.ownSpare(now, s)
	return own.Free - own.Queued + c.peers.free[s]
}

// ownSpare returns the free capacity of the owned endpoints for s. The gate
// computes it by a pass over all endpoints and versions, and each request reads
// it once per version, so it is cached until the gate changes or the event ends.
func (c *Core) ownSpare(now time.Time, s serviceKey) fescuelatch.Spare {
	if c.ownedCount[s] == 0 {
		return fescuelatch.Spare{}
	}
	if !c.sparesCached {
		c.sparesCached = true
		clear(c.ownSpares)
		for _, w := range c.options.Gate.Spare(now) {
			c.ownSpares[serviceKeyOf(w)] = w
		}
	}
	return c.ownSpares[s]
}

// gate returns the gate for a call that may change its free capacity.
func (c *Core) gate() fescuelatch.Gate {
	c.sparesCached = false
	return c.options.Gate
}

// place makes the next attempt of q at the best target, or ends the request.
// Versions without a target are skipped.
func (c *Core) place(now time.Time, q *request) {
	if c.tooLate(now, q) {
		c.refuse(q, ReasonDeadline, defaultRetryAfter)
		return
	}
	if after, blocked := c.blocked(now, q); blocked {
		c.refuse(q, ReasonBlocked, after)
		return
	}
	for {
		if target, ok := c.chooseTarget(now, q); ok {
			c.attempt(now, q, target)
			return
		}
		if q.step+1 >= len(q.plan) {
			c.refuse(q, c.noTargetReason(q), defaultRetryAfter)
			return
		}
		q.step++
		clear(q.tried)
	}
}

// tooLate reports whether the deadline has passed or, after an earlier attempt,
// whether another one could not end in time. A request that has not run can
// then still be refused as such. A stream that the caller is receiving
// continues until the deadline, because the alternative is to cut it.
func (c *Core) tooLate(now time.Time, q *request) bool {
	if q.attempts == 0 || q.relayed {
		return !now.Before(q.Deadline)
	}
	latency := c.options.Gate.Latency(q.plan[q.step])
	if latency == 0 {
		latency = unknownLatency
	}
	return now.Add(retryMargin + latency).After(q.Deadline)
}

// chooseTarget returns the best target for the current version, if any. Since
// the request was planned, the version may have been withdrawn or the account
// may have lost the right to use it.
func (c *Core) chooseTarget(now time.Time, q *request) (fescuelatch.Target, bool) {
	if !c.usable(q) {
		return fescuelatch.Target{}, false
	}
	targets := c.targets(now, q)
	c.trace.place(q.plan[q.step], targets)
	if len(targets) == 0 {
		return fescuelatch.Target{}, false
	}
	i := c.options.Placement.Choose(now, q.Request, targets, c.options.Random.Float64())
	if i < 0 {
		return fescuelatch.Target{}, false
	}
	return targets[i], true
}

// usable reports whether the request may still run on the current version,
// or use its plain service.
func (c *Core) usable(q *request) bool { return c.view.MayRun(q.Request, q.plan[q.step]) }

func (c *Core) noTargetReason(q *request) Reason {
	if len(q.tried) > 0 {
		return ReasonNoCapacity
	}
	return ReasonNoEndpoint
}

// targets returns the targets for an attempt on the current version in a fixed
// order: owned endpoints, then other daemons by identifier. Targets already
// tried for this version are omitted.
func (c *Core) targets(now time.Time, q *request) []fescuelatch.Target {
	s := q.serviceKey()
	var targets []fescuelatch.Target
	w := c.ownSpare(now, s)
	if c.ownedCount[s] > 0 && !c.delegates(q, w) && (c.options.Direct || !q.tried[c.options.VM]) {
		targets = append(targets, fescuelatch.Target{
			VM: c.options.VM, Domain: c.options.Domain, Own: true, Local: true, Spare: w.Free - w.Queued, ReportedAt: now,
		})
	}
	if q.Forwarded || q.Delegated {
		return targets
	}
	for _, p := range c.peers.sorted {
		w, ok := p.spares[s]
		if !ok || q.tried[p.vm] || p.out {
			continue
		}
		targets = append(targets, fescuelatch.Target{
			VM: p.vm, Domain: p.domain, Local: p.domain == c.options.Domain,
			Spare: c.rampedSpare(now, p.domain, w.Free-w.Queued), ReportedAt: p.updatedAt, Sent: w.sent,
		})
	}
	return targets
}

// delegates reports whether q must be made through another daemon: own is the capacity of
// the endpoints that this daemon reaches itself.
func (c *Core) delegates(q *request, own fescuelatch.Spare) bool {
	if !c.options.Direct || q.Delegated || own.Slots > 0 {
		return false
	}
	return slices.ContainsFunc(c.peers.sorted, func(p *peer) bool { return c.mayDelegate(q, p) })
}

// mayDelegate reports whether a daemon may make the next attempt of q.
func (c *Core) mayDelegate(q *request, p *peer) bool {
	_, ok := p.spares[q.serviceKey()]
	return ok && !q.tried[p.vm] && !p.out
}

func (c *Core) attempt(now time.Time, q *request, s fescuelatch.Target) {
	c.newAttempt(q, s.VM)
	if s.VM != c.options.VM {
		c.peers.recordSent(s.VM, q.serviceKey())
		c.fire(q, chart.EventForward)
		c.emit(Forward{
			Request: q.ID, Attempt: q.current.id, VM: s.VM, Version: q.current.version, Attempts: q.current.allowed,
			Timeouts: c.inactivityTimeouts(q, "").doubled(),
		})
		return
	}
	w := c.work(q, q.current)
	w.Endpoint = s.Endpoint
	c.applyAdmissions(now, []fescuelatch.Admission{c.gate().Offer(now, w)})
}

// work returns an attempt of q in the form that the gate expects.
func (c *Core) work(q *request, a attempt) fescuelatch.Work {
	return fescuelatch.Work{
		Attempt: a.id, Request: q.Request, Version: a.version,
		Share: q.share, Avoid: q.avoid,
	}
}

// applyAdmissions carries out the gate's decisions.
func (c *Core) applyAdmissions(now time.Time, as []fescuelatch.Admission) {
	for _, a := range as {
		q, ok := c.attempts[a.Attempt]
		if !ok || q.current.id != a.Attempt {
			c.releaseSlot(now, a)
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
			c.emit(Start{Request: q.ID, Attempt: a.Attempt, Endpoint: a.Endpoint, Version: q.current.version, Timeouts: c.inactivityTimeouts(q, "")})
		case fescuelatch.AdmissionRefuse:
			if q.current.queued {
				q.current.queued = false
				c.fire(q, chart.EventPlan)
			}
			q.retryAfter, q.cause = max(q.retryAfter, a.RetryAfter), a.Cause
			c.notStarted(now, q, fescuelatch.AttemptResult{
				Attempt: a.Attempt, Status: fescuelatch.AttemptNotStarted, RetryAfter: a.RetryAfter, Overloaded: true,
			})
		}
	}
}

// releaseSlot releases a slot granted to an attempt that is no longer current.
func (c *Core) releaseSlot(now time.Time, a fescuelatch.Admission) {
	if a.Verdict != fescuelatch.AdmissionStart {
		return
	}
	r := fescuelatch.AttemptResult{Attempt: a.Attempt, Endpoint: a.Endpoint, Status: fescuelatch.AttemptCancelled}
	c.applyAdmissions(now, c.gate().End(now, r))
}
