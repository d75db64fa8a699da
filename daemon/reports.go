package daemon

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/engine"
)

// This file defines when a daemon requests load reports of the endpoints that
// it owns: often while an endpoint is changing or not warm, less often while it
// is warm and busy, and rarely while it is warm and idle. An idle endpoint is
// queried at once when work for it begins.

const (
	// reportInterval is the report interval of an endpoint that is not known to
	// be warm or that changed or failed recently.
	reportInterval = 500 * time.Millisecond
	// busyReportInterval is that of a warm endpoint with work. It is the delay
	// that this adds to detecting an announced change to cold.
	busyReportInterval = time.Second
	// idleReportInterval is that of a warm endpoint without work. The gate
	// treats an endpoint as cold after 5 s without a report.
	idleReportInterval = 2 * time.Second
	// changeWindow is how long after a change reportInterval applies.
	changeWindow  = 5 * time.Second
	reportTimeout = time.Second
)

// reportState tracks the load reports of an owned endpoint. The daemon's lock
// guards it.
type reportState struct {
	endpoint fescuelatch.Endpoint
	report   fescuelatch.LoadReport
	share    float64
	// changed is when the endpoint or this daemon's share of it last changed,
	// or an attempt there last failed.
	changed time.Time
	asked   time.Time
	// running is the number of this daemon's attempts there.
	running int
}

// interval returns the report interval at now.
func (r *reportState) interval(now time.Time) time.Duration {
	switch {
	case r.report.State != fescuelatch.EndpointWarm, now.Sub(r.changed) < changeWindow:
		return reportInterval
	case r.running > 0, r.report.Running+r.report.Waiting > 0:
		return busyReportInterval
	}
	return idleReportInterval
}

// due reports whether to request a report at now. If so, it records the
// request.
func (r *reportState) due(now time.Time) bool {
	const early = reportInterval / 2 // tolerance for timer inaccuracy
	if now.Sub(r.asked) < r.interval(now)-early {
		return false
	}
	r.asked = now
	return true
}

// update records a report.
func (r *reportState) update(now time.Time, p fescuelatch.LoadReport) {
	if p.Incarnation != r.report.Incarnation || p.State != r.report.State {
		r.changed = now
	}
	r.report = p
}

// readReports requests the load reports that are due.
func (d *Daemon) readReports(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	owned := d.table.Owned(now)
	d.metrics.owned.Update(float64(len(owned)))
	reports := make(map[fescuelatch.EndpointID]*reportState, len(owned))
	for _, o := range owned {
		r := d.reports[o.Endpoint.ID]
		if r == nil || r.endpoint.Address != o.Endpoint.Address {
			r = &reportState{changed: now}
		}
		if r.share != o.Share || now.Before(o.After) {
			r.changed = now
		}
		r.endpoint, r.share = o.Endpoint, o.Share
		reports[o.Endpoint.ID] = r
		if r.due(now) {
			// A slow endpoint must not delay the others.
			go d.readReport(ctx, o.Endpoint)
		}
	}
	d.reports = reports
}

func (d *Daemon) readReport(ctx context.Context, e fescuelatch.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	p, err := d.reporters.Load(ctx, engine.Target{URL: "http://" + e.Address.String()})
	p.Endpoint = e.ID
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.reports[e.ID]
	switch {
	case err == nil:
		if r != nil {
			r.update(time.Now(), p)
		}
		d.decideLocked(decision.Reported{Report: p})
	case r != nil:
		r.changed = time.Now()
	}
}

// beginAttempt records the begin of an attempt at an owned endpoint and returns
// a function to call at its end.
func (d *Daemon) beginAttempt(ctx context.Context, id fescuelatch.EndpointID) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.reports[id]
	if r == nil {
		return func() {}
	}
	r.running++
	if now := time.Now(); r.running == 1 && now.Sub(r.asked) >= reportInterval {
		r.asked = now
		go d.readReport(context.WithoutCancel(ctx), r.endpoint)
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		r.running--
	}
}

// attemptEnded records the end of an attempt. A failed attempt may indicate
// that the endpoint has changed.
func (d *Daemon) attemptEnded(a fescuelatch.AttemptResult) {
	if a.Status == fescuelatch.AttemptAnswered || a.Status == fescuelatch.AttemptCancelled || a.Unsent {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.reports[a.Endpoint]; r != nil {
		r.changed = time.Now()
	}
}
