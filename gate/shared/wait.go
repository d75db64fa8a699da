package shared

import (
	"cmp"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines work that waits for room, and its refusal.

// waiter is work that waits until a time.
type waiter struct {
	work  fescuelatch.Work
	until time.Time
}

// queue holds work by rank, then in order of arrival.
type queue struct {
	limit   int
	waiters []waiter
}

// push adds w for at most patience. It reports whether there was room; an
// account may only take half of what room is left, so that there is always
// some for the others.
func (q *queue) push(now time.Time, w fescuelatch.Work, patience time.Duration) bool {
	own := 0
	for _, o := range q.waiters {
		if o.work.Request.Account == w.Request.Account {
			own++
		}
	}
	if patience <= 0 || own >= (q.limit-len(q.waiters)+1)/2 {
		return false
	}
	i, _ := slices.BinarySearchFunc(q.waiters, w.Request.Rank+1, func(o waiter, rank int) int {
		return cmp.Compare(o.work.Request.Rank, rank)
	})
	q.waiters = slices.Insert(q.waiters, i, waiter{w, now.Add(patience)})
	return true
}

func (q *queue) remove(id fescuelatch.AttemptID) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool { return w.work.Attempt == id })
}

// take removes the works that accept takes, in order.
func (q *queue) take(accept func(fescuelatch.Work) bool) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool { return accept(w.work) })
}

// overdue removes the works that have waited for too long.
func (q *queue) overdue(now time.Time) []fescuelatch.Work {
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

// patience returns how long w may wait here.
func (g *Gate) patience(w fescuelatch.Work) time.Duration {
	if w.Request.TargetLatency == 0 {
		return defaultWait
	}
	return time.Duration(waitShare * float64(w.Request.TargetLatency))
}

// reachable reports whether any endpoint could take w by a time at all.
func (g *Gate) reachable(by time.Time, w fescuelatch.Work) bool {
	return slices.ContainsFunc(g.serving[w.Version], func(p *place) bool {
		return !p.out() && !p.paused(by) && !slices.Contains(w.Avoid, p.owned.Endpoint.ID)
	})
}

// comeBack estimates when there will be room for w: when the work that is
// ahead of it has ended, shared by the endpoints, and one of these wants work.
// Callers are spread, so that they do not come back at once.
func (g *Gate) comeBack(now time.Time, w fescuelatch.Work) time.Duration {
	busy, slots := 0, 0
	pause := maxRetryAfter
	for _, p := range g.serving[w.Version] {
		if !p.out() {
			busy += p.busy(now)
			slots += p.slots()
			pause = min(pause, max(0, p.advice.paused.Sub(now)))
		}
	}
	d := maxRetryAfter
	if slots > 0 {
		over := max(0, float64(busy+len(g.waiting.waiters)-slots)/float64(slots))
		d = time.Duration((0.25 + over) * float64(g.paceOf(w.Version).whole()))
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
