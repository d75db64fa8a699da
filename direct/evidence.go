package direct

import (
	"time"

	"fescuelatch"
	"fescuelatch/rollout"
)

// This file defines what an attempt shows of the release that it was sent to.

// paceMeter measures the mean time between the events of a stream.
type paceMeter struct {
	first, last time.Time
	gaps        int
	reported    bool
}

const (
	// minPaceGaps and maxPaceGaps are how many gaps between events are measured.
	minPaceGaps = 2
	maxPaceGaps = 8
)

// event records an event and reports whether the pace is due to be reported.
func (m *paceMeter) event(now time.Time) bool {
	if m.first.IsZero() {
		m.first = now
	} else {
		m.gaps++
	}
	m.last = now
	return m.gaps >= maxPaceGaps && !m.reported
}

func (m *paceMeter) mean() time.Duration { return m.last.Sub(m.first) / time.Duration(max(m.gaps, 1)) }

// reportPace reports the pace of the stream once.
func (t *attempt) reportPace() {
	t.pace.reported = true
	if t.delegate != "" {
		return // The other daemon knows the release.
	}
	t.request.daemon.observePace(t.start.Version, t.pace.mean())
}

func (t *attempt) observe(o rollout.Outcome, latency time.Duration) {
	t.observed = true
	if t.delegate != "" {
		return
	}
	t.request.daemon.observe(t.start.Version, rollout.Attempt{Route: t.request.route.ID, Outcome: o, Latency: latency})
}

// observeEnd records what the end of the attempt shows of the release. An endpoint that
// is gone shows nothing.
func (t *attempt) observeEnd(r fescuelatch.AttemptResult, waited time.Duration) {
	if !t.pace.reported && t.pace.gaps >= minPaceGaps {
		t.reportPace()
	}
	switch {
	case r.Status == fescuelatch.AttemptBroken && r.EndpointGone:
	case r.Status == fescuelatch.AttemptBroken && t.observed:
		t.observe(rollout.OutcomeCut, 0)
	case r.Status == fescuelatch.AttemptBroken:
		t.observe(rollout.OutcomeFailed, waited)
	case r.Status == fescuelatch.AttemptCancelled && !t.observed:
		t.observe(rollout.OutcomeGivenUp, waited)
	}
}
