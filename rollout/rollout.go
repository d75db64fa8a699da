// Package rollout decides how the requests of a service move to a new release:
// a small share on trial, then more, then all, or none again once the evidence
// of all daemons says that the release is bad. It does no input or output and
// reads no clock.
//
// The trial is long. A release may turn bad late, under load, or for one route
// only, and until it is known to be good it must not get more than a bounded
// part of the requests. The load that this answers is the usual one with a
// small part diverted; the old release keeps its endpoints until the end.
package rollout

import (
	"math"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines a roll-out and its stages.

// Stages of a roll-out, as parts of the time that the order gives.
const (
	// trialFrom leaves the endpoints of the release time for their cold start:
	// while they accept little, whether a session gets the release would depend
	// on the daemon that it meets.
	trialFrom = 0.2
	// sessionsFrom is after the half of the time in which sessions must keep
	// their release, by what daemons may differ in their sight of the order.
	sessionsFrom = 0.52
	// trialUntil is late, since a release may turn bad after a while, and
	// leaves time to see how it serves sessions.
	trialUntil = 0.56
	widenUntil = 0.75
	// widenStep is the part of the requests that the release gets more of at
	// a time. All daemons take a step at the same time.
	widenStep = 0.05
	// completeFrom leaves time for what runs on the old release to end and
	// for a store that is slow.
	completeFrom = 0.87
	// trialUse is the part of the allowed exposure that the trial uses. The
	// rest is for what the release gets until it is found bad.
	trialUse = 0.5
	// momentMargin is beyond what rounding may take from the time until a
	// moment. Without it some daemons would look too early and see the change
	// with the next one only.
	momentMargin = time.Millisecond
	// minAnswers is the number of answers of a release without which its
	// trial goes on.
	minAnswers = 10
)

// Settings bound a roll-out.
type Settings struct {
	// Exposure is the part of all requests that a bad release may get.
	Exposure float64
}

// Rollout is one order under way. It is not safe for concurrent use.
type Rollout struct {
	settings Settings
	order    fescuelatch.RolloutOrder
	began    time.Time
	life     *chart.Machine
	own      Evidence
	peers    map[fescuelatch.VMID]Evidence
	usual    map[fescuelatch.RouteID]*latency
}

// New returns a roll-out that begins now.
func New(s Settings, o fescuelatch.RolloutOrder, now time.Time) *Rollout {
	return &Rollout{
		settings: s, order: o, began: now, life: chart.Rollout().New(),
		own:   newEvidence(o.Revision),
		peers: make(map[fescuelatch.VMID]Evidence),
		usual: make(map[fescuelatch.RouteID]*latency),
	}
}

// Set brings other settings into force.
func (r *Rollout) Set(s Settings) { r.settings = s }

// Order returns the order that is carried out.
func (r *Rollout) Order() fescuelatch.RolloutOrder { return r.order }

// Reissue goes on under the same order, as it was written again.
func (r *Rollout) Reissue(o fescuelatch.RolloutOrder) {
	r.order = o
	r.own.Revision = o.Revision
}

// State returns the stage of the roll-out.
func (r *Rollout) State() chart.State { return r.life.State() }

// Elapsed returns the time since the roll-out began.
func (r *Rollout) Elapsed(now time.Time) time.Duration { return now.Sub(r.began) }

// Began takes in that another daemon has counted more time, as it saw the
// order earlier. A daemon that starts in the middle learns the stage by this.
func (r *Rollout) Began(now time.Time, elapsed time.Duration) {
	if began := now.Add(-elapsed); began.Before(r.began) {
		r.began = began
	}
}

// Advance moves on to the stage of the present time and evidence, and reports
// whether the stage has changed.
func (r *Rollout) Advance(now time.Time) bool {
	before := r.life.State()
	if r.Bad() {
		r.fire(chart.EventCondemn)
	}
	part := r.part(now)
	if part >= trialUntil && r.answers() >= minAnswers {
		r.fire(chart.EventWiden)
	}
	if part >= widenUntil {
		r.fire(chart.EventMoved)
	}
	return r.life.State() != before
}

// Sessions reports whether sessions may move to the new release. Before, it
// gets requests without a session only.
func (r *Rollout) Sessions(now time.Time) bool {
	return r.part(now) >= sessionsFrom
}

// part returns the part of the order's time that has passed.
func (r *Rollout) part(now time.Time) float64 {
	return float64(r.Elapsed(now)) / float64(r.order.Within)
}

// Next returns the time until the next moment at which the passing of time
// changes what the release gets, or a long one when there is none.
func (r *Rollout) Next(now time.Time) time.Duration {
	part := r.part(now)
	for _, next := range moments() {
		if next > part {
			return time.Duration((next-part)*float64(r.order.Within)) + momentMargin
		}
	}
	return r.order.Within
}

// moments returns, in order, the parts of an order's time at which what the
// release gets may change.
func moments() []float64 {
	ms := []float64{trialFrom, sessionsFrom}
	for grown := 0.0; grown < 1; grown += widenStep {
		ms = append(ms, trialUntil+grown*(widenUntil-trialUntil))
	}
	return append(ms, widenUntil, completeFrom)
}

// Share returns the part of the requests that the new release gets.
func (r *Rollout) Share(now time.Time) float64 {
	trial := trialUse * r.settings.Exposure
	switch r.life.State() {
	case chart.RolloutTrial:
		if r.part(now) < trialFrom {
			return 0
		}
		return trial
	case chart.RolloutWidening:
		grown := (r.part(now) - trialUntil) / (widenUntil - trialUntil)
		return min(1, max(trial, widenStep*math.Floor(grown/widenStep)))
	case chart.RolloutMoved, chart.RolloutCompleted:
		return 1
	default:
		return 0
	}
}

// Verdict returns the state that is to be recorded for operators.
func (r *Rollout) Verdict(now time.Time) fescuelatch.RolloutState {
	switch r.life.State() {
	case chart.RolloutRolledBack:
		return fescuelatch.RolloutRolledBack
	case chart.RolloutCompleted:
		return fescuelatch.RolloutCompleted
	case chart.RolloutMoved:
		if r.part(now) >= completeFrom {
			return fescuelatch.RolloutCompleted
		}
	}
	return fescuelatch.RolloutInProgress
}

// Recorded takes in the state that has been recorded, which binds.
func (r *Rollout) Recorded(s fescuelatch.RolloutState) {
	switch s {
	case fescuelatch.RolloutCompleted:
		r.fire(chart.EventComplete)
	case fescuelatch.RolloutRolledBack:
		r.fire(chart.EventCondemn)
	}
}

// fire makes a transition if the present stage has it.
func (r *Rollout) fire(e chart.Event) {
	if r.life.Can(e) {
		// Can has said that there is a transition.
		_ = r.life.Fire(e)
	}
}
