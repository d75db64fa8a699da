package shared

import (
	"math"
	"time"

	"fescuelatch"
	"fescuelatch/internal/stall"
	"fescuelatch/servicetime"
)

// This file defines the state that the gate keeps for one endpoint.

// endpointLoad is one process of an endpoint with its load.
type endpointLoad struct {
	owned   fescuelatch.OwnedEndpoint
	running map[fescuelatch.AttemptID]*attempt
	cache   cache
	hint    hint
	// domain is its failure domain, or nil if it has not been looked up.
	domain *domain

	// others is the load from other daemons at the time reported.
	others   float64
	reported time.Time

	// nextStart is when this daemon may next start an attempt while the endpoint
	// is cold.
	nextStart time.Time

	// failureRate is the weighted share of failures among recent attempts.
	failureRate float64
	// slowdown is the weighted ratio of the time to the first output to the
	// expected one.
	slowdown float64
	// speed is the estimated service time, for contended versions.
	speed servicetime.Estimate
	// uneven reports that the latest report of its load had a service time.
	uneven       bool
	ejectedUntil time.Time
	// ejections counts consecutive ejections; trial is the single attempt
	// that decides whether the endpoint is ejected again.
	ejections int
	trial     fescuelatch.AttemptID
	// unreachable reports that the endpoint gets no work until it accepts a
	// connection; nextProbe is when the endpoint is probed next.
	unreachable bool
	nextProbe   time.Time
	// brittleSince is when the endpoint last said that it is brittle, or is not.
	brittleSince time.Time
	// misplacedUntil is until when the endpoint gets no work unless it registers
	// again, since another endpoint has answered at its address.
	misplacedUntil time.Time
	// lastResponse is when an attempt last began or ended its output.
	lastResponse time.Time
	// unanswered is the time of the attempts since then that stalls have hidden.
	unanswered waited
}

// waited is the time for which this daemon ran during attempts that have had no output.
type waited struct {
	ran   time.Duration
	until time.Time
}

// add adds the time of an attempt, as far as it is not that of others before.
func (w *waited) add(from, to time.Time, stalls *stall.Log) {
	if from.Before(w.until) {
		from = w.until
	}
	w.ran += max(0, stalls.Ran(from, to, minHidingStall))
	w.until = to
}

func newEndpointLoad(now time.Time, o fescuelatch.OwnedEndpoint, previous *endpointLoad) *endpointLoad {
	e := &endpointLoad{
		owned: o, running: make(map[fescuelatch.AttemptID]*attempt), cache: newCache(o.CacheTokens), lastResponse: now, slowdown: 1,
	}
	if previous != nil && previous.owned.Endpoint.Address == o.Endpoint.Address {
		// Attempts at the previous process end by themselves.
		e.running = previous.running
	}
	return e
}

func (e *endpointLoad) update(now time.Time, o fescuelatch.OwnedEndpoint, phase time.Duration) {
	if o.ColdUntil.After(now) && !e.owned.ColdUntil.After(now) {
		e.nextStart = now.Add(phase)
	}
	if e.nextStart.IsZero() {
		e.nextStart = now.Add(phase)
	}
	e.owned, e.domain = o, nil
}

func (e *endpointLoad) slots() int { return max(e.owned.Pool.Slots, 1) }

// busy estimates the attempts at the endpoint, including those of other
// daemons.
func (e *endpointLoad) busy(now time.Time) int {
	return len(e.running) + int(math.Round(e.othersLoad(now)))
}

// othersLoad estimates the load of other daemons. The reported value decays with
// its age.
func (e *endpointLoad) othersLoad(now time.Time) float64 {
	if e.others == 0 {
		return 0
	}
	return e.others * math.Exp2(-float64(now.Sub(e.reported))/float64(reportHalfLife))
}

func (e *endpointLoad) report(now time.Time, r fescuelatch.LoadReport) {
	e.others = max(0, float64(r.Running+r.Waiting-len(e.running)))
	e.reported = now
}

// cold reports whether the endpoint is in a cold start, which bounds its load.
func (e *endpointLoad) cold(now time.Time) bool {
	return e.owned.ColdRate > 0 && now.Before(e.owned.ColdUntil)
}

// open reports whether the endpoint may get new work at all. An unused start slot at
// a cold endpoint expires, or else many daemons would use expired slots at once.
func (e *endpointLoad) open(now time.Time) bool {
	if e.out() || e.paused(now) || e.isUnreachable(now) || now.Before(e.ejectedUntil) || e.trial != "" {
		return false
	}
	return !e.cold(now) || (!now.Before(e.nextStart) && now.Before(e.nextStart.Add(coldWindow)))
}

// skipMissedStarts moves nextStart past start slots that have expired.
func (e *endpointLoad) skipMissedStarts(now time.Time, interval time.Duration) {
	if !e.cold(now) || interval <= 0 || now.Before(e.nextStart.Add(coldWindow)) {
		return
	}
	missed := now.Sub(e.nextStart)/interval + 1
	e.nextStart = e.nextStart.Add(missed * interval)
	if interval <= coldWindow {
		e.nextStart = now
	}
}

func (e *endpointLoad) start(now time.Time, a *attempt, interval time.Duration) {
	e.running[a.work.Attempt] = a
	if e.cold(now) {
		e.nextStart = now.Add(interval)
	}
	if e.ejections > 0 {
		e.trial = a.work.Attempt
	}
}

func (e *endpointLoad) responded(now time.Time) { e.lastResponse, e.unanswered = now, waited{} }

// observeFirst compares the time to the first output with the expected one.
func (e *endpointLoad) observeFirst(now time.Time, took, expected time.Duration) {
	ratio := float64(took) / float64(max(expected, time.Millisecond))
	e.slowdown += failureWeight * (min(ratio, 2*slowLimit) - e.slowdown)
	e.recover(now)
}

// end records the end of an attempt. unanswered reports whether the endpoint should have
// answered it by then.
func (e *endpointLoad) end(now time.Time, a *attempt, r fescuelatch.AttemptResult, unanswered bool, s Settings) {
	delete(e.running, a.work.Attempt)
	wasTrial := e.trial == a.work.Attempt
	if wasTrial {
		e.trial = ""
	}
	switch r.Status {
	case fescuelatch.AttemptAnswered:
		e.responded(now)
		e.failureRate -= failureWeight * e.failureRate
		e.ejections = 0
	case fescuelatch.AttemptNotStarted:
		if r.Unsent && !r.Unreachable {
			return // The attempt says nothing about the endpoint.
		}
		if r.WrongEndpoint {
			e.misplacedUntil = now.Add(misplacedTimeout)
			return
		}
		if r.Unreachable {
			e.markUnreachable(now)
			return
		}
		if r.Overloaded {
			e.others = max(e.others, float64(e.slots()))
			e.reported = now
			return
		}
		e.recordFailure(now, 1, wasTrial, s)
	case fescuelatch.AttemptCancelled, fescuelatch.AttemptExpired:
		if unanswered {
			e.recordFailure(now, 1, wasTrial, s)
		}
	case fescuelatch.AttemptBroken:
		if r.Replaced {
			return
		}
		if r.Unreachable {
			e.markUnreachable(now)
			return
		}
		e.recordFailure(now, 1, wasTrial, s)
	case fescuelatch.AttemptFailed:
		e.responded(now)
		e.recordFailure(now, 0, wasTrial, s)
	}
}

// recordFailure counts a failed attempt. A failed or broken connection is stronger
// evidence than an answer with an error, which may be due to the request; weight is
// the extra weight of the former.
func (e *endpointLoad) recordFailure(now time.Time, weight float64, wasTrial bool, s Settings) {
	e.failureRate += failureWeight * (1 + weight) * (1 - e.failureRate)
	if e.failureRate >= failureLimit || wasTrial {
		e.eject(now, s)
	}
}

// misplacedTimeout is twice the usual maximum age of the view of the endpoints.
const misplacedTimeout = 2 * time.Second

// isMisplaced reports whether another endpoint answers at the endpoint's address.
func (e *endpointLoad) isMisplaced(now time.Time) bool { return now.Before(e.misplacedUntil) }

func (e *endpointLoad) isUnreachable(now time.Time) bool { return e.unreachable || e.isMisplaced(now) }

// markUnreachable stops work to the endpoint until it accepts a connection.
func (e *endpointLoad) markUnreachable(now time.Time) {
	e.unreachable = true
	e.nextProbe = now.Add(probeInterval)
}

// eject stops work to the endpoint for a time that doubles with each ejection.
func (e *endpointLoad) eject(now time.Time, s Settings) {
	backoff := min(s.Eject<<min(e.ejections, maxDoublings), s.MaxEject)
	e.ejections++
	e.ejectedUntil = now.Add(backoff)
}

// maxDoublings keeps the shifted ejection time from overflowing.
const maxDoublings = 8

// recover ends the trial phase after an ejection once the endpoint answers.
func (e *endpointLoad) recover(now time.Time) {
	if now.After(e.ejectedUntil) {
		e.ejections = 0
		e.trial = ""
	}
}

// uncachedTokens returns the prompt tokens of w, whose prefixes are given, that are assumed not
// to be in the endpoint's cache.
func (e *endpointLoad) uncachedTokens(w fescuelatch.Work, prefixes []prefix) int {
	return max(0, w.Request.PromptTokens-e.cache.cachedTokens(prefixes))
}
