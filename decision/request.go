package decision

import (
	"strconv"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the life of one request in the core.

const (
	// goodScore is the least score at which a rating counts as good.
	goodScore = 0.5
	// ratingTimeout bounds a rating that an answer waits for.
	ratingTimeout = 500 * time.Millisecond
	// maxAttempts bounds the attempts of one request over all versions.
	maxAttempts = 6
	// defaultRetryAfter is told to callers when nothing better is known.
	defaultRetryAfter = time.Second
)

// request is the state of one request. Exactly one of three holds: an
// attempt is current, a rating is awaited, or the request has ended and is
// no longer in the core.
type request struct {
	*fescuelatch.Request
	share    float64
	given    fescuelatch.AttemptID // forwarding daemon's attempt
	plan     []fescuelatch.VersionID
	step     int
	attempts int
	tried    map[fescuelatch.VMID]bool
	current  attempt
	// best is the answered attempt with the highest score so far.
	best      attempt
	bestScore float64
	// retryAfter is the longest advice that a refused attempt brought.
	retryAfter time.Duration
	// life says, by its state, whether any attempt may have run.
	life *chart.Machine
}

// attempt is one attempt of a request.
type attempt struct {
	id      fescuelatch.AttemptID
	version fescuelatch.VersionID
	vm      fescuelatch.VMID
	queued  bool
	first   bool
}

func (q *request) service() service {
	if q.IsService() {
		return service{plain: q.Service}
	}
	return service{version: q.plan[q.step]}
}

func (c *Core) arrived(now time.Time, e Arrived) {
	q := &request{
		Request: e.Request, share: e.Share, given: e.Attempt, tried: make(map[fescuelatch.VMID]bool),
		life: chart.Request().New(),
	}
	if e.Elsewhere {
		q.tried[c.options.VM] = true
	}
	c.requests[q.ID] = q
	c.budget.earn()
	switch {
	case c.view == nil:
		c.refuse(q, ReasonNoConfig, defaultRetryAfter)
	case c.stopping && !q.Forwarded, c.view.VMOut(c.options.VM) && !q.Forwarded:
		c.refuse(q, ReasonStopping, defaultRetryAfter)
	case !now.Before(q.Deadline):
		c.refuse(q, ReasonDeadline, defaultRetryAfter)
	case q.IsService():
		q.plan = []fescuelatch.VersionID{""}
		c.fire(q, chart.EventPlan)
		c.place(now, q)
	default:
		c.planAndPlace(now, q)
	}
}

func (c *Core) planAndPlace(now time.Time, q *request) {
	c.fire(q, chart.EventPlan)
	plan, reason := c.planVersions(now, q)
	if len(plan) == 0 {
		c.refuse(q, reason, defaultRetryAfter)
		return
	}
	q.plan = plan
	q.step = 0
	c.place(now, q)
}

// Pick returns the version that a request would begin with, or none. It
// changes nothing.
func (c *Core) Pick(now time.Time, r *fescuelatch.Request) fescuelatch.VersionID {
	if c.view == nil {
		return ""
	}
	c.sparesKnown = false
	plan, _ := c.planVersions(now, &request{Request: r})
	if len(plan) == 0 {
		return ""
	}
	return plan[0]
}

// planVersions returns the versions to try, or the reason for none.
func (c *Core) planVersions(now time.Time, q *request) ([]fescuelatch.VersionID, Reason) {
	candidates := c.candidates(now, q)
	if q.Forwarded || q.Version != "" {
		if len(candidates) == 0 {
			return nil, c.noCandidate(q)
		}
		return []fescuelatch.VersionID{q.Version}, ""
	}
	if len(candidates) == 0 {
		return nil, c.noCandidate(q)
	}
	plan := c.options.Versions.Plan(now, q.Request, candidates, c.options.Random.Float64())
	if len(plan) == 0 {
		return nil, ReasonQuality
	}
	return plan, ""
}

// noCandidate says why no version that the request asks for can be used.
func (c *Core) noCandidate(q *request) Reason {
	account, ok := c.view.Account(q.Account)
	if !ok {
		return ReasonNoVersion
	}
	why := ReasonNoVersion
	for _, v := range c.view.VersionsOf(q.Model) {
		if !c.view.Allowed(account, v) || (q.pinned() != "" && v.ID != q.pinned()) {
			continue
		}
		if !c.view.Withdrawn(v.ID) {
			return ReasonQuality
		}
		why = ReasonWithdrawn
	}
	return why
}

// pinned returns the one version that the request may run on, or none.
func (q *request) pinned() fescuelatch.VersionID {
	if q.Version != "" {
		return q.Version
	}
	return q.Session
}

// candidates returns the versions that the request may run on. A session or
// a pinned version leaves at most that one. A quarantined version remains
// for its own sessions and for requests that pin it.
func (c *Core) candidates(now time.Time, q *request) []fescuelatch.Candidate {
	account, ok := c.view.Account(q.Account)
	if !ok {
		return nil
	}
	pinned := q.pinned()
	var cs []fescuelatch.Candidate
	for _, v := range c.view.VersionsOf(q.Model) {
		if pinned != "" && v.ID != pinned {
			continue
		}
		if !c.view.Allowed(account, v) || c.view.Withdrawn(v.ID) {
			continue
		}
		health := c.options.Quality.Health(now, v.ID)
		if health == fescuelatch.HealthQuarantined && pinned == "" {
			continue
		}
		cs = append(cs, fescuelatch.Candidate{
			Version:  v,
			Estimate: c.options.Quality.Estimate(now, v.ID),
			Health:   health,
			Spare:    c.spareOf(now, service{version: v.ID}),
			Latency:  c.options.Gate.Latency(v.ID),
		})
	}
	return cs
}

// refuse ends a request that can be placed nowhere: with the best answer so
// far, as unknown when an attempt may have run, and otherwise as not run.
func (c *Core) refuse(q *request, why Reason, after time.Duration) {
	switch {
	case q.best.id != "":
		c.accept(q, q.best, false)
	case !q.life.Can(chart.EventRefuse):
		c.giveUp(q, ReasonBroken)
	default:
		c.end(q, chart.EventRefuse)
		c.emit(Refuse{Request: q.ID, Reason: why, RetryAfter: max(after, q.retryAfter)})
	}
}

func (c *Core) giveUp(q *request, why Reason) {
	c.end(q, chart.EventFail)
	c.emit(GiveUp{Request: q.ID, Reason: why})
}

func (c *Core) accept(q *request, a attempt, sample bool) {
	c.end(q, chart.EventAnswer)
	c.emit(Accept{Request: q.ID, Attempt: a.id, Version: a.version, Attempts: q.attempts, Sample: sample})
}

// fire moves the request along its chart. An event without a transition is
// a fault of this package; it is kept for Faults.
func (c *Core) fire(q *request, e chart.Event) {
	if err := q.life.Fire(e); err != nil {
		c.faults = append(c.faults, err)
	}
}

func (c *Core) end(q *request, e chart.Event) {
	c.fire(q, e)
	delete(c.requests, q.ID)
	delete(c.attempts, q.current.id)
}

// newAttempt makes the next attempt of q current.
func (c *Core) newAttempt(q *request, vm fescuelatch.VMID) {
	delete(c.attempts, q.current.id)
	q.attempts++
	id := q.given
	if id == "" {
		id = fescuelatch.AttemptID(string(q.ID) + "." + strconv.Itoa(q.attempts))
	}
	q.current = attempt{id: id, version: q.plan[q.step], vm: vm}
	c.attempts[id] = q
}

func (c *Core) firstToken(now time.Time, e FirstToken) {
	q, ok := c.requests[e.Request]
	if !ok || q.current.id != e.Attempt {
		return
	}
	q.current.first = true
	if q.current.vm == c.options.VM {
		c.gate().First(now, e.Attempt)
	}
}

func (c *Core) ended(now time.Time, e Ended) {
	r := e.Result
	c.options.Quality.ObserveAttempt(now, r)
	q, ok := c.requests[e.Request]
	current := ok && q.current.id == r.Attempt
	if r.Endpoint != "" {
		// The slot is free; others may start.
		defer func(as []fescuelatch.Admission) { c.admit(now, as) }(c.gate().End(now, r))
	}
	if !current {
		return
	}
	switch r.Status {
	case fescuelatch.AttemptAnswered:
		c.answered(now, q)
	case fescuelatch.AttemptNotStarted:
		q.retryAfter = max(q.retryAfter, r.RetryAfter)
		c.fire(q, chart.EventNotStarted)
		c.notStarted(now, q, r)
	case fescuelatch.AttemptCancelled:
		c.end(q, chart.EventCancel)
		c.emit(Drop{Request: q.ID})
	default:
		c.broken(now, q)
	}
}

// answered accepts an answer, or asks for a rating when a later version of
// the plan could do better.
func (c *Core) answered(now time.Time, q *request) {
	left := q.Deadline.Sub(now)
	if q.Streamed || q.step+1 >= len(q.plan) || left < 2*ratingTimeout {
		c.accept(q, q.current, c.sampled(now, q))
		return
	}
	c.emit(Rate{Request: q.ID, Attempt: q.current.id, Version: q.current.version, Within: ratingTimeout})
}

// sampled reports whether the accepted answer of q is rated for learning.
// All answers of a version in doubt are, so that the doubt ends soon.
func (c *Core) sampled(now time.Time, q *request) bool {
	if q.IsService() || q.Forwarded || q.step > 0 {
		return false
	}
	if c.options.Quality.Health(now, q.current.version) != fescuelatch.HealthGood {
		return true
	}
	return c.options.Random.Float64() < c.options.SampleShare
}

func (c *Core) rated(now time.Time, e Rated) {
	q, ok := c.requests[e.Request]
	// Later steps of a plan get the requests that an earlier version failed
	// on, so that their ratings would make good versions look bad.
	if e.Rated && (!ok || q.step == 0) {
		c.options.Quality.ObserveRating(now, e.Version, e.Score)
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

// notStarted tries the request elsewhere, or refuses it.
func (c *Core) notStarted(now time.Time, q *request, r fescuelatch.AttemptResult) {
	if q.Forwarded {
		c.refuse(q, refusalReason(r), r.RetryAfter)
		return
	}
	q.tried[q.current.vm] = true
	if q.attempts >= maxAttempts || !c.budget.take() {
		c.refuse(q, refusalReason(r), defaultRetryAfter)
		return
	}
	c.place(now, q)
}

func refusalReason(r fescuelatch.AttemptResult) Reason {
	if r.Overloaded {
		return ReasonNoCapacity
	}
	return ReasonNotStarted
}

// broken repeats an idempotent request unless part of its answer has been
// streamed to the caller.
func (c *Core) broken(now time.Time, q *request) {
	streamed := q.Streamed && q.current.first
	if !q.Idempotent || streamed || q.Forwarded || q.attempts >= maxAttempts || !c.budget.take() {
		if q.best.id != "" {
			c.accept(q, q.best, false)
			return
		}
		c.giveUp(q, ReasonBroken)
		return
	}
	c.fire(q, chart.EventRetry)
	q.tried[q.current.vm] = true
	c.place(now, q)
}

func (c *Core) cancelled(now time.Time, e Cancelled) {
	q, ok := c.requests[e.Request]
	if !ok {
		return
	}
	if q.current.queued {
		c.withdraw(now, q)
	}
	c.end(q, chart.EventCancel)
	c.emit(Drop{Request: q.ID})
}

// withdraw takes a queued attempt out of the gate.
func (c *Core) withdraw(now time.Time, q *request) {
	r := fescuelatch.AttemptResult{Attempt: q.current.id, Version: q.current.version, Status: fescuelatch.AttemptCancelled}
	q.current.queued = false
	c.admit(now, c.gate().End(now, r))
}

// replanWithdrawn takes queued attempts on withdrawn versions back.
func (c *Core) replanWithdrawn(now time.Time) {
	for _, q := range c.requests {
		if !q.current.queued || q.IsService() || !c.view.Withdrawn(q.current.version) {
			continue
		}
		c.withdraw(now, q)
		c.planAndPlace(now, q)
	}
}
