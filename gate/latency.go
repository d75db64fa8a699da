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

// spread is a moving average and the mean deviation from it.
type spread struct {
	average
	deviation time.Duration
}

func (s *spread) observe(d time.Duration) {
	away := (d - s.mean).Abs()
	if s.mean == 0 {
		away = d / 2
		s.deviation = away
	}
	s.deviation += time.Duration(latencyWeight * float64(away-s.deviation))
	s.average.observe(d)
}

// deviations is the number of mean deviations above the mean within which
// most attempts end.
const deviations = 3

// latencies holds the time from start to end for each version. The zero
// value is empty.
type latencies struct {
	totals map[fescuelatch.VersionID]*spread
}

// observe records an answered attempt; others say nothing of the latency.
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

// unknownLatency stands for the latency of a version without samples.
const unknownLatency = 250 * time.Millisecond

// most returns the time within which most attempts of v end.
func (l *latencies) most(v fescuelatch.VersionID) time.Duration {
	if a := l.totals[v]; a != nil {
		return a.mean + deviations*a.deviation
	}
	return unknownLatency
}
