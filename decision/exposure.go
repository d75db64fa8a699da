package decision

import (
	"time"

	"fescuelatch"
)

// This file counts the answers from each version by the version's health.

// exposures maps each version in use to its exposure.
type exposures map[fescuelatch.VersionID]*fescuelatch.Exposure

func (x exposures) get(v fescuelatch.VersionID) *fescuelatch.Exposure {
	e := x[v]
	if e == nil {
		e = new(fescuelatch.Exposure)
		x[v] = e
	}
	return e
}

// configure removes versions that are no longer in the configuration.
func (x exposures) configure(v *fescuelatch.View) {
	for id := range x {
		if _, ok := v.Version(id); !ok {
			delete(x, id)
		}
	}
}

// recordAnswer counts an accepted answer of a version and returns the current
// health of the version.
func (c *Core) recordAnswer(now time.Time, v fescuelatch.VersionID) fescuelatch.Health {
	e := c.exposures.get(v)
	e.Answers++
	h := c.options.Quality.Health(now, v)
	switch h {
	case fescuelatch.HealthSuspect:
		e.Suspect++
	case fescuelatch.HealthQuarantined:
		e.Quarantined++
	}
	return h
}

// recordRating counts a rating and passes it to the model.
func (c *Core) recordRating(now time.Time, v fescuelatch.VersionID, score float64) {
	e := c.exposures.get(v)
	e.Rated++
	if score < goodScore {
		e.RatedLow++
	}
	c.options.Quality.ObserveRating(now, v, score)
}
