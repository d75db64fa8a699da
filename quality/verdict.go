package quality

import (
	"math"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the verdict on a version and the rules that change it.

// verdict is the state of a version with what its rules need.
type verdict struct {
	machine *chart.Machine
	// epoch is the start of the quarantine until its probation is passed.
	// Evidence begun before it is about the fault and does not count for the
	// probation.
	epoch time.Time
	// until is the end of the quarantine.
	until time.Time
	// cleared is the end of the last probation.
	cleared time.Time
	// length is the length of the last quarantine.
	length time.Duration
}

// health returns what callers see of the verdict.
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

// fire makes the transition of e where the chart has one from the present
// state.
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
		suspect:    thresholds{rate: s.SuspectRate / 2},
		quarantine: thresholds{rate: s.QuarantineRate / 2},
		probation:  thresholds{rate: s.ProbationRate / 2},
	}
}

// raised reports whether this daemon's statistic, or the sum over all
// daemons, exceeds its threshold. Each of the two takes half of the rate of
// false alarms.
func (t *thresholds) raised(own float64, c counts) bool {
	return own >= t.at(1) || c.alarm >= t.at(c.origins)
}

// step applies the rules that hold at now.
func (r *record) step(now time.Time, s *Settings, a *alarms) {
	switch r.verdict.machine.State() {
	case chart.ModelVersionGood, chart.ModelVersionSuspect:
		r.watch(now, s, a)
	case chart.ModelVersionQuarantined:
		r.release(now)
	case chart.ModelVersionProbation:
		r.probe(now, s, a)
	}
}

// watch quarantines or suspects a version in use.
func (r *record) watch(now time.Time, s *Settings, a *alarms) {
	c := r.counts(now, s)
	switch {
	case a.quarantine.raised(r.own.Alarm, c):
		r.quarantine(now, s)
	case a.suspect.raised(r.own.Alarm, c):
		r.verdict.fire(chart.EventDoubt)
	default:
		r.verdict.fire(chart.EventClear)
	}
}

// quarantine stops all use of the version for a time that doubles at each
// relapse.
func (r *record) quarantine(now time.Time, s *Settings) {
	v := &r.verdict
	length := s.Quarantine
	relapse := v.length > 0 && (v.machine.State() == chart.ModelVersionProbation || now.Sub(v.cleared) < s.MaxQuarantine)
	if relapse {
		length = min(2*v.length, s.MaxQuarantine)
	}
	v.fire(chart.EventQuarantine)
	v.epoch, v.until, v.length = now, now.Add(length), length
}

// release begins the probation once the quarantine has passed.
func (r *record) release(now time.Time) {
	if now.Before(r.verdict.until) {
		return
	}
	r.verdict.fire(chart.EventRelease)
	r.reset(now)
}

// probe ends the probation by a sequential test on the evidence since the
// quarantine.
func (r *record) probe(now time.Time, s *Settings, a *alarms) {
	c := r.counts(now, s)
	switch {
	case a.probation.raised(r.own.Alarm, c):
		r.quarantine(now, s)
	case r.passes(c, s):
		r.verdict.fire(chart.EventPass)
		r.verdict.cleared = now
		r.verdict.epoch = time.Time{}
		r.refresh()
	}
}

// passes reports whether the evidence rejects that the version is still bad.
// Ratings decide; where nothing is rated, attempts do.
func (r *record) passes(c counts, s *Settings) bool {
	bound := math.Log(s.MissRate)
	if c.rated > 0 {
		return r.ratings.sum(c.good, c.rated-c.good) <= bound
	}
	return r.attempts.sum(c.attempts-c.failed, c.failed) <= bound
}
