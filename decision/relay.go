package decision

import (
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file handles the beginning of an endpoint's answer: the answer is
// relayed, or abandoned for one of a better version while the caller has
// received none of it.

func (c *Core) opened(now time.Time, e Opened) {
	q, ok := c.requests[e.Request]
	if !ok {
		return
	}
	switch e.Attempt {
	case q.current.id:
		c.currentAnswers(now, q)
	case q.hedge.id:
		c.fire(q, hedgeEvent(q))
		c.promoteHedge(q)
	default:
		return
	}
	c.gate().FirstToken(now, e.Attempt)
	kept := KeptSent
	if !q.relayed {
		if kept = c.keptReason(now, q, e); kept == "" {
			kept = c.escalate(now, q)
		}
		if kept == "" {
			return
		}
	}
	q.current.firstToken = true
	q.relayed = true
	c.emit(Relay{Request: q.ID, Attempt: q.current.id, Kept: kept})
}

// keptReason returns why to keep the current answer, or "" if the next version
// of the plan should answer.
func (c *Core) keptReason(now time.Time, q *request, e Opened) KeptReason {
	switch {
	case c.options.Escalation == nil || !e.HasConfidence || q.step+1 >= len(q.plan):
		return KeptLast
	case !q.Idempotent:
		return KeptSingleRun
	case q.attempts >= q.attemptLimit():
		return KeptAttempts
	case !c.mayCrashAnother(now, q):
		return KeptPrompt
	}
	from, to := q.plan[q.step], q.plan[q.step+1]
	latency := c.options.Gate.Latency(to)
	if !c.view.MayRun(q.Request, to) || !now.Add(retryMargin+latency).Before(q.Deadline) {
		return KeptDeadline
	}
	if !c.options.Escalation.Escalate(now, q.Request, fescuelatch.Escalation{
		From: from, To: to, Confidence: e.Confidence, Latency: latency,
		Budget: c.options.Retries.Remaining(now, q.Request, fescuelatch.RetryEscalation),
	}) {
		return KeptConfidence
	}
	return ""
}

// hedgeEvent returns the event of a hedge that replaces the current attempt.
func hedgeEvent(q *request) chart.Event {
	if q.held {
		return chart.EventEscalate
	}
	return chart.EventRetry
}

// escalate holds the current answer back for one of the next version, if that can
// start at once and the budget allows it. Otherwise it returns why the current one
// is relayed.
func (c *Core) escalate(now time.Time, q *request) KeptReason {
	if !c.options.Retries.Spend(now, q.Request, fescuelatch.RetryEscalation) {
		return KeptBudget
	}
	q.step++
	if !c.startHedge(now, q, fescuelatch.Target{VM: c.options.VM}) {
		q.step--
		return KeptCapacity
	}
	q.held = true
	return ""
}

// failed retries a request that an endpoint answered with a failure of its
// own, or passes that answer on.
func (c *Core) failed(now time.Time, q *request) {
	if q.relayed {
		// The caller already has part of another answer.
		c.broken(now, q)
		return
	}
	if q.best.id == "" {
		q.best = q.current
	}
	if q.hedge.id == "" && (!q.Idempotent || q.attempts >= q.attemptLimit() || c.tooLate(now, q) || !c.options.Retries.Spend(now, q.Request, fescuelatch.RetryFailure)) {
		c.accept(q, q.current, false)
		return
	}
	c.retry(now, q)
}

// remote reports whether an attempt is made through another daemon.
func (c *Core) remote(a attempt) bool { return a.vm != "" && a.vm != c.options.VM }

// attemptLimit returns the maximum number of counted attempts of q.
func (q *request) attemptLimit() int {
	if q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return maxAttempts
}
