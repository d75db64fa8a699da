// Package quality learns the quality and health of versions.
//
// Ratings of answers are late, sampled and noisy. A Model combines them with the
// configured quality as a prior, decays them with a half-life, and estimates
// the quality with an interval. A change detector monitors ratings and broken
// attempts, and moves a version from good to suspect to quarantined with a
// bounded rate of false alarms. After a quarantine, the version is on probation
// and either returns or is quarantined for longer.
//
// Daemons exchange evidence, so that each needs fewer ratings to detect a change.
//
// Static is the baseline that never learns.
package quality

import (
	"math"
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines Model.

var (
	_ fescuelatch.QualityModel = (*Model)(nil)
	_ fescuelatch.QualityModel = (*Static)(nil)
)

// Model learns the quality and health of versions. Create it with New.
type Model struct {
	origin   fescuelatch.Incarnation
	settings Settings
	alarms   alarms
	records  map[fescuelatch.VersionID]*record
	order    []fescuelatch.VersionID
	// failed is the version that failed last, at failedAt.
	failed   fescuelatch.VersionID
	failedAt time.Time
}

// New returns a model for the daemon origin.
func New(origin fescuelatch.Incarnation, s Settings) *Model {
	s = s.withDefaults()
	return &Model{
		origin:   origin,
		settings: s,
		alarms:   newAlarms(&s),
		records:  make(map[fescuelatch.VersionID]*record),
	}
}

// Configure implements fescuelatch.QualityModel.
func (m *Model) Configure(now time.Time, versions []fescuelatch.Version) {
	records := make(map[fescuelatch.VersionID]*record, len(versions))
	m.order = m.order[:0]
	for _, v := range versions {
		r := m.records[v.ID]
		if r == nil {
			r = newRecord(now, m.origin, v.ID)
		}
		r.configure(v.Quality, &m.settings)
		records[v.ID] = r
		m.order = append(m.order, v.ID)
	}
	for id, r := range m.records {
		if records[id] == nil {
			r.verdict.fire(chart.EventRemove)
		}
	}
	slices.Sort(m.order)
	m.order = slices.Compact(m.order)
	m.records = records
}

// ObserveRating implements fescuelatch.QualityModel. It clamps the score to 0 to
// 1 and ignores NaN.
func (m *Model) ObserveRating(now time.Time, v fescuelatch.VersionID, score float64) {
	r := m.records[v]
	if r == nil || math.IsNaN(score) {
		return
	}
	r.addRating(now, min(max(score, 0), 1), &m.settings)
	r.applyRules(now, &m.settings, &m.alarms)
}

// ObserveAttempt implements fescuelatch.QualityModel. It ignores attempts without
// an endpoint: another daemon made them and observes them itself. It ignores a
// failure within failureInterval of one at the same endpoint or of another
// version, because the endpoint or the failure domain explains it. A deadline
// that passes after the first token is no evidence on the version.
func (m *Model) ObserveAttempt(now time.Time, a fescuelatch.AttemptResult) {
	r := m.records[a.Version]
	if r == nil || a.Endpoint == "" {
		return
	}
	switch {
	case a.Status == fescuelatch.AttemptAnswered:
		r.addAttempt(now, 1, &m.settings)
	case a.Status == fescuelatch.AttemptBroken, a.Status == fescuelatch.AttemptExpired && a.FirstToken == 0:
		if r.repeatedFailure(now, a.Endpoint) || m.commonFailure(now, a.Version) {
			return
		}
		r.addAttempt(now, 0, &m.settings)
	default:
		return
	}
	r.applyRules(now, &m.settings, &m.alarms)
}

// commonFailure records a failure of v and reports whether another version
// failed within failureInterval.
func (m *Model) commonFailure(now time.Time, v fescuelatch.VersionID) bool {
	common := m.failed != "" && m.failed != v && now.Sub(m.failedAt) < failureInterval
	m.failed, m.failedAt = v, now
	return common
}

// Estimate implements fescuelatch.QualityModel.
func (m *Model) Estimate(now time.Time, v fescuelatch.VersionID) fescuelatch.Estimate {
	r := m.records[v]
	if r == nil {
		return fescuelatch.Estimate{High: 1}
	}
	r.applyRules(now, &m.settings, &m.alarms)
	return r.currentEstimate(now, &m.settings)
}

// Health implements fescuelatch.QualityModel. An unknown version is suspect.
func (m *Model) Health(now time.Time, v fescuelatch.VersionID) fescuelatch.Health {
	r := m.records[v]
	if r == nil {
		return fescuelatch.HealthSuspect
	}
	r.applyRules(now, &m.settings, &m.alarms)
	return r.verdict.health()
}

// Doubt implements fescuelatch.QualityModel.
func (m *Model) Doubt(now time.Time, v fescuelatch.VersionID) float64 {
	r := m.records[v]
	if r == nil {
		return 1
	}
	r.applyRules(now, &m.settings, &m.alarms)
	return min(1, m.alarms.suspect.level(r, r.counts(now, &m.settings)))
}

// Evidence implements fescuelatch.QualityModel. The evidence of a quarantined
// version is refreshed so that it does not expire before the quarantine ends.
func (m *Model) Evidence(now time.Time) []fescuelatch.Evidence {
	list := make([]fescuelatch.Evidence, 0, len(m.order))
	for _, v := range m.order {
		r := m.records[v]
		r.applyRules(now, &m.settings, &m.alarms)
		e := &r.own
		if r.quarantined() {
			decayCounts(e, now, m.settings.HalfLife)
			e.Pooled = float64(r.pooledSum)
		}
		list = append(list, *e)
	}
	return list
}

// Merge implements fescuelatch.QualityModel. It ignores evidence of this daemon,
// evidence on unknown versions, and inconsistent evidence.
func (m *Model) Merge(now time.Time, list []fescuelatch.Evidence) {
	for _, e := range list {
		r := m.records[e.Version]
		if r == nil || e.Origin == "" || e.Origin == m.origin || !valid(now, &e, &m.settings) {
			continue
		}
		r.merge(e, &m.settings)
	}
}
