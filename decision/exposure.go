package decision

import (
	"time"

	"fescuelatch"
)

// This file defines the count of answers that callers got from each version,
// by what was known of the version.

// exposures holds the exposure to each version in use.
type exposures map[fescuelatch.VersionID]*fescuelatch.Exposure

func (x exposures) of(v fescuelatch.VersionID) *fescuelatch.Exposure {
	e := x[v]
	if e == nil {
		e = new(fescuelatch.Exposure)
		x[v] = e
	}
	return e
}

// configure forgets versions that have left the configuration.
func (x exposures) configure(v *fescuelatch.View) {
	for id := range x {
		if _, ok := v.Version(id); !ok {
			delete(x, id)
		}
	}
}

// exposed counts an accepted answer of a version, and returns the health in
// which it was accepted.
func (c *Core) exposed(now time.Time, v fescuelatch.VersionID) fescuelatch.Health {
	e := c.exposures.of(v)
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

// rating counts and learns from a rating of a version.
func (c *Core) rating(now time.Time, v fescuelatch.VersionID, score float64) {
	e := c.exposures.of(v)
	e.Rated++
	if score < goodScore {
		e.RatedLow++
	}
	c.options.Quality.ObserveRating(now, v, score)
}
