package decision

import (
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines hedges. A hedge is an attempt beside the current one, whose endpoint is
// unresponsive, or whose answer is to be replaced by one of a better version. The current
// attempt goes on until the endpoint of the hedge has begun its answer: that endpoint may
// refuse the request, and an unresponsive one may only have paused. The attempt that answers
// first becomes, or remains, the current one, and the other is abandoned. An answer that is to
// be replaced is held back, and relayed if no endpoint of the better version answers.

// HedgeReason is the reason for a hedge.
type HedgeReason string

// Reasons for a hedge; empty for an attempt that is none.
const (
	HedgeSilence    HedgeReason = "silence"
	HedgeEscalation HedgeReason = "escalation"
)

// admissionChecker is a gate that can predict whether work would start at once.
type admissionChecker interface {
	Admits(now time.Time, w fescuelatch.Work) bool
}

// activityObserver is a gate that tracks which endpoints are unresponsive.
type activityObserver interface {
	// Inactive records that the endpoint of a started attempt is unresponsive.
	Inactive(now time.Time, a fescuelatch.AttemptID)
	// Resumed records that the endpoint has gone on with its answer.
	Resumed(now time.Time, a fescuelatch.AttemptID)
}

// MayHedge reports whether a request can be sent to another endpoint now, as an attempt at it
// is unresponsive.
func (c *Core) MayHedge(now time.Time, id fescuelatch.RequestID, attempt fescuelatch.AttemptID) bool {
	c.sparesCached = false
	q, ok := c.requests[id]
	if !ok || q.unresponsive(attempt) == nil || !c.options.Retries.Allows(now, q.Request, fescuelatch.RetryFailure) {
		return false
	}
	_, ok = c.hedgeTarget(now, q, q.unresponsive(attempt))
	return ok
}

// IsCurrent reports whether an attempt is the current one of its request.
func (c *Core) IsCurrent(id fescuelatch.RequestID, attempt fescuelatch.AttemptID) bool {
	q, ok := c.requests[id]
	return ok && q.current.id == attempt
}

// unresponsive returns the attempt that a hedge may replace, if it has the given identifier:
// the hedge in progress, or the current attempt if there is none. Otherwise it returns nil.
func (q *request) unresponsive(id fescuelatch.AttemptID) *attempt {
	a := &q.current
	if q.hedge.id != "" {
		a = &q.hedge
	}
	if a.id != id {
		return nil
	}
	return a
}

func (c *Core) unresponsive(now time.Time, e Unresponsive) {
	q, ok := c.requests[e.Request]
	if !ok {
		return
	}
	a := q.unresponsive(e.Result.Attempt)
	if a == nil {
		return
	}
	c.countEnd(q, a, e.Result)
	target, ok := c.hedgeTarget(now, q, a)
	if !ok || !c.options.Retries.Spend(now, q.Request, fescuelatch.RetryFailure) {
		if q.held {
			c.dropHedge(q)
			c.relayHeld(q)
		}
		return
	}
	if o, ok := c.options.Gate.(activityObserver); ok {
		o.Inactive(now, a.id)
	}
	c.dropHedge(q)
	c.startHedge(now, q, target)
	c.relayHeld(q)
}

// hedgeTarget returns where q may be sent now besides the endpoint of a, apart from the retry
// budget.
func (c *Core) hedgeTarget(now time.Time, q *request, a *attempt) (fescuelatch.Target, bool) {
	if !c.mayRepeat(q) || !c.mayCrashAnother(now, q) || c.tooLate(now, q) {
		return fescuelatch.Target{}, false
	}
	if _, blocked := c.blocked(now, q); blocked {
		return fescuelatch.Target{}, false
	}
	c.exclude(q, *a)
	target, ok := c.chooseTarget(now, q)
	return target, ok && (target.VM != c.options.VM || c.canStart(now, q))
}

// canStart reports whether an endpoint that is not excluded has capacity for q now; it assumes
// so if the gate cannot tell. Queued work does not count, as it may be refused later.
func (c *Core) canStart(now time.Time, q *request) bool {
	g, ok := c.options.Gate.(admissionChecker)
	return !ok || g.Admits(now, c.work(q, attempt{id: q.current.id, version: q.plan[q.step]}))
}

// startHedge starts a hedge of q on the version of its step, and reports whether an endpoint
// takes it.
func (c *Core) startHedge(now time.Time, q *request, target fescuelatch.Target) bool {
	reason := HedgeSilence
	if q.step != q.current.step {
		reason = HedgeEscalation
	}
	h := c.nextAttempt(q, target.VM)
	if target.VM != c.options.VM {
		c.peers.recordSent(target.VM, q.serviceKey())
		q.hedge = h
		c.emit(Forward{
			Request: q.ID, Attempt: h.id, VM: target.VM, Version: h.version, Attempts: h.allowed, Timeouts: c.inactivityTimeouts(q, reason).doubled(), Hedge: reason,
		})
		return true
	}
	w := c.work(q, h)
	w.Endpoint = target.Endpoint
	a := c.gate().Offer(now, w)
	if a.Verdict != fescuelatch.AdmissionStart {
		q.attempts -= h.allowed
		if a.Verdict == fescuelatch.AdmissionQueue {
			c.applyAdmissions(now, c.gate().End(now, fescuelatch.AttemptResult{Attempt: h.id, Version: h.version, Status: fescuelatch.AttemptCancelled}))
		}
		return false
	}
	h.endpoint = a.Endpoint
	q.hedge = h
	c.emit(Start{Request: q.ID, Attempt: h.id, Endpoint: h.endpoint, Version: h.version, Timeouts: c.inactivityTimeouts(q, reason), Hedge: reason})
	return true
}

// relayHeld relays the answer that is held back for a better one, if there is one and no
// hedge is in progress.
func (c *Core) relayHeld(q *request) {
	if !q.held || q.hedge.id != "" {
		return
	}
	q.held = false
	q.step = q.current.step
	q.current.firstToken = true
	q.relayed = true
	c.emit(Relay{Request: q.ID, Attempt: q.current.id, Kept: KeptCapacity})
}

// dropHedge abandons the hedge of q, if there is one.
func (c *Core) dropHedge(q *request) {
	if q.hedge.id == "" {
		return
	}
	c.emit(Abandon{Request: q.ID, Attempt: q.hedge.id})
	q.hedge = attempt{}
	c.recordRun(q)
}

// recordRun records that an attempt beside the current one may have run.
func (c *Core) recordRun(q *request) {
	if !q.lifecycle.Can(chart.EventRetry) {
		return
	}
	c.fire(q, chart.EventRetry)
	c.fireStarted(q)
}

// fireStarted applies the event that the current attempt of q has been started.
func (c *Core) fireStarted(q *request) {
	if c.remote(q.current) {
		c.fire(q, chart.EventForward)
	} else {
		c.fire(q, chart.EventDispatch)
	}
}

// promoteHedge makes the hedge of q its current attempt, after the event that ended the
// attempt so far. It reports whether there is a hedge.
func (c *Core) promoteHedge(q *request) bool {
	if q.hedge.id == "" {
		return false
	}
	if !q.held {
		c.exclude(q, q.current)
	}
	c.emit(Abandon{Request: q.ID, Attempt: q.current.id, Replaced: !q.held})
	delete(c.attempts, q.current.id)
	q.current, q.hedge, q.held = q.hedge, attempt{}, false
	q.step = q.current.step
	c.attempts[q.current.id] = q
	c.fireStarted(q)
	return true
}

// resumed abandons the hedge of a request whose endpoint has gone on with its answer.
func (c *Core) resumed(now time.Time, e Resumed) {
	q, ok := c.requests[e.Request]
	if !ok || q.current.id != e.Attempt {
		return
	}
	c.currentAnswers(now, q)
}

// currentAnswers keeps the current attempt of q in place of its hedge.
func (c *Core) currentAnswers(now time.Time, q *request) {
	if q.hedge.id == "" {
		return
	}
	c.dropHedge(q)
	if o, ok := c.options.Gate.(activityObserver); ok {
		o.Resumed(now, q.current.id)
	}
}

// hedgeEnded handles the end of a hedge that has not answered: another endpoint may take the
// request, and otherwise the current attempt goes on alone.
func (c *Core) hedgeEnded(now time.Time, q *request, r fescuelatch.AttemptResult) {
	defer c.relayHeld(q)
	h := q.hedge
	q.hedge = attempt{}
	c.exclude(q, h)
	c.countEnd(q, &h, r)
	switch r.Status {
	case fescuelatch.AttemptNotStarted:
		q.attempts -= h.unused(r)
		if r.Unsent {
			q.unsent++
		}
		if q.unsent > q.maxUnsent() {
			return
		}
	case fescuelatch.AttemptFailed:
		c.recordRun(q)
		if q.best.id == "" && !q.relayed {
			q.best = h
		}
	case fescuelatch.AttemptBroken:
		c.recordRun(q)
	default:
		c.recordRun(q)
		return
	}
	if target, ok := c.hedgeTarget(now, q, &h); ok && (r.Unsent || c.options.Retries.Spend(now, q.Request, fescuelatch.RetryFailure)) {
		c.startHedge(now, q, target)
	}
}

// exclude excludes the target of an attempt from further attempts of q.
func (c *Core) exclude(q *request, a attempt) {
	if !c.options.Direct || c.remote(a) {
		q.tried[a.vm] = true
		return
	}
	if a.endpoint != "" && !slices.Contains(q.avoid, a.endpoint) {
		q.avoid = append(q.avoid, a.endpoint)
	}
}
