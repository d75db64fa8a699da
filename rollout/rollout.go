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
	// trialEnd is the earliest end of the trial. It is late, because a release may
	// degrade after a while and because its answers to sessions have to be observed.
	trialEnd = 0.56
	// wideningTime is the time in which the release's share grows to the whole.
	wideningTime = 0.12
	// wideningStep is the increase in the release's share per step. All daemons
	// take a step at the same time.
	wideningStep = 0.05
	// completionStart is the earliest completion, and settlingTime the time that
	// requests on the old release have to end.
	completionStart = 0.87
	settlingTime    = 0.09
	// trialExposure is the fraction of the allowed exposure that the trial
	// uses. The rest covers requests until the release is found to be bad.
	trialExposure = 0.5
	// sessionTrialExposure is the fraction of the allowed exposure that the trial of
	// sessions uses within sessionTrialTime. Where all requests have sessions there is
	// no other trial, and it has to show the release's quality in a short time.
	sessionTrialExposure = 0.25
	sessionTrialTime     = 0.2
	// roundingMargin exceeds the rounding error of the time until a change
	// point. Without it some daemons would check too early and apply the change
	// only at the next change point.
	roundingMargin = time.Millisecond
	// minAnswers and minTargetPaces are the minimum numbers of a release's answers
	// and, where those of the others are known, paces before its trial can end.
	minAnswers     = 10
	minTargetPaces = 4
	// wideningLead is the time between the decision to widen and the first step, in
	// which all daemons learn of it.
	wideningLead = 800 * time.Millisecond
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
	// peersSum is the sum of the evidence of peers. It is kept up to date, since a fleet
	// has many daemons.
	peersSum Evidence
	baseline map[latencyKey]*meanLatency
	paces    paces
	// widening is the elapsed time at which widening starts, or zero while that is
	// undecided.
	widening time.Duration
}

// New returns a rollout that starts at now.
func New(s Settings, o fescuelatch.RolloutOrder, now time.Time) *Rollout {
	return &Rollout{
		settings: s, order: o, started: now, machine: chart.Rollout().New(),
		own:      newEvidence(o.Revision),
		peers:    make(map[fescuelatch.VMID]Evidence),
		peersSum: newEvidence(o.Revision),
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
	if r.widening > 0 && r.Elapsed(now) >= r.widening {
		r.fire(chart.EventWiden)
		if r.Elapsed(now) >= r.widening+r.fraction(wideningTime) {
			r.fire(chart.EventMoved)
		}
	}
	return r.machine.State() != before
}

// Ready reports whether the evidence suffices to end the trial. Until then nothing is
// known of the release, however long the trial has lasted.
func (r *Rollout) Ready() bool {
	if r.machine.State() != chart.RolloutTrial || r.Bad() || r.targetAnswers() < minAnswers {
		return false
	}
	target, others := r.paceCounts()
	return others.Answers < minAnswers || target.Answers >= minTargetPaces
}

// WideningStart returns the elapsed time at which a rollout that is ready now should
// widen.
func (r *Rollout) WideningStart(now time.Time) time.Duration {
	return max(r.fraction(trialEnd), r.Elapsed(now)+wideningLead)
}

// AdoptWidening adopts the elapsed time at which all daemons start to widen. It does not
// change once this daemon has started.
func (r *Rollout) AdoptWidening(at time.Duration) {
	if r.machine.State() == chart.RolloutTrial {
		r.widening = at
	}
}

// Widening returns the elapsed time at which widening starts, or zero while that is
// undecided.
func (r *Rollout) Widening() time.Duration { return r.widening }

// fraction returns a fraction of the rollout's duration.
func (r *Rollout) fraction(f float64) time.Duration {
	return time.Duration(f * float64(r.order.Duration))
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
	elapsed := r.Elapsed(now)
	for _, next := range r.changePoints() {
		if next > elapsed {
			return next - elapsed + roundingMargin
		}
	}
	return r.order.Duration
}

// changePoints returns, in order, the elapsed times at which the release's requests
// may change.
func (r *Rollout) changePoints() []time.Duration {
	ps := []time.Duration{r.fraction(trialStart), r.fraction(sessionsStart)}
	if r.widening == 0 {
		return ps
	}
	for grown := 0.0; grown < 1; grown += wideningStep {
		ps = append(ps, r.widening+r.fraction(grown*wideningTime))
	}
	return append(ps, r.widening+r.fraction(wideningTime), r.completion())
}

// completion returns the elapsed time at which a rollout that widens is completed.
func (r *Rollout) completion() time.Duration {
	return max(r.fraction(completionStart), r.widening+r.fraction(wideningTime+settlingTime))
}

// Share returns the share of the requests that the new release gets.
func (r *Rollout) Share(now time.Time) float64 {
	trial := trialExposure * r.settings.Exposure
	if r.Sessions(now) {
		trial = max(trial, sessionTrialExposure*r.settings.Exposure/sessionTrialTime)
	}
	switch r.machine.State() {
	case chart.RolloutTrial:
		if r.progress(now) < trialStart {
			return 0
		}
		return trial
	case chart.RolloutWidening:
		grown := float64(r.Elapsed(now)-r.widening) / float64(r.fraction(wideningTime))
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
		if r.Elapsed(now) >= r.completion() {
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
