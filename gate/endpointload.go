package gate

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file defines the state that a gate keeps for one endpoint.

// startInterval is the mean time between starts at an endpoint that is cold or ramps
// up; it varies by half with the attempt.
const startInterval = 100 * time.Millisecond

// attempt is a started attempt.
type attempt struct {
	id          fescuelatch.AttemptID
	request     *fescuelatch.Request
	version     fescuelatch.VersionID
	endpoint    *endpointLoad
	started     time.Time
	firstToken  bool // the first token has arrived
	countedSlow bool // counted as slow while waiting for the first token
}

// endpointLoad is one endpoint with its load. It is kept after ownership ends until
// its attempts have ended.
type endpointLoad struct {
	owned    fescuelatch.OwnedEndpoint
	isOwned  bool
	settings Settings
	warmth   warmth
	limit    limit
	running  []*attempt
	// ended holds when recent attempts ended, as reports may still include
	// them.
	ended []time.Time
	// others is the number of attempts of other daemons.
	others int
	// othersKnown reports that others was counted after the current owner's
	// wait.
	othersKnown bool
	// share is the active share. A larger targetShare, set at shareChanged,
	// takes effect with a load report.
	share, targetShare float64
	shareChanged       time.Time
	resumedAt          time.Time // after a pause of this process
	// brokenAt is when an attempt last broke, or zero once the endpoint is known
	// not to have been restarted.
	brokenAt      time.Time
	reportedSlots int // that the endpoint reports, or zero
	// nextStart is the earliest time of the next start while starts are
	// spaced out, and backoffUntil that of any after the endpoint refused work.
	nextStart, backoffUntil time.Time
}

// own updates the endpoint from o.
func (e *endpointLoad) own(now time.Time, o fescuelatch.OwnedEndpoint) {
	if !e.isOwned {
		e.isOwned, e.othersKnown = true, false
		e.warmth.reset(now)
		e.limit.value = float64(o.Pool.Slots)
		e.share = o.Share
	}
	if e.owned.Out && !o.Out {
		e.warmth.since = now // it has returned, so it ramps up again
	}
	if o.Share != e.targetShare {
		e.targetShare, e.shareChanged = o.Share, now
	}
	e.share = min(e.share, e.targetShare)
	e.owned = o
	e.raiseShare(now)
}

// raiseShare activates a larger share once a report has shown the work that others
// sent before.
func (e *endpointLoad) raiseShare(now time.Time) {
	if e.reportedSince(now, e.shareChanged) {
		e.share = e.targetShare
	}
}

// reportedSince reports whether a load report has arrived since t, or a timeout has
// passed without one: the endpoint is then used at its cold slots. Pauses of this
// process do not count.
func (e *endpointLoad) reportedSince(now, t time.Time) bool {
	return !e.warmth.reported.Before(t) || now.Sub(later(t, e.resumedAt)) > e.settings.ReportTimeout
}

// refresh updates the state that depends on the age of reports.
func (e *endpointLoad) refresh(now time.Time) {
	e.warmth.checkTimeout(now, e.settings.ReportTimeout)
	e.raiseShare(now)
}

// checkSlowAttempts counts attempts whose first token is slow to arrive.
func (e *endpointLoad) checkSlowAttempts(now time.Time) {
	for _, a := range e.running {
		if !a.firstToken && !a.countedSlow && e.warmth.slow(now.Sub(a.started), a.request.Streamed) {
			a.countedSlow = true
			e.warmth.addSuspicion(now)
		}
	}
}

// open reports whether new work may be sent at all. A new owner waits for a
// report that shows the work of a former owner.
func (e *endpointLoad) open(now time.Time) bool {
	if !e.isOwned || e.owned.Out || e.warmth.leaving() || now.Before(e.owned.After) {
		return false
	}
	return e.reportedSince(now, e.owned.After)
}

// bound returns the number of attempts that may run at the endpoint now.
func (e *endpointLoad) bound(now time.Time) int {
	if !e.open(now) {
		return 0
	}
	cold := int(math.Floor(e.share * float64(e.owned.Pool.ColdSlots)))
	if !e.warmth.warm() {
		return cold
	}
	warm := min(int(e.limit.value), e.rampLimit(now), e.ceiling())
	if e.maybeRestarted() {
		return min(warm, cold)
	}
	return warm
}

// maybeRestarted reports whether an attempt broke recently, so that the endpoint may
// have been restarted. It holds until a report that would show the restart, or until
// an earlier attempt makes progress.
func (e *endpointLoad) maybeRestarted() bool {
	return !e.brokenAt.IsZero() && e.warmth.reported.Before(e.brokenAt.Add(e.settings.ReportLag))
}

// confirmRunning records progress of a. If a started before an attempt broke, the
// endpoint has not been restarted.
func (e *endpointLoad) confirmRunning(a *attempt) {
	if a.started.Before(e.brokenAt) {
		e.brokenAt = time.Time{}
	}
}

// ceiling returns the maximum limit of a warm endpoint.
func (e *endpointLoad) ceiling() int {
	if e.reportedSlots > 0 {
		return min(e.reportedSlots, e.owned.Pool.Slots)
	}
	return e.owned.Pool.Slots
}

// floor returns the minimum limit of a warm endpoint.
func (e *endpointLoad) floor() int { return max(1, e.owned.Pool.ColdSlots) }

// rampLimit returns the limit that rises from the cold to the full number of slots
// after the endpoint became warm or returned.
func (e *endpointLoad) rampLimit(now time.Time) int {
	cold, full := e.floor(), e.owned.Pool.Slots
	age := now.Sub(e.warmth.since)
	if age >= e.settings.RampTime || full <= cold {
		return full
	}
	return cold + int(float64(full-cold)*float64(age)/float64(e.settings.RampTime))
}

// ramping reports whether starts are spaced out.
func (e *endpointLoad) ramping(now time.Time) bool {
	return !e.warmth.warm() || now.Sub(e.warmth.since) < e.settings.RampTime
}

// headroom returns the number of further attempts that the endpoint can take.
func (e *endpointLoad) headroom(now time.Time) int {
	if now.Before(e.backoffUntil) {
		return 0
	}
	return max(0, e.bound(now)-len(e.running)-e.others)
}

// free returns the number of attempts that may start now.
func (e *endpointLoad) free(now time.Time) int {
	if now.Before(e.nextStart) {
		return 0
	}
	if e.ramping(now) {
		return min(e.headroom(now), 1)
	}
	return e.headroom(now)
}

// startRate estimates the starts per second that the endpoint allows if attempts
// take the expected time.
func (e *endpointLoad) startRate(now time.Time, expected time.Duration) float64 {
	interval := max(expected/time.Duration(max(e.bound(now), 1)), time.Millisecond)
	return 1 / interval.Seconds()
}

func (e *endpointLoad) start(now time.Time, w fescuelatch.Work) *attempt {
	a := &attempt{id: w.Attempt, request: w.Request, version: w.Version, endpoint: e, started: now}
	e.running = append(e.running, a)
	if e.ramping(now) {
		e.nextStart = now.Add(jitteredInterval(w.Attempt))
	}
	return a
}

// jitteredInterval returns startInterval, varied by half with the attempt.
func jitteredInterval(a fescuelatch.AttemptID) time.Duration {
	u := float64(xxhash.Sum64String(string(a))) / math.MaxUint64
	return time.Duration((0.5 + u) * float64(startInterval))
}

func (e *endpointLoad) remove(now time.Time, a *attempt) {
	for i, r := range e.running {
		if r == a {
			last := len(e.running) - 1
			e.running[i], e.running[last] = e.running[last], nil
			e.running = e.running[:last]
			break
		}
	}
	e.prune(now)
	e.ended = append(e.ended, now)
}

// prune drops ended attempts that reports no longer include.
func (e *endpointLoad) prune(now time.Time) {
	i := 0
	for i < len(e.ended) && now.Sub(e.ended[i]) > e.settings.ReportLag {
		i++
	}
	if i > 0 {
		e.ended = append(e.ended[:0], e.ended[i:]...)
	}
}

// end updates the state from the result of a removed attempt.
func (e *endpointLoad) end(now time.Time, a *attempt, r fescuelatch.AttemptResult) {
	if !a.firstToken && r.FirstToken > 0 {
		e.first(now, a, r.FirstToken)
	}
	switch {
	case r.Unsent:
	case r.Overloaded:
		e.limit.decrease(now, e.floor())
		e.backoffUntil = later(e.backoffUntil, now.Add(max(r.RetryAfter, jitteredInterval(a.id))))
	case r.Status == fescuelatch.AttemptAnswered:
		e.limit.increase(e.owned.Pool.Slots)
		e.confirmRunning(a)
		// Work that replaces an ended attempt does not add to the load.
		e.nextStart = now
	case r.Status == fescuelatch.AttemptExpired:
		e.expired(now, a)
	case r.Status == fescuelatch.AttemptNotStarted, r.Status == fescuelatch.AttemptBroken:
		e.limit.decrease(now, e.floor())
		e.warmth.fail(now)
		e.brokenAt = now
	}
}

// expired records that a was cut off by the caller's deadline, which counts against
// the endpoint only if the first token was overdue.
func (e *endpointLoad) expired(now time.Time, a *attempt) {
	if a.firstToken || !e.warmth.overdue(now.Sub(a.started), a.request.Streamed) {
		return
	}
	e.limit.decrease(now, e.floor())
	if !a.countedSlow {
		e.warmth.addSuspicion(now)
	}
}

func (e *endpointLoad) first(now time.Time, a *attempt, d time.Duration) {
	a.firstToken = true
	e.confirmRunning(a)
	if a.countedSlow {
		e.limit.decrease(now, e.floor())
	} else if e.warmth.first(now, d, a.request.Streamed) {
		e.limit.decrease(now, e.floor())
	}
}

func (e *endpointLoad) report(now time.Time, r fescuelatch.LoadReport) {
	if !e.warmth.report(now, r, e.settings.ReportLag) {
		return
	}
	e.reportedSlots = r.Slots
	e.prune(now)
	e.countOthers(now, r.Running+r.Waiting)
	e.raiseShare(now)
}

// countOthers estimates how many attempts in a report are of other daemons. While
// another daemon may send work, or a former owner's work may still run, only own
// attempts that the report must include are subtracted; this may count own attempts
// twice, but never undercounts. For an exclusive owner, others can only decrease,
// and all own attempts that the report may include are subtracted.
func (e *endpointLoad) countOthers(now time.Time, reported int) {
	visible := 0
	for _, a := range e.running {
		if now.Sub(a.started) >= e.settings.ReportLag {
			visible++
		}
	}
	atMost := max(0, reported-visible)
	atLeast := max(0, reported-len(e.running)-len(e.ended))
	exclusive := e.targetShare == 1 && e.share == 1
	switch {
	case !exclusive || !e.othersKnown:
		e.others = atMost
	default:
		e.others = max(atLeast, min(e.others, atMost))
	}
	e.othersKnown = exclusive && !now.Before(e.owned.After)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
