package gate

import (
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines what a gate infers of an endpoint's warmth. Doubt counts
// as cold: a cold endpoint falls over under the load of a warm one, whereas
// a warm one taken for cold only serves less for a while.

const (
	// slowFactor times the usual latency to the first token marks a slow
	// attempt, and slowMin is the least latency that does.
	slowFactor = 4
	slowMin    = 500 * time.Millisecond
	// suspicions of slow or failed attempts in a row make an endpoint cold.
	suspicions = 3
	// coldHold is how long an endpoint that is cold by suspicion stays so
	// without an attempt that shows it warm.
	coldHold = 10 * time.Second
)

// warmth is the inferred warmth of one endpoint, after the endpoint chart.
type warmth struct {
	machine *chart.Machine
	// since is when the endpoint became cold or warm, or came back.
	since time.Time
	// failed reports that the suspicion came with a failed attempt. A cold
	// endpoint that bears its load answers the first attempts quickly, so
	// that quick answers do not refute it.
	failed  bool
	strikes int
	// usual is the latency to the first token when warm, of whole answers
	// and of streams. A whole answer shows its first token at its end.
	usual       struct{ whole, streamed average }
	incarnation fescuelatch.Incarnation
	generated   time.Time
	reported    time.Time
}

// begin forgets the state, as nothing is known of an endpoint that this
// daemon has just come to own. Its usual latencies are kept.
func (w *warmth) begin(now time.Time) {
	w.machine = chart.Endpoint().New()
	w.since, w.failed, w.strikes = now, false, 0
}

func newWarmth() warmth { return warmth{machine: chart.Endpoint().New()} }

func (w *warmth) warm() bool { return w.machine.State() == chart.EndpointWarm }

// suspected reports that the endpoint counts as cold against its own word.
func (w *warmth) suspected() bool { return w.machine.State() == chart.EndpointSuspect }

func (w *warmth) leaving() bool { return w.machine.State() == chart.EndpointLeaving }

// enter makes the transition of e, if the present state has one, and begins
// the new state afresh.
func (w *warmth) enter(now time.Time, e chart.Event) {
	was := w.machine.State()
	if !w.machine.Can(e) || w.machine.Fire(e) != nil {
		return
	}
	w.failed, w.strikes = false, 0
	if was != w.machine.State() && (was != chart.EndpointSuspect || e != chart.EventReportCold) {
		w.since = now
	}
}

// report takes in a load report. It reports whether it was a new one.
func (w *warmth) report(now time.Time, r fescuelatch.LoadReport, lag time.Duration) bool {
	replaced := w.incarnation != "" && r.Incarnation != w.incarnation
	if !replaced && !r.Generated.IsZero() && !r.Generated.After(w.generated) {
		return false
	}
	w.incarnation, w.generated, w.reported = r.Incarnation, r.Generated, now
	if replaced {
		w.enter(now, chart.EventRestart)
		w.since = now
	}
	switch {
	case r.State == fescuelatch.EndpointLeaving:
		w.enter(now, chart.EventLeave)
	case r.State == fescuelatch.EndpointCold:
		w.enter(now, chart.EventReportCold)
	case r.State == fescuelatch.EndpointWarm && w.leaving():
		w.enter(now, chart.EventStay)
	case r.State == fescuelatch.EndpointWarm && w.credible(now, lag):
		w.enter(now, chart.EventReportWarm)
	}
	return true
}

// credible reports whether a cold endpoint that says it is warm is believed:
// the word is newer than the doubt, and suspicion has been refuted or is old.
func (w *warmth) credible(now time.Time, lag time.Duration) bool {
	if w.warm() || now.Before(w.since.Add(lag)) {
		return false
	}
	return !w.suspected() || !now.Before(w.since.Add(coldHold))
}

// lapse makes the endpoint cold when it has not reported for too long.
func (w *warmth) lapse(now time.Time, timeout time.Duration) {
	if w.warm() && now.Sub(w.reported) > timeout {
		w.enter(now, chart.EventSilent)
	}
}

// usualOf returns the usual latency to the first token of streams, or of
// whole answers.
func (w *warmth) usualOf(streamed bool) *average {
	if streamed {
		return &w.usual.streamed
	}
	return &w.usual.whole
}

// slow reports whether d is far above the usual latency to the first token.
func (w *warmth) slow(d time.Duration, streamed bool) bool {
	usual := w.usualOf(streamed).mean
	return usual > 0 && d > max(slowMin, slowFactor*usual)
}

// owes reports whether a first token that has not come after d was due. As
// long as no usual latency is known, every one was.
func (w *warmth) owes(d time.Duration, streamed bool) bool {
	return w.usualOf(streamed).mean == 0 || w.slow(d, streamed)
}

// first takes in a latency to the first token. It reports whether it was
// slow.
func (w *warmth) first(now time.Time, d time.Duration, streamed bool) bool {
	usual := w.usualOf(streamed)
	if w.slow(d, streamed) {
		w.strike(now)
		if w.suspected() {
			// The endpoint says that it is warm; it may have become slower
			// for good.
			usual.observe(min(d, slowFactor*usual.mean))
		}
		return true
	}
	w.strikes = 0
	if w.warm() || w.suspected() {
		usual.observe(d)
	}
	if w.suspected() && !w.failed {
		since := w.since
		w.enter(now, chart.EventRefute)
		w.since = since
	}
	return false
}

// strike counts one slow or failed attempt.
func (w *warmth) strike(now time.Time) {
	w.strikes++
	if w.strikes >= suspicions && w.warm() {
		w.enter(now, chart.EventDoubt)
	}
}

// fail counts one failed attempt.
func (w *warmth) fail(now time.Time) {
	w.strike(now)
	w.failed = w.failed || w.suspected()
}
