// Package rollout decides how the requests of a service move to a new release: a
// small trial share, then a growing one, then all, or none again if the evidence
// of all daemons shows that the release is bad. It performs no I/O and reads no
// clock.
//
// The trial is long, because a release may degrade late, under load, or on one
// route only, and must not get more than a bounded share of the requests until it
// has proved to be good. The trial diverts a small part of the normal load; the old
// release keeps its endpoints until the end.
package rollout

import (
	"math"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines a rollout and its stages.

// Stages of a rollout, as fractions of its duration.
const (
	// trialStart leaves the endpoints of the release time for their cold start:
	// while they accept few requests, whether a session gets the release would
	// depend on the daemon that serves it.
	trialStart = 0.2
	// sessionsStart follows the first half, in which sessions must keep their
	// release, by a margin for the differing times at which daemons receive
	// the order.
	sessionsStart = 0.52
	// trialEnd is late, because a release may degrade after a while and because
	// its answers to sessions have to be observed.
	trialEnd    = 0.56
	wideningEnd = 0.75
	// wideningStep is the increase in the release's share per step. All daemons
	// take a step at the same time.
	wideningStep = 0.05
	// completionStart leaves time for requests on the old release to end and
	// for a slow store.
	completionStart = 0.87
	// trialExposure is the fraction of the allowed exposure that the trial
	// uses. The rest covers requests until the release is found to be bad.
	trialExposure = 0.5
	// roundingMargin exceeds the rounding error of the time until a change
	// point. Without it some daemons would check too early and apply the change
	// only at the next change point.
	roundingMargin = time.Millisecond
	// minAnswers is the minimum number of answers of a release before its trial
	// can end.
	minAnswers = 10
)

// Settings are the limits of a rollout.
type Settings struct {
	// Exposure is the maximum share of all requests that a bad release may get.
	Exposure float64
}

// Rollout carries out one order. It is not safe for concurrent use.
type Rollout struct {
	settings Settings
	order    fescuelatch.RolloutOrder
	started  time.Time
	machine  *chart.Machine
	own      Evidence
	peers    map[fescuelatch.VMID]Evidence
	baseline map[latencyKey]*meanLatency
	paces    paces
}

// New returns a rollout that starts at now.
func New(s Settings, o fescuelatch.RolloutOrder, now time.Time) *Rollout {
	return &Rollout{
		settings: s, order: o, started: now, machine: chart.Rollout().New(),
		own:      newEvidence(o.Revision),
		peers:    make(map[fescuelatch.VMID]Evidence),
		baseline: make(map[latencyKey]*meanLatency),
		paces:    make(paces),
	}
}

// SetSettings replaces the settings.
func (r *Rollout) SetSettings(s Settings) { r.settings = s }

// Order returns the order.
func (r *Rollout) Order() fescuelatch.RolloutOrder { return r.order }

// Reissue continues the rollout under o, the same order written again.
func (r *Rollout) Reissue(o fescuelatch.RolloutOrder) {
	r.order = o
	r.own.Revision = o.Revision
}

// State returns the stage of the rollout.
func (r *Rollout) State() chart.State { return r.machine.State() }

// Elapsed returns the time since the rollout started.
func (r *Rollout) Elapsed(now time.Time) time.Duration { return now.Sub(r.started) }

// AdoptElapsed adopts the elapsed time of another daemon that received the order
// earlier. A daemon that starts during the rollout thereby gets the stage.
func (r *Rollout) AdoptElapsed(now time.Time, elapsed time.Duration) {
	if started := now.Add(-elapsed); started.Before(r.started) {
		r.started = started
	}
}

// Advance updates the stage by the current time and evidence, and reports whether
// it has changed.
func (r *Rollout) Advance(now time.Time) bool {
	before := r.machine.State()
	if r.Bad() {
		r.fire(chart.EventCondemn)
	}
	progress := r.progress(now)
	if progress >= trialEnd && r.targetAnswers() >= minAnswers {
		r.fire(chart.EventWiden)
	}
	if progress >= wideningEnd {
		r.fire(chart.EventMoved)
	}
	return r.machine.State() != before
}

// Sessions reports whether sessions may move to the new release. Before that, it
// only gets requests without a session.
func (r *Rollout) Sessions(now time.Time) bool {
	return r.progress(now) >= sessionsStart
}

// progress returns the elapsed fraction of the rollout's duration.
func (r *Rollout) progress(now time.Time) float64 {
	return float64(r.Elapsed(now)) / float64(r.order.Duration)
}

// Next returns the time until the next change point, or the duration of the
// rollout if there is none.
func (r *Rollout) Next(now time.Time) time.Duration {
	progress := r.progress(now)
	for _, next := range changePoints() {
		if next > progress {
			return time.Duration((next-progress)*float64(r.order.Duration)) + roundingMargin
		}
	}
	return r.order.Duration
}

// changePoints returns, in order, the fractions of the duration at which the
// release's requests may change.
func changePoints() []float64 {
	ms := []float64{trialStart, sessionsStart}
	for grown := 0.0; grown < 1; grown += wideningStep {
		ms = append(ms, trialEnd+grown*(wideningEnd-trialEnd))
	}
	return append(ms, wideningEnd, completionStart)
}

// Share returns the share of the requests that the new release gets.
func (r *Rollout) Share(now time.Time) float64 {
	trial := trialExposure * r.settings.Exposure
	switch r.machine.State() {
	case chart.RolloutTrial:
		if r.progress(now) < trialStart {
			return 0
		}
		return trial
	case chart.RolloutWidening:
		grown := (r.progress(now) - trialEnd) / (wideningEnd - trialEnd)
		return min(1, max(trial, wideningStep*math.Floor(grown/wideningStep)))
	case chart.RolloutMoved, chart.RolloutCompleted:
		return 1
	default:
		return 0
	}
}

// Verdict returns the state to record for operators.
func (r *Rollout) Verdict(now time.Time) fescuelatch.RolloutState {
	switch r.machine.State() {
	case chart.RolloutCondemned, chart.RolloutRolledBack:
		return fescuelatch.RolloutRolledBack
	case chart.RolloutCompleted:
		return fescuelatch.RolloutCompleted
	case chart.RolloutMoved:
		if r.progress(now) >= completionStart {
			return fescuelatch.RolloutCompleted
		}
	}
	return fescuelatch.RolloutInProgress
}

// ApplyRecorded applies the recorded state, which is binding also for a daemon that has
// judged otherwise, and reports whether the stage has changed.
func (r *Rollout) ApplyRecorded(s fescuelatch.RolloutState) bool {
	before := r.machine.State()
	switch s {
	case fescuelatch.RolloutCompleted:
		r.fire(chart.EventComplete)
	case fescuelatch.RolloutRolledBack:
		r.fire(chart.EventRollBack)
	}
	return r.machine.State() != before
}

// Excluded reports whether the release was found bad and gets no requests.
func (r *Rollout) Excluded() bool {
	return r.machine.State() == chart.RolloutCondemned || r.machine.State() == chart.RolloutRolledBack
}

// fire makes a transition if the current stage has it.
func (r *Rollout) fire(e chart.Event) {
	if r.machine.Can(e) {
		// Can has reported that the transition exists.
		_ = r.machine.Fire(e)
	}
}
