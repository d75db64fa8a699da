package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"fescuelatch"
)

// This file defines the metrics of a daemon.

type metrics struct {
	scope        tally.Scope
	forwards     tally.Counter
	ratingErrors tally.Counter
	billsUnsafe  tally.Counter
	heartbeats   tally.Counter
	unanswered   tally.Counter
	generation   tally.Gauge
	owned        tally.Gauge
	requests     map[fescuelatch.Outcome]tally.Counter
	durations    map[fescuelatch.Outcome]tally.Histogram
}

// durationBuckets spans 1 ms to about 35 minutes.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 22)

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		scope:        s,
		forwards:     s.Counter("forwards"),
		ratingErrors: s.Counter("rating_errors"),
		billsUnsafe:  s.Counter("bills_without_copy"),
		heartbeats:   s.Counter("heartbeats"),
		unanswered:   s.Counter("heartbeats_unanswered"),
		generation:   s.Gauge("generation"),
		owned:        s.Gauge("owned_endpoints"),
		requests:     make(map[fescuelatch.Outcome]tally.Counter),
		durations:    make(map[fescuelatch.Outcome]tally.Histogram),
	}
	for _, o := range []fescuelatch.Outcome{fescuelatch.OutcomeAnswered, fescuelatch.OutcomeNotRun, fescuelatch.OutcomeUnknown} {
		t := s.Tagged(map[string]string{"outcome": string(o)})
		m.requests[o] = t.Counter("requests")
		m.durations[o] = t.Histogram("request_duration", durationBuckets)
	}
	return m
}

// countVersionAnswer counts an answer of a version to a caller.
func (m *metrics) countVersionAnswer(v fescuelatch.VersionID, h fescuelatch.Health) {
	m.scope.Tagged(map[string]string{"version": string(v), "health": string(h)}).Counter("version_answers").Inc(1)
}

func (m *metrics) outcome(o fescuelatch.Outcome, d time.Duration) {
	m.requests[o].Inc(1)
	m.durations[o].RecordDuration(d)
}
