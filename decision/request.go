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
	// maxSequence bounds the attempts of one request, those that do not count
	// included.
	maxSequence = 8
	// maxUnsent bounds the direct attempts of one request of which nothing
	// could be sent.
	maxUnsent = 3
	// retryMargin is the part of the time to the deadline that a further
	// attempt is not expected to use.
	retryMargin = 250 * time.Millisecond
	// unknownLatency stands for the latency of a version that this daemon
	// has sent nothing.
	unknownLatency = 250 * time.Millisecond
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
	// sequence counts all attempts, also those that were not sent.
	sequence int
	unsent   int
	tried    map[fescuelatch.VMID]bool
	// avoid lists the endpoints of direct attempts.
	avoid []fescuelatch.EndpointID
	// relayed reports that the caller is receiving an answer.
	relayed bool
	current attempt
	// granted is the attempt in whose place another one may be made.
	granted fescuelatch.AttemptID
	// best is the answered attempt with the highest score so far.
	best      attempt
	bestScore float64
	// retryAfter is the longest advice that a refused attempt brought.
	retryAfter time.Duration
	// away reports that an attempt was not made for want of the platform.
	away bool
	// life says, by its state, whether any attempt may have run.
	life *chart.Machine
}

// attempt is one attempt of a request.
type attempt struct {
	id      fescuelatch.AttemptID
	version fescuelatch.VersionID
	vm      fescuelatch.VMID
	// endpoint is set once a direct attempt has started.
	endpoint fescuelatch.EndpointID
	queued   bool
	first    bool
}

// relayedAny reports whether the caller may have received a part of an answer.
func (q *request) relayedAny() bool { return q.relayed || q.current.first }

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
	if e.PlatformAway {
		q.tried[c.options.VM] = true
		q.away = true
		q.retryAfter = e.RetryAfter
	}
	c.requests[q.ID] = q
	c.options.Retries.Earn(now, q.Request)
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
		c.emit(Refuse{Request: q.ID, Reason: q.cause(why), RetryAfter: max(after, q.retryAfter)})
	}
}

// cause returns the reason that the caller is told for a refusal. While the
// platform is away, a daemon that was tried later and had no capacity, or the
// time that the tries took, do not hide it.
func (q *request) cause(why Reason) Reason {
	switch why {
	case ReasonNoCapacity, ReasonNoEndpoint, ReasonNotStarted, ReasonDeadline:
		if q.away {
			return ReasonPlatformAway
		}
	}
	return why
}

func (c *Core) giveUp(q *request, why Reason) {
	c.end(q, chart.EventFail)
	c.emit(GiveUp{Request: q.ID, Reason: why})
}

func (c *Core) accept(q *request, a attempt, sample bool) {
	c.end(q, chart.EventAnswer)
	done := Accept{Request: q.ID, Attempt: a.id, Version: a.version, Attempts: q.attempts, Sample: sample}
	if !q.Forwarded && !q.IsService() {
		done.Health = c.exposed(c.now, a.version)
	}
	c.emit(done)
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
	q.sequence++
	id := q.given
	if id == "" {
		id = fescuelatch.AttemptID(string(q.ID) + "." + strconv.Itoa(q.sequence))
	}
	q.current = attempt{id: id, version: q.plan[q.step], vm: vm}
	c.attempts[id] = q
}

func (c *Core) cancelled(now time.Time, e Cancelled) {
	q, ok := c.requests[e.Request]
	if !ok {
		return
	}
	if q.current.queued {
		c.withdraw(now, q)
	}
	if e.Expired && q.best.id != "" {
		c.accept(q, q.best, false)
		return
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
