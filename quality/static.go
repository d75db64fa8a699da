package quality

import (
	"time"

	"fescuelatch"
)

// This file defines Static, the baseline that never learns.

// Static uses the configured quality of each version as its estimate.
// The zero value is ready to use.
type Static struct {
	quality map[fescuelatch.VersionID]float64
}

// Configure implements fescuelatch.QualityModel.
func (m *Static) Configure(_ time.Time, versions []fescuelatch.Version) {
	m.quality = make(map[fescuelatch.VersionID]float64, len(versions))
	for _, v := range versions {
		m.quality[v.ID] = v.Quality
	}
}

// ObserveRating implements fescuelatch.QualityModel.
func (m *Static) ObserveRating(time.Time, fescuelatch.VersionID, float64) {}

// ObserveAttempt implements fescuelatch.QualityModel.
func (m *Static) ObserveAttempt(time.Time, fescuelatch.AttemptResult) {}

// Estimate implements fescuelatch.QualityModel.
func (m *Static) Estimate(_ time.Time, v fescuelatch.VersionID) fescuelatch.Estimate {
	q, ok := m.quality[v]
	if !ok {
		return fescuelatch.Estimate{High: 1}
	}
	return fescuelatch.Estimate{Mean: q, Low: q, High: q}
}

// Health implements fescuelatch.QualityModel.
func (m *Static) Health(time.Time, fescuelatch.VersionID) fescuelatch.Health {
	return fescuelatch.HealthGood
}

// Doubt implements fescuelatch.QualityModel.
func (m *Static) Doubt(time.Time, fescuelatch.VersionID) float64 { return 0 }

// Evidence implements fescuelatch.QualityModel.
func (m *Static) Evidence(time.Time) []fescuelatch.Evidence { return nil }

// Merge implements fescuelatch.QualityModel.
func (m *Static) Merge(time.Time, []fescuelatch.Evidence) {}
