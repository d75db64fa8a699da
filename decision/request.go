package decision

import (
	"slices"
	"strconv"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the lifecycle of a request in the core.

const (
	// goodScore is the minimum score of a good rating.
	goodScore = 0.5
	// ratingTimeout bounds the rating of an answer before it is accepted.
	ratingTimeout = 500 * time.Millisecond
	// maxAttempts bounds the attempts of one request over all versions.
	maxAttempts = 6
	// maxSequence bounds the attempts of one request, including those that do
	// not count.
	maxSequence = 8
	// maxUnsent bounds the direct attempts of one request in a row that could not send
	// anything, and maxUnsentInStream those of one whose caller has part of a stream:
	// it loses that part otherwise, and waits for more for some seconds.
	maxUnsent         = 3
	maxUnsentInStream = 12
	// retryMargin is the time that a retry is expected to leave before the
	// deadline.
	retryMargin = 250 * time.Millisecond
	// unknownLatency is assumed for a version to which this daemon has sent
	// no request.
	unknownLatency = 250 * time.Millisecond
	// defaultRetryAfter is the minimum delay returned with most refusals.
	defaultRetryAfter = time.Second
)

// request is the state of one request. Either an attempt is current, which may
// have a hedge, or a rating is awaited, or the request has ended and was removed
// from the core.
type request struct {
	*fescuelatch.Request
	share            float64
	forwardedAttempt fescuelatch.AttemptID // the forwarding daemon's attempt
	plan             []fescuelatch.VersionID
	step             int
	attempts         int
	// sequence counts all attempts, including those that were not sent.
	sequence int
	// unsent counts the last attempts that could not send anything.
	unsent int
	// crashes counts the attempts with whose endpoint's process ended before the
	// answer was under way.
	crashes int
	// ended counts all attempts during which the endpoint's process ended.
	ended int
	tried map[fescuelatch.VMID]bool
	// avoid lists the endpoints of direct attempts.
	avoid []fescuelatch.EndpointID
	// relayed reports that the caller is receiving an answer, and final that no further
	// attempt can continue it.
	relayed bool
	final   bool
	current attempt
	// hedge is the attempt beside the current one, without identifier if there is none.
	hedge attempt
	// held reports that the answer of the current attempt has begun, and is held back as
	// the hedge may give a better one.
	held bool
	// best is the answered attempt with the highest score so far.
	best      attempt
	bestScore float64
	// retryAfter is the longest delay returned with a refused attempt.
	retryAfter time.Duration
	// cause is why the last attempt was refused, if room was short.
	cause fescuelatch.RefusalCause
	// platformAway reports that an unavailable platform prevented an attempt.
	platformAway bool
	// lifecycle also records whether any attempt may have run.
	lifecycle *chart.Machine
}

// attempt is one attempt of a request.
type attempt struct {
	id      fescuelatch.AttemptID
	version fescuelatch.VersionID
	step    int // of the plan
	vm      fescuelatch.VMID
	// allowed is the number of endpoints that the attempt may be made at: more than one if
	// another daemon makes it.
	allowed int
	// endpoint is set once a direct attempt has started.
	endpoint   fescuelatch.EndpointID
	queued     bool
	firstToken bool
	// ended reports that the end of the endpoint's process has been counted.
	ended bool
}

// relayedAny reports whether the caller may have received part of an answer.
func (q *request) relayedAny() bool { return q.relayed || q.current.firstToken }

func (q *request) serviceKey() serviceKey {
	if q.IsService() {
		return serviceKey{plain: q.Service}
	}
	return serviceKey{version: q.plan[q.step]}
}

func (c *Core) arrived(now time.Time, e Arrived) {
	q := &request{
		Request: e.Request, share: e.Share, forwardedAttempt: e.Attempt, tried: make(map[fescuelatch.VMID]bool),
		lifecycle: chart.Request().New(),
	}
	if e.PlatformUnavailable {
		q.tried[c.options.VM] = true
		q.platformAway = true
		q.retryAfter = e.RetryAfter
	}
	c.requests[q.ID] = q
	if !q.Delegated {
		// The daemon that accepted it has earned the retries for it.
		c.options.Retries.Earn(now, q.Request)
	}
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

// refuse ends a request that has no target left: with the best answer so far,
// with an unknown outcome if an attempt may have run, and otherwise as not run.
func (c *Core) refuse(q *request, why Reason, after time.Duration) {
	switch {
	case q.best.id != "":
		c.accept(q, q.best, false)
	case !q.lifecycle.Can(chart.EventRefuse):
		c.fail(q, ReasonBroken)
	default:
		c.end(q, chart.EventRefuse)
		c.emit(Refuse{Request: q.ID, Reason: q.reportedReason(why), RetryAfter: max(after, q.retryAfter), Cause: q.cause})
	}
}

// reportedReason returns the reason sent to the caller for a refusal. An
// unavailable platform takes precedence over a lack of capacity at a daemon
// that was tried later, and over the time that the tries took.
func (q *request) reportedReason(why Reason) Reason {
	switch why {
	case ReasonNoCapacity, ReasonNoEndpoint, ReasonNotStarted, ReasonDeadline:
		if q.platformAway {
			return ReasonPlatformUnavailable
		}
	}
	return why
}

func (c *Core) fail(q *request, why Reason) {
	c.end(q, chart.EventFail)
	c.emit(Fail{Request: q.ID, Reason: why})
}

func (c *Core) accept(q *request, a attempt, sample bool) {
	c.end(q, chart.EventAnswer)
	done := Accept{Request: q.ID, Attempt: a.id, Version: a.version, Attempts: q.attempts, Sample: sample}
	if !q.Forwarded && !q.IsService() {
		done.Health = c.recordAnswer(c.now, a.version)
	}
	c.emit(done)
}

// fire applies an event to the request's chart. An event without a transition
// is a fault of this package, which Faults returns.
func (c *Core) fire(q *request, e chart.Event) {
	if err := q.lifecycle.Fire(e); err != nil {
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
	q.current = c.nextAttempt(q, vm)
	c.attempts[q.current.id] = q
}

// nextAttempt returns the next attempt of q and counts it.
func (c *Core) nextAttempt(q *request, vm fescuelatch.VMID) attempt {
	allowed := c.allowance(q, vm)
	q.attempts += allowed
	q.sequence++
	id := q.forwardedAttempt
	if id == "" {
		id = fescuelatch.AttemptID(string(q.ID) + "." + strconv.Itoa(q.sequence))
	}
	return attempt{id: id, version: q.plan[q.step], step: q.step, vm: vm, allowed: allowed}
}

// allowance returns the number of endpoints that the next attempt of q may be made at, as other
// attempts may be in progress. A daemon that makes it for this one may retry it itself, but leaves
// an attempt for another such daemon, as it may fail as a whole.
func (c *Core) allowance(q *request, vm fescuelatch.VMID) int {
	// Attempts whose endpoints have ended are not counted here, but another daemon would repeat them.
	left := q.attemptLimit() - q.attempts - q.ended
	if !c.options.Direct || vm == c.options.VM || left <= 1 {
		return 1
	}
	others := slices.ContainsFunc(c.peers.sorted, func(p *peer) bool { return p.vm != vm && c.mayDelegate(q, p) })
	if others {
		left--
	}
	return left
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

// withdraw removes a queued attempt from the gate.
func (c *Core) withdraw(now time.Time, q *request) {
	r := fescuelatch.AttemptResult{Attempt: q.current.id, Version: q.current.version, Status: fescuelatch.AttemptCancelled}
	q.current.queued = false
	c.applyAdmissions(now, c.gate().End(now, r))
}

// replanWithdrawn plans requests queued for withdrawn versions again.
func (c *Core) replanWithdrawn(now time.Time) {
	for _, q := range c.requests {
		if !q.current.queued || q.IsService() || !c.view.Withdrawn(q.current.version) {
			continue
		}
		c.withdraw(now, q)
		c.planAndPlace(now, q)
	}
}
