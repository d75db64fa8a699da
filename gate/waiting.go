package gate

import (
	"time"

	"fescuelatch"
)

// This file defines how work is queued: whether it may wait, its expected wait,
// and when it starts or is refused.

// admit reports whether w may be queued, and its expected wait. The room in the
// queue for one account shrinks as the queue fills, so that some is always left
// for the others.
func (g *Adaptive) admit(now time.Time, t target, q *queue, w fescuelatch.Work) (time.Duration, bool) {
	wait := g.expectedWait(now, t, q, w)
	waiting := 0
	if f := q.flows[w.Request.Account]; f != nil {
		waiting = len(f.pending)
	}
	if waiting >= g.settings.QueueLimit-g.queued {
		return wait, false
	}
	return wait, !missesDeadline(now.Add(wait+g.requiredTime(t)), w)
}

// startMargin is the time before its deadline by which a queued attempt should
// have ended. It also lets a refusal arrive in time.
const startMargin = 250 * time.Millisecond

// requiredTime returns the minimum time to the deadline at which a queued attempt is
// started. One that misses its deadline is lost with an unknown outcome, whereas a
// queued one can still be refused.
func (g *Adaptive) requiredTime(t target) time.Duration {
	return g.latency.upperBound(t.version) + startMargin
}

// missesDeadline reports whether w would miss its deadline if it ended at end.
func missesDeadline(end time.Time, w fescuelatch.Work) bool {
	return !w.Request.Deadline.IsZero() && end.After(w.Request.Deadline)
}

// expectedWait estimates how long w would wait: until the first endpoint opens, then
// for its position in the queue.
func (g *Adaptive) expectedWait(now time.Time, t target, q *queue, w fescuelatch.Work) time.Duration {
	untilOpen := g.settings.ReportLag
	rate := 0.0 // starts per second
	for _, e := range g.serving[t] {
		if e.owned.Out || e.warmth.leaving() {
			continue
		}
		untilOpen = min(untilOpen, max(0, e.owned.After.Sub(now)))
		rate += e.startRate(now, g.expected(t))
	}
	return untilOpen + time.Duration(q.position(w)/rate*float64(time.Second))
}

// expected returns the expected time from the start to the end of an attempt.
func (g *Adaptive) expected(t target) time.Duration { return g.latency.total(t.version) }

// cancelQueued removes a queued attempt.
func (g *Adaptive) cancelQueued(a fescuelatch.AttemptID) {
	for _, t := range g.order {
		g.filter(g.queues[t], func(w fescuelatch.Work) bool { return w.Attempt == a })
	}
}

func (g *Adaptive) filter(q *queue, drop func(fescuelatch.Work) bool) {
	before := q.length
	q.filter(drop)
	g.queued -= before - q.length
}

// refuseOverdue refuses queued work that can no longer end in time, or that no
// endpoint serves any more.
func (g *Adaptive) refuseOverdue(now time.Time, as []fescuelatch.Admission, q *queue) []fescuelatch.Admission {
	var t target
	end := now.Add(g.requiredTime(t))
	g.filter(q, func(w fescuelatch.Work) bool {
		if o := targetOf(w); o != t {
			t, end = o, now.Add(g.requiredTime(o))
		}
		if !missesDeadline(end, w) && !expired(now, w) && g.serves(t, w) {
			return false
		}
		as = append(as, refuse(w.Attempt, minRetryAfter))
		return true
	})
	return as
}

// refuseForecastLate refuses queued work that would start too late even if all
// endpoints were warm now. The work behind it moves up.
func (g *Adaptive) refuseForecastLate(now time.Time, as []fescuelatch.Admission, q *queue) []fescuelatch.Admission {
	slots := q.warmSlots(now)
	if q.length == 0 || slots == 0 {
		return as
	}
	position := 0
	waits := make(map[fescuelatch.AttemptID]time.Duration)
	q.visitInOrder(func(w fescuelatch.Work) {
		t := targetOf(w)
		wait := time.Duration(float64(position) / float64(slots) * float64(g.expected(t)))
		if missesDeadline(now.Add(wait+g.requiredTime(t)), w) {
			waits[w.Attempt] = wait
			return
		}
		position++
	})
	g.filter(q, func(w fescuelatch.Work) bool {
		wait, late := waits[w.Attempt]
		if late {
			as = append(as, refuse(w.Attempt, wait))
		}
		return late
	})
	return as
}

// drainPool starts queued work for the targets of a pool, which share one queue.
func (g *Adaptive) drainPool(now time.Time, as []fescuelatch.Admission, p fescuelatch.Pool) []fescuelatch.Admission {
	if g.queued == 0 {
		return as
	}
	ts := targetsOf(p)
	if len(ts) == 0 {
		return as
	}
	return g.drain(now, as, g.queue(ts[0]))
}

// drain starts queued work in fair order while it has free slots.
func (g *Adaptive) drain(now time.Time, as []fescuelatch.Admission, q *queue) []fescuelatch.Admission {
	if q.length == 0 || !q.open(now) {
		return as
	}
	full := make(map[target]bool)
	for q.length > 0 {
		var e *endpointLoad
		w, ok := q.take(func(w fescuelatch.Work) bool {
			t := targetOf(w)
			if full[t] {
				return false
			}
			e = g.free(now, t, w)
			full[t] = e == nil && w.Endpoint == ""
			return e != nil
		})
		if !ok {
			break
		}
		g.queued--
		if missesDeadline(now.Add(g.requiredTime(targetOf(w))), w) {
			as = append(as, refuse(w.Attempt, minRetryAfter))
			continue
		}
		as = append(as, g.start(now, e, w))
	}
	return as
}
