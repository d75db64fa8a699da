// Package admission decides in which order work waits for the endpoints of a version that are
// short of room, which work is refused instead, and when its callers should return. It uses no
// clock and no network.
//
// Waiting work is ordered by rank, then by how far its account is over its share, then by
// whether its target latency can still be met, then by when it is due. Work is refused on
// arrival if its turn is not expected in time.
package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the queue.

// Queue holds the waiting work of a daemon. It is not safe for concurrent use.
type Queue struct {
	limit   int
	random  *rand.Rand
	waiters []*waiter
	// draining is the work for which Drain seeks a place.
	draining *waiter
	// levelsAt is when the levels of waiting work were updated, zero if work has started since.
	levelsAt time.Time
	flows    map[fescuelatch.VersionID]*flow
	shares   map[fescuelatch.ModelID]*shares
	// fleet is what is known of the work at other daemons.
	fleet *fleet
}

// New returns a queue for at most a given number of waiting attempts.
func New(limit int, r *rand.Rand) *Queue {
	return &Queue{
		limit: limit, random: r,
		flows: make(map[fescuelatch.VersionID]*flow), shares: make(map[fescuelatch.ModelID]*shares), fleet: newFleet(),
	}
}

// waiter is waiting work.
type waiter struct {
	work fescuelatch.Work
	flow *flow
	// shares and use are those of its account.
	shares *shares
	use    *use
	rank   int
	// level is how far the account is over its share, and over reports that it is by the work
	// at all daemons.
	level int
	over  bool
	// since is from when its wait counts, deadline when its time is over, and due when its target
	// latency or, if late, its time is over.
	since    time.Time
	deadline time.Time
	late     bool
	due      time.Time
	// check is when its turn is foreseen again, zero once it was, and until when it is
	// refused at the latest.
	check, until time.Time
	committed    bool
	tried        bool
	// unfit reports that it found no place for its size when it was last tried.
	unfit bool
}

// restricted reports whether not all endpoints may take the work.
func (w *waiter) restricted() bool { return w.unfit || w.work.Endpoint != "" || len(w.work.Avoid) > 0 }

// held reports that the account is over its share by the work at all daemons, so that the work
// gets no part of the endpoints' queues. It must not keep less urgent work from them.
func (w *waiter) held() bool { return w.over && !w.committed }

// updateLevel updates how far the account is over its share.
func (w *waiter) updateLevel(now time.Time) {
	w.level = w.shares.levelOf(now, w.use)
	w.over = w.shares.overByTotals(now, w.use)
}

// compare orders waiting work whose levels are those of the same time.
func compare(a, b *waiter) int {
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	// Work that waits on since its turn was foreseen keeps its place.
	if a.committed != b.committed {
		if a.committed {
			return -1
		}
		return 1
	}
	if a.level != b.level {
		return cmp.Compare(a.level, b.level)
	}
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	return a.due.Compare(b.due)
}

func (q *Queue) flowOf(now time.Time, v fescuelatch.VersionID) *flow {
	f := q.flows[v]
	if f == nil {
		f = newFlow(now)
		q.flows[v] = f
	}
	return f
}

func (q *Queue) sharesOf(now time.Time, m fescuelatch.ModelID) *shares {
	s := q.shares[m]
	if s == nil {
		s = newShares(now)
		s.model, s.fleet = m, q.fleet
		q.shares[m] = s
	}
	return s
}

// Retain forgets what is known of all versions for which keep returns false and no work waits.
func (q *Queue) Retain(keep func(fescuelatch.VersionID) bool) {
	models := make(map[fescuelatch.ModelID]bool)
	for v, f := range q.flows {
		if f.waiting == 0 && !keep(v) {
			delete(q.flows, v)
			continue
		}
		models[v.Model()] = true
	}
	for m := range q.shares {
		if !models[m] {
			delete(q.shares, m)
			delete(q.fleet.found, m)
		}
	}
}

// Len returns the number of waiting attempts.
func (q *Queue) Len() int { return len(q.waiters) }

// See records work that arrives.
func (q *Queue) See(now time.Time, w fescuelatch.Work) {
	f := q.flowOf(now, w.Version)
	f.seen[rankOf(w.Request)] = now
	if s := q.sharesOf(now, w.Version.Model()); s.overByTotals(now, s.look(w.Request.Account)) {
		f.seenOver = now
	}
	f.observeGiven(w.Request)
}

// MayStart reports whether w may start without waiting: no work that goes before it waits.
func (q *Queue) MayStart(now time.Time, w fescuelatch.Work) bool {
	if len(q.waiters) == 0 {
		return true
	}
	return q.ahead(now, q.newWaiter(now, w), true) == 0
}

// Fill returns the number of requests per slot up to which an endpoint may get w. An endpoint's
// own queue keeps no order: accounts over their share get no part of it, and while room is scarce
// it is left to the most urgent work, and to work that waits on since its turn was foreseen.
// Accounts over their share by the work at all daemons come after all ranks in this.
func (q *Queue) Fill(now time.Time, w fescuelatch.Work) float64 {
	if q.draining != nil && q.draining.committed {
		return endpointQueue
	}
	s := q.sharesOf(now, w.Version.Model())
	if s.levelOf(now, s.of(now, w.Request.Account)) > 0 {
		return 1
	}
	f := q.flowOf(now, w.Version)
	position, n := f.present(now, rankOf(w.Request))
	if n == 1 || !f.scarce(now) {
		return endpointQueue
	}
	return endpointQueue - (endpointQueue-1)*float64(position)/float64(n-1)
}

// Started records that work has started.
func (q *Queue) Started(now time.Time, w fescuelatch.Work) {
	s := q.sharesOf(now, w.Version.Model())
	u := s.of(now, w.Request.Account)
	q.flowOf(now, w.Version).started(now, rankOf(w.Request), s.levelOf(now, u))
	s.add(now, u, costOf(w.Request))
	q.levelsAt = time.Time{}
}

// deadlineOf returns the deadline of a request, or a distant time if it has none.
func deadlineOf(now time.Time, r *fescuelatch.Request) time.Time {
	if r.Deadline.IsZero() {
		return now.Add(noDeadline)
	}
	return r.Deadline
}

func (q *Queue) newWaiter(now time.Time, w fescuelatch.Work) *waiter {
	s := q.sharesOf(now, w.Version.Model())
	o := &waiter{work: w, flow: q.flowOf(now, w.Version), shares: s, use: s.of(now, w.Request.Account), rank: rankOf(w.Request), since: now}
	o.deadline = deadlineOf(now, w.Request)
	o.updateLevel(now)
	o.due = o.deadline
	if w.Request.TargetLatency > 0 {
		target := w.Request.Arrived.Add(w.Request.TargetLatency - o.flow.elapsed(now, w.Request))
		o.late = !now.Before(target)
		if !o.late {
			o.due = target
		}
	}
	return o
}

// updateLevels updates how far the accounts of waiting work are over their share.
func (q *Queue) updateLevels(now time.Time) {
	if q.levelsAt.Equal(now) {
		return
	}
	q.levelsAt = now
	for _, w := range q.waiters {
		w.updateLevel(now)
	}
}

// ahead returns the number of attempts that go before o. With unrestrictedOnly, those that may
// not use all endpoints are left out.
func (q *Queue) ahead(now time.Time, o *waiter, unrestrictedOnly bool) int {
	q.updateLevels(now)
	n := 0
	for _, w := range q.waiters {
		if w == o || w.flow != o.flow || compare(w, o) > 0 {
			continue
		}
		if !unrestrictedOnly || !w.restricted() && (!w.held() || o.held()) {
			n++
		}
	}
	return n
}

// turn returns the expected time until the turn of w after a number of others.
func (w *waiter) turn(now time.Time, room Room, ahead int) time.Duration {
	rate := w.flow.rateFor(now, room, w.rank, w.level)
	return max(room.OpensIn, seconds(float64(ahead+1)/rate))
}

func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }

// waits returns how long w waits before its turn is foreseen again, how long it should wait
// at most, and when it is refused at the latest.
func (w *waiter) waits(room Room) (first, most, last time.Duration) {
	target := w.work.Request.TargetLatency
	if target == 0 {
		return defaultWait, defaultWait, defaultWait
	}
	first = time.Duration(waitShare * float64(target))
	first = max(first-pollInterval, first/2)
	if left := w.due.Sub(w.since) - room.First; !w.late {
		most = min(left, time.Duration(holdShare*float64(target)))
	}
	most = max(most, first)
	last = max(most, min(time.Duration(lastHoldShare*float64(target)), w.deadline.Sub(w.since)/2))
	return first, most, last
}

// Refusal is work that is refused.
type Refusal struct {
	Work       fescuelatch.Work
	Cause      fescuelatch.RefusalCause
	RetryAfter time.Duration
}

// Offer lets w wait, and reports true, or refuses it.
func (q *Queue) Offer(now time.Time, w fescuelatch.Work, room Room) (Refusal, bool) {
	o := q.newWaiter(now, w)
	o.flow.advance(now)
	o.flow.lastSlots = room.Slots
	first, _, _ := o.waits(room)
	if r := w.Request; !r.Arrived.IsZero() {
		// Work that an endpoint has turned away may have waited before. If it has run in
		// the meantime, it may still wait for a while.
		o.since = now.Add(-min(first, max(0, now.Sub(r.Arrived))))
	}
	first, most, last := o.waits(room)
	cause := q.refusalCause(now, o, room, most)
	if cause != "" {
		return q.refuse(now, o, room, cause), false
	}
	o.check, o.until = o.since.Add(first), o.since.Add(last)
	if !o.flow.certain(now) {
		o.check, o.until = time.Time{}, o.since.Add(first)
	}
	o.flow.waiting++
	q.waiters = append(q.waiters, o)
	return Refusal{}, true
}

// refusalCause returns why o may not wait, or nothing.
func (q *Queue) refusalCause(now time.Time, o *waiter, room Room, most time.Duration) fescuelatch.RefusalCause {
	own := 0
	for _, w := range q.waiters {
		if w.work.Request.Account == o.work.Request.Account {
			own++
		}
	}
	switch {
	case len(q.waiters) >= q.limit:
		return fescuelatch.RefusalQueueFull
	case own >= (q.limit-len(q.waiters)+1)/2:
		return fescuelatch.RefusalShare
	case room.Slots == 0:
		return fescuelatch.RefusalNoEndpoint
	case room.OpensIn > most, o.flow.certain(now) && o.turn(now, room, q.ahead(now, o, false)) > o.since.Add(most).Sub(now):
		if o.level > 0 {
			return fescuelatch.RefusalShare
		}
		return fescuelatch.RefusalTurn
	}
	return ""
}

// refuse returns the refusal of o, with the time after which its caller should return.
func (q *Queue) refuse(now time.Time, o *waiter, room Room, cause fescuelatch.RefusalCause) Refusal {
	o.flow.refused = now
	most := min(maxRetryAfter, time.Duration(usableShare*float64(o.deadline.Sub(now))))
	rate := o.flow.rate(now, room) * promisedShare
	from := max(room.OpensIn, minRetryAfter)
	after, ok := time.Duration(0), false
	if rate >= minRate {
		after, ok = o.flow.promises.next(now, rate, o.rank, from, most, q.random.Float64())
	}
	if !ok {
		after = time.Duration(float64(most) * (0.5 + 0.5*q.random.Float64()))
	}
	return Refusal{Work: o.work, Cause: cause, RetryAfter: max(after, minRetryAfter)}
}

// Remove removes the work of an attempt whose caller has left.
func (q *Queue) Remove(now time.Time, id fescuelatch.AttemptID) {
	q.removeIf(now, func(w *waiter) bool { return w.work.Attempt == id })
}

func (q *Queue) removeIf(now time.Time, remove func(*waiter) bool) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if !remove(w) {
			return false
		}
		w.flow.advance(now)
		w.flow.waiting--
		return true
	})
}

// Drain has waiting work started in order. start reports whether it found a place; if it did
// not, neither does what comes after it, unless an account over its share is held back.
func (q *Queue) Drain(now time.Time, start func(fescuelatch.Work) (started, fits bool)) {
	if len(q.waiters) == 0 {
		return
	}
	for _, w := range q.waiters {
		w.tried = false
	}
	full := make(map[*flow]*fullness)
	for {
		q.updateLevels(now)
		w := q.first(now, full)
		if w == nil {
			return
		}
		q.draining = w
		started, fits := start(w.work)
		q.draining = nil
		if started {
			q.Started(now, w.work)
			q.removeIf(now, func(o *waiter) bool { return o == w })
			continue
		}
		w.tried, w.unfit = true, !fits
		if full[w.flow] == nil {
			full[w.flow] = new(fullness)
		}
		full[w.flow].observe(w)
	}
}

// fullness is what is known of the places for a version while waiting work is tried.
type fullness struct {
	// skipped is the number of attempts that found no place, though not all endpoints may
	// take them, and full reports that there is none for any work.
	skipped int
	full    bool
	// heldSkipped and held are the same for work of accounts over their share.
	heldSkipped int
	held        bool
}

// observe records that w found no place.
func (f *fullness) observe(w *waiter) {
	switch {
	case w.restricted() && w.held():
		f.heldSkipped++
		f.held = f.held || f.heldSkipped >= maxSkipped
	case w.restricted():
		f.skipped++
		f.full = f.full || f.skipped >= maxSkipped
	case w.held():
		f.held = true
	default:
		f.full = true
	}
}

// admits reports whether w may find a place.
func (f *fullness) admits(w *waiter) bool {
	return f == nil || !f.full && (!f.held || !w.held())
}

// first returns the first work that has not been tried and whose version is not full.
func (q *Queue) first(now time.Time, full map[*flow]*fullness) *waiter {
	var best *waiter
	for _, w := range q.waiters {
		if !w.tried && now.Before(w.deadline) && full[w.flow].admits(w) && (best == nil || compare(w, best) < 0) {
			best = w
		}
	}
	return best
}

// Overdue removes and returns the work that waits in vain: its time is over, its turn is no
// longer expected in time, or its endpoints are gone. room returns the room for a version.
func (q *Queue) Overdue(now time.Time, room func(fescuelatch.VersionID) Room) []Refusal {
	if len(q.waiters) == 0 {
		return nil
	}
	rooms := make(map[*flow]Room)
	lost := make(map[*flow]bool)
	q.updateLevels(now)
	foresee := false
	for _, w := range q.waiters {
		foresee = foresee || w.checkDue(now)
		if _, ok := rooms[w.flow]; ok {
			continue
		}
		r := room(w.work.Version)
		w.flow.advance(now)
		lost[w.flow] = float64(r.Slots) < (1-lostShare)*float64(w.flow.lastSlots)
		rooms[w.flow], w.flow.lastSlots = r, r.Slots
		foresee = foresee || lost[w.flow]
	}
	// Work that comes first keeps its turn, and others move up by what is refused.
	if foresee {
		slices.SortStableFunc(q.waiters, compare)
	}
	var refused []Refusal
	ahead := make(map[*flow]int)
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		room := rooms[w.flow]
		if cause := q.overdueCause(now, w, room, ahead[w.flow], lost[w.flow]); cause != "" {
			w.flow.waiting--
			refused = append(refused, q.refuse(now, w, room, cause))
			continue
		}
		ahead[w.flow]++
		kept = append(kept, w)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	return refused
}

// checkDue reports whether the turn of w is to be foreseen again.
func (w *waiter) checkDue(now time.Time) bool { return !w.check.IsZero() && !now.Before(w.check) }

// overdueCause returns why w, with a number of attempts ahead, waits in vain, or nothing.
func (q *Queue) overdueCause(now time.Time, w *waiter, room Room, ahead int, lost bool) fescuelatch.RefusalCause {
	check := w.checkDue(now)
	switch {
	case room.Slots == 0:
		return fescuelatch.RefusalNoEndpoint
	case !now.Before(w.until), !now.Before(w.deadline):
		return fescuelatch.RefusalTurn
	case check || lost:
		_, most, _ := w.waits(room)
		if left := w.since.Add(most).Sub(now); float64(w.turn(now, room, ahead)) > certainShare*float64(left) {
			return fescuelatch.RefusalTurn
		}
		if check {
			w.check, w.committed = time.Time{}, true
		}
	}
	return ""
}
