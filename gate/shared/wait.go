package shared

import (
	"cmp"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the queue of work that waits for an endpoint, and refusals.

// waiter is queued work with the end of its wait.
type waiter struct {
	work  fescuelatch.Work
	until time.Time
}

// queue holds work ordered by rank, then by arrival.
type queue struct {
	limit   int
	waiters []waiter
}

// push adds w for at most maxWait. It reports whether there was room; an account
// may only take half of the remaining room, so that some is always left for the
// others.
func (q *queue) push(now time.Time, w fescuelatch.Work, maxWait time.Duration) bool {
	own := 0
	for _, o := range q.waiters {
		if o.work.Request.Account == w.Request.Account {
			own++
		}
	}
	if maxWait <= 0 || own >= (q.limit-len(q.waiters)+1)/2 {
		return false
	}
	i, _ := slices.BinarySearchFunc(q.waiters, w.Request.Rank+1, func(o waiter, rank int) int {
		return cmp.Compare(o.work.Request.Rank, rank)
	})
	q.waiters = slices.Insert(q.waiters, i, waiter{w, now.Add(maxWait)})
	return true
}

func (q *queue) remove(id fescuelatch.AttemptID) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool { return w.work.Attempt == id })
}

// removeAccepted removes the work for which accept returns true, in order.
func (q *queue) removeAccepted(accept func(fescuelatch.Work) bool) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool { return accept(w.work) })
}

// removeOverdue removes and returns the work whose wait has ended.
func (q *queue) removeOverdue(now time.Time) []fescuelatch.Work {
	var late []fescuelatch.Work
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool {
		if now.Before(w.until) {
			return false
		}
		late = append(late, w.work)
		return true
	})
	return late
}

// maxWait returns how long w may wait in the queue.
func (g *Gate) maxWait(w fescuelatch.Work) time.Duration {
	if w.Request.TargetLatency == 0 {
		return defaultMaxWait
	}
	return time.Duration(waitShare * float64(w.Request.TargetLatency))
}

// canServe reports whether any endpoint may take w by the given time.
func (g *Gate) canServe(by time.Time, w fescuelatch.Work) bool {
	return slices.ContainsFunc(g.serving[w.Version], func(e *endpointLoad) bool {
		return !e.out() && !e.paused(by) && e.mayBePermitted(by) && !slices.Contains(w.Avoid, e.owned.Endpoint.ID)
	})
}

// retryAfter estimates when there will be room for w: when the endpoints have
// finished the work ahead of it and one of them is not paused and may have a permit.
// The time is randomized, so that callers do not retry at once.
func (g *Gate) retryAfter(now time.Time, w fescuelatch.Work) time.Duration {
	busy, slots := 0, 0
	pause := maxRetryAfter
	for _, e := range g.serving[w.Version] {
		if !e.out() {
			busy += e.busy(now)
			slots += e.slots()
			pause = min(pause, max(0, e.hint.paused.Sub(now), e.permitWait(now)))
		}
	}
	d := maxRetryAfter
	if slots > 0 {
		over := max(0, float64(busy+len(g.waiting.waiters)-slots)/float64(slots))
		d = time.Duration((0.25 + over) * float64(g.latencyOf(w.Version).meanTotal()))
	}
	d = min(max(d, minRetryAfter, pause), maxRetryAfter)
	return time.Duration(float64(d) * (1 + retrySpread*g.random.Float64()))
}

func expired(now time.Time, w fescuelatch.Work) bool {
	return !w.Request.Deadline.IsZero() && !now.Before(w.Request.Deadline)
}

func refuse(w fescuelatch.Work, after time.Duration) fescuelatch.Admission {
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionRefuse, RetryAfter: after}
}
