package quality

import (
	"math"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the verdict on a version and the rules that change it.

// verdict is the state of a version and the data that its rules need.
type verdict struct {
	machine *chart.Machine
	// epoch is the start of the quarantine, until its probation is passed.
	// Evidence begun earlier concerns the fault and does not count for the
	// probation.
	epoch time.Time
	// until is the end of the quarantine.
	until time.Time
	// passed is when the last probation was passed.
	passed time.Time
	// length is the length of the last quarantine.
	length time.Duration
}

// health returns the exported form of the verdict.
func (v *verdict) health() fescuelatch.Health {
	switch v.machine.State() {
	case chart.ModelVersionQuarantined, chart.ModelVersionRemoved:
		return fescuelatch.HealthQuarantined
	case chart.ModelVersionSuspect, chart.ModelVersionProbation:
		return fescuelatch.HealthSuspect
	default:
		return fescuelatch.HealthGood
	}
}

// fire makes the transition for e if the chart has one from the current state.
func (v *verdict) fire(e chart.Event) {
	if v.machine.Can(e) {
		_ = v.machine.Fire(e)
	}
}

// alarms holds the thresholds of the change detector.
type alarms struct {
	suspect, quarantine, probation thresholds
}

func newAlarms(s *Settings) alarms {
	return alarms{
		suspect:    thresholds{rate: s.SuspectRate / statisticCount},
		quarantine: thresholds{rate: s.QuarantineRate / statisticCount},
		probation:  thresholds{rate: s.ProbationRate / statisticCount},
	}
}

// statisticCount is the number of statistics that can raise an alarm: that of
// this daemon, the sum of those of all daemons, and that over the ratings of
// all daemons. Each gets an equal part of the rate of false alarms.
const statisticCount = 3

// level returns the largest of the statistics as a multiple of its threshold.
func (t *thresholds) level(r *record, c counts) float64 {
	return max(r.own.Alarm/t.at(1), c.alarm/t.at(c.origins), float64(r.pooledSum)/t.pooled(c.origins))
}

// smallFleet is the number of daemons up to which the rate of false alarms
// applies to each rating in the fleet.
const smallFleet = 16

// pooled returns the threshold of the statistic over the ratings of n
// daemons. In larger fleets the rate is divided by their number, so that
// false alarms do not become more frequent in time as ratings do.
func (t *thresholds) pooled(n int) float64 {
	return t.at(1) + math.Log(max(1, float64(n)/smallFleet))
}

// raised reports whether a statistic has reached its threshold.
func (t *thresholds) raised(r *record, c counts) bool { return t.level(r, c) >= 1 }

// applyRules applies the rules of the current state at now.
func (r *record) applyRules(now time.Time, s *Settings, a *alarms) {
	switch r.verdict.machine.State() {
	case chart.ModelVersionGood, chart.ModelVersionSuspect:
		r.checkInUse(now, s, a)
	case chart.ModelVersionQuarantined:
		r.endQuarantine(now)
	case chart.ModelVersionProbation:
		r.checkProbation(now, s, a)
	}
}

// checkInUse updates the verdict on a version in use.
func (r *record) checkInUse(now time.Time, s *Settings, a *alarms) {
	c := r.counts(now, s)
	switch {
	case a.quarantine.raised(r, c):
		r.quarantine(now, s)
	case a.suspect.raised(r, c):
		r.verdict.fire(chart.EventDoubt)
	default:
		r.verdict.fire(chart.EventClear)
	}
}

// quarantine stops all use of the version for a time that doubles with each
// relapse.
func (r *record) quarantine(now time.Time, s *Settings) {
	v := &r.verdict
	length := s.Quarantine
	relapse := v.length > 0 && (v.machine.State() == chart.ModelVersionProbation || now.Sub(v.passed) < s.MaxQuarantine)
	if relapse {
		length = min(2*v.length, s.MaxQuarantine)
	}
	v.fire(chart.EventQuarantine)
	v.epoch, v.until, v.length = now, now.Add(length), length
}

// endQuarantine begins the probation once the quarantine is over.
func (r *record) endQuarantine(now time.Time) {
	if now.Before(r.verdict.until) {
		return
	}
	r.verdict.fire(chart.EventRelease)
	r.reset(now)
}

// checkProbation ends the probation by a sequential test on the evidence since
// the quarantine.
func (r *record) checkProbation(now time.Time, s *Settings, a *alarms) {
	c := r.counts(now, s)
	switch {
	case a.probation.raised(r, c):
		r.quarantine(now, s)
	case r.passesProbation(c, s):
		r.verdict.fire(chart.EventPass)
		r.verdict.passed = now
		r.verdict.epoch = time.Time{}
		r.invalidateSums()
	}
}

// passesProbation reports whether the evidence rejects the hypothesis that the
// version is still bad. Without ratings, attempts decide.
func (r *record) passesProbation(c counts, s *Settings) bool {
	bound := math.Log(s.MissRate)
	if c.rated > 0 {
		return r.ratings.sum(c.good, c.rated-c.good) <= bound
	}
	return r.attempts.sum(c.attempts-c.failed, c.failed) <= bound
}
