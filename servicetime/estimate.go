// Package servicetime estimates how long work takes at one endpoint relative to the other
// endpoints of its version, where they differ in speed: for good, as their machines do, and
// for moments, as they share these machines with others.
//
// It estimates only. Package gate/shared sends less work to slow endpoints, and none to
// those that are ejected.
package servicetime

import (
	"math"
	"time"
)

// This file defines the estimate for one endpoint.

const (
	// MaxFactor bounds the estimate, and its inverse is the least one. An endpoint that is
	// slower by more is found by its failures.
	MaxFactor = 4.0
	// momentHalfLife is the age at which half of a reported deviation from the usual
	// service time counts. Deviations last for some hundred milliseconds.
	momentHalfLife = 300 * time.Millisecond
	// evidenceHalfLife is the time after which an observation counts for half.
	evidenceHalfLife = 20 * time.Second
	// priorObservations and priorReports are the numbers of observations, and of reports, of
	// the usual service time that each mean starts with. As the others lose weight, the
	// mean returns to 1. One report says less of an endpoint than one observation, since
	// it is of one moment.
	priorObservations = 1.5
	priorReports      = 3
)

// Estimate is the estimated service time of one endpoint. The zero value is that of an
// endpoint of which nothing is known.
type Estimate struct {
	// observed is the mean of the observed factors that reports do not explain, and
	// reports that of the reported ones.
	observed, reports mean
	// reported is the last reported factor, and zero if there is none.
	reported   float64
	reportedAt time.Time
}

// mean is a geometric mean of factors that lose weight with age.
type mean struct {
	weight, logSum float64
	updated        time.Time
}

func (m *mean) add(now time.Time, factor float64) {
	f := remaining(now.Sub(m.updated), evidenceHalfLife)
	m.weight = m.weight*f + 1
	m.logSum = m.logSum*f + math.Log(clamp(factor))
	m.updated = now
}

func (m *mean) at(now time.Time, prior float64) float64 {
	if m.weight == 0 {
		return 1
	}
	f := remaining(now.Sub(m.updated), evidenceHalfLife)
	return math.Exp(m.logSum * f / (m.weight*f + prior))
}

// Report records the service time that the endpoint states for the moment, relative to its
// usual one.
func (e *Estimate) Report(now time.Time, relative float64) {
	e.reported, e.reportedAt = clamp(relative), now
	e.reports.add(now, relative)
}

// Observe records that work took a time at the endpoint, up to now, for which a given time
// was expected at an endpoint of the usual speed. The part that the endpoint's report
// explains is left out, so that one slow moment does not count for long.
func (e *Estimate) Observe(now time.Time, took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	e.observed.add(now, float64(took)/float64(expected)/e.reportedDuring(now.Add(-took), now))
}

// reportedDuring returns the mean momentary factor from one time to another. The report counts
// for times before it as for those after it.
func (e *Estimate) reportedDuring(from, to time.Time) float64 {
	if e.reported == 0 {
		return 1
	}
	const meanLife = float64(momentHalfLife) / math.Ln2
	weightUntil := func(t time.Time) float64 {
		d := float64(t.Sub(e.reportedAt))
		return math.Copysign(meanLife*(1-math.Exp(-math.Abs(d)/meanLife)), d)
	}
	share := (weightUntil(to) - weightUntil(from)) / float64(to.Sub(from))
	usual := e.usualReport(to)
	return usual + (e.reported-usual)*share
}

// usualReport returns the factor that the endpoint is expected to state when it is not known
// what it states at the moment.
func (e *Estimate) usualReport(now time.Time) float64 { return e.reports.at(now, priorReports) }

// Lasting returns the factor by which work takes longer at the endpoint than at the others
// beyond what its reports explain. Without new observations it returns to 1.
func (e *Estimate) Lasting(now time.Time) float64 { return e.observed.at(now, priorObservations) }

// Factor returns the factor by which work that begins now takes longer at the endpoint than
// at the others: the lasting one times the reported one, which returns to what the endpoint
// usually reports.
func (e *Estimate) Factor(now time.Time) float64 {
	f := e.Lasting(now)
	if e.reported > 0 {
		usual := e.usualReport(now)
		f *= usual + (e.reported-usual)*remaining(now.Sub(e.reportedAt), momentHalfLife)
	}
	return clamp(f)
}

// remaining returns the share of something that is left after a time, by its half-life.
func remaining(after, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(after, 0)) / float64(halfLife))
}

func clamp(factor float64) float64 { return min(max(factor, 1/MaxFactor), MaxFactor) }
