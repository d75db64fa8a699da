package direct

import (
	"time"

	"fescuelatch"
	"fescuelatch/rollout"
)

// This file defines what an attempt shows of the release that it was sent to.

// minHidingStall is the shortest stall of this daemon that can make an answer slow that is not.
const minHidingStall = 100 * time.Millisecond

// stalledBetween returns for how long this daemon did not run between two times, apart from
// short stalls.
func (d *Daemon) stalledBetween(from, to time.Time) time.Duration {
	return to.Sub(from) - d.stalls.Ran(from, to, minHidingStall)
}

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

// reportPace reports the pace of the stream once. Events that have arrived during a stall are
// read late and all at once, and show none.
func (t *attempt) reportPace() {
	t.pace.reported = true
	if t.delegate != "" {
		return // The other daemon knows the release.
	}
	if t.request.daemon.stalledBetween(t.decided, t.pace.last) > 0 {
		return
	}
	t.request.daemon.observePace(t.start.Version, t.pace.mean())
}

// observe records an outcome that took some time since from.
func (t *attempt) observe(o rollout.Outcome, from time.Time, latency time.Duration) {
	t.observed = true
	if t.delegate != "" {
		return
	}
	d := t.request.daemon
	d.observe(t.start.Version, rollout.Attempt{
		Route: t.request.route.ID, Outcome: o, Latency: latency, Stalled: d.stalledBetween(from, from.Add(latency)),
	})
}

// observeEnd records what the end of the attempt, which began at a time, shows of the release.
// An endpoint that is gone shows nothing.
func (t *attempt) observeEnd(r fescuelatch.AttemptResult, began time.Time) {
	waited := time.Since(began)
	if !t.pace.reported && t.pace.gaps >= minPaceGaps {
		t.reportPace()
	}
	switch {
	case r.Status == fescuelatch.AttemptBroken && r.EndpointGone:
	case r.Status == fescuelatch.AttemptBroken && t.observed:
		t.observe(rollout.OutcomeCut, began, 0)
	case r.Status == fescuelatch.AttemptBroken:
		t.observe(rollout.OutcomeFailed, began, waited)
	case r.Status == fescuelatch.AttemptCancelled && !t.observed:
		t.observe(rollout.OutcomeGivenUp, began, waited)
	}
}
