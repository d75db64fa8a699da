package gate

import (
	"time"

	"fescuelatch"
)

// This file defines moving averages of latency.

// latencyWeight is the weight of a new sample in a moving average.
const latencyWeight = 0.1

// average is an exponentially weighted moving average of durations. The zero
// value has no samples.
type average struct {
	mean time.Duration
}

func (a *average) observe(d time.Duration) {
	if a.mean == 0 {
		a.mean = d
		return
	}
	a.mean += time.Duration(latencyWeight * float64(d-a.mean))
}

// spread is a moving average with the mean deviation from it.
type spread struct {
	average
	deviation time.Duration
}

func (s *spread) observe(d time.Duration) {
	deviation := (d - s.mean).Abs()
	if s.mean == 0 {
		deviation = d / 2
		s.deviation = deviation
	}
	s.deviation += time.Duration(latencyWeight * float64(deviation-s.deviation))
	s.average.observe(d)
}

// deviationFactor is the number of mean deviations above the mean within which most
// attempts end.
const deviationFactor = 3

// latencies holds the total time of attempts for each version. The zero value is
// empty.
type latencies struct {
	totals map[fescuelatch.VersionID]*spread
}

// observe records an answered attempt; others say nothing about the latency.
func (l *latencies) observe(r fescuelatch.AttemptResult) {
	if r.Status != fescuelatch.AttemptAnswered || r.Total <= 0 {
		return
	}
	if l.totals == nil {
		l.totals = make(map[fescuelatch.VersionID]*spread)
	}
	a := l.totals[r.Version]
	if a == nil {
		a = new(spread)
		l.totals[r.Version] = a
	}
	a.observe(r.Total)
}

// total returns the average for v, or 0 without samples.
func (l *latencies) total(v fescuelatch.VersionID) time.Duration {
	if a := l.totals[v]; a != nil {
		return a.mean
	}
	return 0
}

// defaultLatency is the latency assumed for a version without samples.
const defaultLatency = 250 * time.Millisecond

// upperBound returns the time within which most attempts of v end.
func (l *latencies) upperBound(v fescuelatch.VersionID) time.Duration {
	if a := l.totals[v]; a != nil {
		return a.mean + deviationFactor*a.deviation
	}
	return defaultLatency
}
