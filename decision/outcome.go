package decision

import (
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file handles the end of an attempt and the rating of its answer.

func (c *Core) firstToken(now time.Time, e FirstToken) {
	q, ok := c.requests[e.Request]
	if !ok || q.current.id != e.Attempt {
		return
	}
	q.current.firstToken = true
	if q.current.vm == c.options.VM {
		c.gate().FirstToken(now, e.Attempt)
	}
}

func (c *Core) ended(now time.Time, e Ended) {
	r := e.Result
	c.options.Quality.ObserveAttempt(now, r)
	q, ok := c.requests[e.Request]
	if r.Endpoint != "" {
		// The freed slot may admit other attempts.
		defer func(as []fescuelatch.Admission) { c.applyAdmissions(now, as) }(c.gate().End(now, r))
	}
	switch {
	case !ok:
		return
	case q.hedge.id == r.Attempt:
		c.hedgeEnded(now, q, r)
		return
	case q.current.id != r.Attempt:
		return
	}
	if !r.Unsent {
		q.unsent = 0
	}
	switch r.Status {
	case fescuelatch.AttemptAnswered:
		c.answered(now, q)
	case fescuelatch.AttemptNotStarted:
		if !c.options.Direct || c.remote(q.current) {
			// The delay of a direct attempt concerns a single endpoint and is
			// applied by the gate.
			q.retryAfter = max(q.retryAfter, r.RetryAfter)
		}
		q.platformAway = q.platformAway || r.PlatformUnavailable
		c.fire(q, chart.EventNotStarted)
		c.notStarted(now, q, r)
	case fescuelatch.AttemptExpired:
		c.expired(q)
	case fescuelatch.AttemptFailed:
		q.final = q.final || r.Final
		if r.Relayed {
			c.accept(q, q.current, false)
			return
		}
		c.failed(now, q)
	case fescuelatch.AttemptCancelled:
		c.end(q, chart.EventCancel)
		c.emit(Drop{Request: q.ID})
	default:
		c.countEnd(q, &q.current, r)
		q.final = q.final || r.Final
		c.broken(now, q)
	}
}

// countEnd counts an attempt during which the endpoint's process has ended, once.
func (c *Core) countEnd(q *request, a *attempt, r fescuelatch.AttemptResult) {
	if a.ended || !r.EndpointEnded && !r.Crashed {
		return
	}
	a.ended = true
	if r.EndpointEnded && c.options.Direct && q.sequence < maxSequence {
		q.attempts--
	}
	if r.Crashed {
		q.crashes++
	}
	if r.EndpointEnded && !r.Lasted {
		q.ended++
	}
}

// answered accepts an answer, or requests a rating if a later version of the
// plan could answer better and the request may run again.
func (c *Core) answered(now time.Time, q *request) {
	left := q.Deadline.Sub(now)
	if !q.Idempotent || q.Streamed || q.relayed || q.step+1 >= len(q.plan) || left < 2*ratingTimeout {
		c.accept(q, q.current, c.sampled(now, q))
		return
	}
	c.options.Sampler.Spend(now)
	c.emit(Rate{Request: q.ID, Attempt: q.current.id, Version: q.current.version, Timeout: ratingTimeout})
}

// sampled reports whether the accepted answer of q is rated for learning.
func (c *Core) sampled(now time.Time, q *request) bool {
	if q.IsService() || q.Forwarded || q.step > 0 {
		return false
	}
	v := q.current.version
	k := fescuelatch.VersionEvidence{
		Estimate: c.options.Quality.Estimate(now, v),
		Health:   c.options.Quality.Health(now, v),
		Doubt:    c.options.Quality.Doubt(now, v),
	}
	return c.options.Sampler.Sample(now, k, c.options.Random.Float64())
}

func (c *Core) rated(now time.Time, e Rated) {
	q, ok := c.requests[e.Request]
	// Later steps of a plan get the requests that an earlier version failed
	// on. Their ratings would make good versions look bad.
	if e.Rated && (!ok || q.step == 0) {
		c.recordRating(now, e.Version, e.Score)
	}
	if !ok || q.current.id != e.Attempt {
		return
	}
	if !e.Rated || e.Score >= goodScore || q.step+1 >= len(q.plan) {
		c.accept(q, q.current, false)
		return
	}
	if q.best.id == "" || e.Score > q.bestScore {
		q.best = q.current
		q.bestScore = e.Score
	}
	q.step++
	clear(q.tried)
	c.fire(q, chart.EventEscalate)
	c.place(now, q)
}

// notStarted retries the request on another target, or refuses it.
func (c *Core) notStarted(now time.Time, q *request, r fescuelatch.AttemptResult) {
	if c.promoteHedge(q) {
		return
	}
	if r.Final {
		c.refuse(q, ReasonRejected, 0)
		return
	}
	if q.Forwarded || (c.options.Direct && r.Endpoint == "" && !c.remote(q.current)) {
		c.refuse(q, refusalReason(r), r.RetryAfter)
		return
	}
	c.exclude(q, q.current)
	if !c.allowRetry(now, q, r) {
		c.refuse(q, refusalReason(r), defaultRetryAfter)
		return
	}
	c.place(now, q)
}

// allowRetry reports whether a request that was not started may be retried. A
// direct attempt that sent nothing reached no endpoint, so it neither counts
// nor uses the retry budget.
func (c *Core) allowRetry(now time.Time, q *request, r fescuelatch.AttemptResult) bool {
	if c.options.Direct {
		q.attempts -= q.current.unused(r)
	}
	if c.options.Direct && r.Unsent {
		q.unsent++
		return q.unsent <= q.maxUnsent()
	}
	return q.attempts < q.attemptLimit() && c.options.Retries.Spend(now, q.Request, fescuelatch.RetryFailure)
}

// unused returns how many endpoints an attempt that was not started leaves to others. One that
// was sent counts.
func (a *attempt) unused(r fescuelatch.AttemptResult) int {
	if r.Unsent {
		return a.allowed
	}
	return a.allowed - 1
}

// maxUnsent returns how many attempts of q in a row may fail to send anything.
func (q *request) maxUnsent() int {
	if q.relayed {
		return maxUnsentInStream
	}
	return maxUnsent
}

func refusalReason(r fescuelatch.AttemptResult) Reason {
	if r.Overloaded {
		return ReasonNoCapacity
	}
	return ReasonNotStarted
}

// expired ends a request whose deadline passed during an attempt: with the
// best answer so far, or with an unknown outcome.
func (c *Core) expired(q *request) {
	if q.best.id != "" {
		c.accept(q, q.best, false)
		return
	}
	c.fail(q, ReasonDeadline)
}

// mayRepeat reports whether q may be retried after an attempt that may have
// run, by its kind and its attempts so far.
func (c *Core) mayRepeat(q *request) bool {
	received := q.relayed || q.Streamed && q.relayedAny()
	return q.Idempotent && (!received || q.Resumable) && !q.final && !q.Forwarded && q.attempts < q.attemptLimit()
}

// broken retries an idempotent request, unless the caller has received a part of an
// answer that cannot be resumed.
func (c *Core) broken(now time.Time, q *request) {
	switch {
	case !c.mayCrashAnother(now, q):
		c.dropHedge(q)
		c.endBroken(q)
	case q.hedge.id == "" && (!c.mayRepeat(q) || !c.options.Retries.Spend(now, q.Request, fescuelatch.RetryFailure)):
		c.endBroken(q)
	default:
		c.retry(now, q)
	}
}

// endBroken ends a request without another attempt after one that may have run.
func (c *Core) endBroken(q *request) {
	if q.best.id != "" {
		c.accept(q, q.best, false)
		return
	}
	c.fail(q, ReasonBroken)
}

// retry goes on with the hedge of q, or makes another attempt.
func (c *Core) retry(now time.Time, q *request) {
	c.fire(q, chart.EventRetry)
	if c.promoteHedge(q) {
		return
	}
	c.exclude(q, q.current)
	c.place(now, q)
}
