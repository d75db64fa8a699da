package gate

import (
	"time"

	"fescuelatch"
)

// This file defines what becomes of work that waits: whether it may, for how
// long it would, and when it starts or is refused.

// admit reports whether w may wait, or after what time to come back. The
// room in the queue for one account shrinks as the queue fills, so that
// there is always some for the others.
func (g *Adaptive) admit(now time.Time, t target, q *queue, w fescuelatch.Work) (time.Duration, bool) {
	wait := g.wait(now, t, q, w)
	waiting := 0
	if f := q.flows[w.Request.Account]; f != nil {
		waiting = len(f.works)
	}
	if waiting >= g.settings.QueueLimit-g.queued {
		return wait, false
	}
	return wait, !late(now.Add(wait+g.needed(t)), w)
}

// startMargin is the part of the time to its deadline that an attempt which
// has waited is not expected to use. A refusal takes a part of it to arrive.
const startMargin = 250 * time.Millisecond

// needed returns the time to the deadline with which an attempt that waits
// is started. One that ends after its deadline would be lost and its outcome
// unknown; as long as it waits it can still be refused.
func (g *Adaptive) needed(t target) time.Duration { return g.latency.most(t.version) + startMargin }

// late reports whether w would end after its deadline at time end.
func late(end time.Time, w fescuelatch.Work) bool {
	return !w.Request.Deadline.IsZero() && end.After(w.Request.Deadline)
}

// wait estimates how long w would wait: until the first endpoint opens, then
// for its turn.
func (g *Adaptive) wait(now time.Time, t target, q *queue, w fescuelatch.Work) time.Duration {
	closed := g.settings.ReportLag
	rate := 0.0 // starts a second
	for _, p := range g.serving[t] {
		if p.owned.Out || p.warmth.leaving() {
			continue
		}
		closed = min(closed, max(0, p.owned.After.Sub(now)))
		rate += p.pace(now, g.expected(t))
	}
	return closed + time.Duration(q.turns(w)/rate*float64(time.Second))
}

// expected returns the expected time from start to end.
func (g *Adaptive) expected(t target) time.Duration { return g.latency.total(t.version) }

// withdraw takes a queued attempt out.
func (g *Adaptive) withdraw(a fescuelatch.AttemptID) {
	for _, t := range g.order {
		g.filter(g.queues[t], func(w fescuelatch.Work) bool { return w.Attempt == a })
	}
}

func (g *Adaptive) filter(q *queue, drop func(fescuelatch.Work) bool) {
	before := q.length
	q.filter(drop)
	g.queued -= before - q.length
}

// refuseLate refuses queued work that can no longer end in time, or that no
// endpoint serves any more.
func (g *Adaptive) refuseLate(now time.Time, as []fescuelatch.Admission, q *queue) []fescuelatch.Admission {
	var t target
	end := now.Add(g.needed(t))
	g.filter(q, func(w fescuelatch.Work) bool {
		if o := targetOf(w); o != t {
			t, end = o, now.Add(g.needed(o))
		}
		if !late(end, w) && !expired(now, w) && g.serves(t, w) {
			return false
		}
		as = append(as, refuse(w.Attempt, minRetryAfter))
		return true
	})
	return as
}

// refuseHopeless refuses queued work whose turn would come too late even if all
// endpoints were warm now. Others move up in its place.
func (g *Adaptive) refuseHopeless(now time.Time, as []fescuelatch.Admission, q *queue) []fescuelatch.Admission {
	slots := q.warmSlots(now)
	if q.length == 0 || slots == 0 {
		return as
	}
	turn := 0
	waits := make(map[fescuelatch.AttemptID]time.Duration)
	q.inOrder(func(w fescuelatch.Work) {
		t := targetOf(w)
		wait := time.Duration(float64(turn) / float64(slots) * float64(g.expected(t)))
		if late(now.Add(wait+g.needed(t)), w) {
			waits[w.Attempt] = wait
			return
		}
		turn++
	})
	g.filter(q, func(w fescuelatch.Work) bool {
		wait, hopeless := waits[w.Attempt]
		if hopeless {
			as = append(as, refuse(w.Attempt, wait))
		}
		return hopeless
	})
	return as
}

// drainPool starts queued work for what a pool serves, all of which waits in
// one queue.
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

// drain starts queued work in fair order while there are free slots for it.
func (g *Adaptive) drain(now time.Time, as []fescuelatch.Admission, q *queue) []fescuelatch.Admission {
	if q.length == 0 || !q.open(now) {
		return as
	}
	full := make(map[target]bool)
	for q.length > 0 {
		var p *place
		w, ok := q.take(func(w fescuelatch.Work) bool {
			t := targetOf(w)
			if full[t] {
				return false
			}
			p = g.free(now, t, w)
			full[t] = p == nil && w.Endpoint == ""
			return p != nil
		})
		if !ok {
			break
		}
		g.queued--
		if late(now.Add(g.needed(targetOf(w))), w) {
			as = append(as, refuse(w.Attempt, minRetryAfter))
			continue
		}
		as = append(as, g.start(now, p, w))
	}
	return as
}
