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
		suspect:    thresholds{rate: s.SuspectRate / statistics},
		quarantine: thresholds{rate: s.QuarantineRate / statistics},
		probation:  thresholds{rate: s.ProbationRate / statistics},
	}
}

// statistics is the number of statistics that can raise an alarm: that of
// this daemon, the sum of those of all daemons, and that over the ratings of
// all daemons. Each takes its part of the rate of false alarms.
const statistics = 3

// level returns the largest of the statistics as a multiple of its threshold.
func (t *thresholds) level(r *record, c counts) float64 {
	return max(r.own.Alarm/t.at(1), c.alarm/t.at(c.origins), float64(r.pooledSum)/t.pooled(c.origins))
}

// smallFleet is the number of daemons up to which the rate of false alarms is
// that for each rating in the fleet.
const smallFleet = 16

// pooled returns the threshold of the statistic over the ratings of n
// daemons. In larger fleets the rate is divided by their number, so that
// false alarms do not become more frequent in time as ratings do.
func (t *thresholds) pooled(n int) float64 {
	return t.at(1) + math.Log(max(1, float64(n)/smallFleet))
}

// raised reports whether a statistic has reached its threshold.
func (t *thresholds) raised(r *record, c counts) bool { return t.level(r, c) >= 1 }

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
	case a.quarantine.raised(r, c):
		r.quarantine(now, s)
	case a.suspect.raised(r, c):
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
	case a.probation.raised(r, c):
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
