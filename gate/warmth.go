package gate

import (
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file infers whether an endpoint is warm. In doubt it counts as cold: a cold
// endpoint crashes under the load of a warm one, whereas a warm one taken for cold
// only serves less for a while.

const (
	// slowFactor times the usual latency to the first token marks a slow
	// attempt, and minSlowLatency is the minimum latency that does.
	slowFactor     = 4
	minSlowLatency = 500 * time.Millisecond
	// suspicionLimit is the number of consecutive slow or failed attempts
	// that make an endpoint cold.
	suspicionLimit = 3
	// suspicionTimeout is how long a suspected endpoint counts as cold unless an
	// attempt shows that it is warm.
	suspicionTimeout = 10 * time.Second
)

// warmth is the inferred state of one endpoint, as a machine of the endpoint chart.
type warmth struct {
	machine *chart.Machine
	// since is when the endpoint became cold or warm, or returned.
	since time.Time
	// failed reports that the suspicion involves a failed attempt. Quick
	// answers do not refute it then, since a cold endpoint that is not
	// overloaded also answers the first attempts quickly.
	failed         bool
	suspicionCount int
	// usual is the latency to the first token when warm, of whole answers
	// and of streams. The first token of a whole answer arrives at its end.
	usual       struct{ whole, streamed average }
	incarnation fescuelatch.Incarnation
	generated   time.Time
	reported    time.Time
}

// reset clears the state, since that of an endpoint which this daemon has just
// come to own is unknown. Its usual latencies are kept.
func (w *warmth) reset(now time.Time) {
	w.machine = chart.Endpoint().New()
	w.since, w.failed, w.suspicionCount = now, false, 0
}

func newWarmth() warmth { return warmth{machine: chart.Endpoint().New()} }

func (w *warmth) warm() bool { return w.machine.State() == chart.EndpointWarm }

// suspected reports whether the endpoint reports warm but counts as cold.
func (w *warmth) suspected() bool { return w.machine.State() == chart.EndpointSuspect }

func (w *warmth) leaving() bool { return w.machine.State() == chart.EndpointLeaving }

// transition fires e if the current state has a transition for it, and clears the
// suspicion.
func (w *warmth) transition(now time.Time, e chart.Event) {
	was := w.machine.State()
	if !w.machine.Can(e) || w.machine.Fire(e) != nil {
		return
	}
	w.failed, w.suspicionCount = false, 0
	if was != w.machine.State() && (was != chart.EndpointSuspect || e != chart.EventReportCold) {
		w.since = now
	}
}

// report merges a load report. It reports whether the report was new.
func (w *warmth) report(now time.Time, r fescuelatch.LoadReport, lag time.Duration) bool {
	replaced := w.incarnation != "" && r.Incarnation != w.incarnation
	if !replaced && !r.Generated.IsZero() && !r.Generated.After(w.generated) {
		return false
	}
	w.incarnation, w.generated, w.reported = r.Incarnation, r.Generated, now
	if replaced {
		w.transition(now, chart.EventRestart)
		w.since = now
	}
	switch {
	case r.State == fescuelatch.EndpointLeaving:
		w.transition(now, chart.EventLeave)
	case r.State == fescuelatch.EndpointCold:
		w.transition(now, chart.EventReportCold)
	case r.State == fescuelatch.EndpointWarm && w.leaving():
		w.transition(now, chart.EventStay)
	case r.State == fescuelatch.EndpointWarm && w.credible(now, lag):
		w.transition(now, chart.EventReportWarm)
	}
	return true
}

// credible reports whether to accept a cold endpoint's report that it is warm:
// it must reflect the last state change, and a suspicion must have expired.
func (w *warmth) credible(now time.Time, lag time.Duration) bool {
	if w.warm() || now.Before(w.since.Add(lag)) {
		return false
	}
	return !w.suspected() || !now.Before(w.since.Add(suspicionTimeout))
}

// checkTimeout makes the endpoint cold when its last report is older than timeout.
func (w *warmth) checkTimeout(now time.Time, timeout time.Duration) {
	if w.warm() && now.Sub(w.reported) > timeout {
		w.transition(now, chart.EventSilent)
	}
}

// usualFor returns the usual latency to the first token of streams, or of whole
// answers.
func (w *warmth) usualFor(streamed bool) *average {
	if streamed {
		return &w.usual.streamed
	}
	return &w.usual.whole
}

// slow reports whether d is far above the usual latency to the first token.
func (w *warmth) slow(d time.Duration, streamed bool) bool {
	usual := w.usualFor(streamed).mean
	return usual > 0 && d > max(minSlowLatency, slowFactor*usual)
}

// overdue reports whether a first token that is missing after d was due, which
// always holds while no usual latency is known.
func (w *warmth) overdue(d time.Duration, streamed bool) bool {
	return w.usualFor(streamed).mean == 0 || w.slow(d, streamed)
}

// first records a latency to the first token. It reports whether it was slow.
func (w *warmth) first(now time.Time, d time.Duration, streamed bool) bool {
	usual := w.usualFor(streamed)
	if w.slow(d, streamed) {
		w.addSuspicion(now)
		if w.suspected() {
			// The endpoint reports that it is warm; it may have become
			// permanently slower.
			usual.observe(min(d, slowFactor*usual.mean))
		}
		return true
	}
	w.suspicionCount = 0
	if w.warm() || w.suspected() {
		usual.observe(d)
	}
	if w.suspected() && !w.failed {
		since := w.since
		w.transition(now, chart.EventRefute)
		w.since = since
	}
	return false
}

// addSuspicion counts one slow or failed attempt.
func (w *warmth) addSuspicion(now time.Time) {
	w.suspicionCount++
	if w.suspicionCount >= suspicionLimit && w.warm() {
		w.transition(now, chart.EventDoubt)
	}
}

// fail counts one failed attempt.
func (w *warmth) fail(now time.Time) {
	w.addSuspicion(now)
	w.failed = w.failed || w.suspected()
}
