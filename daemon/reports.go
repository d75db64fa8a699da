package daemon

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/engine"
)

// This file defines when a daemon asks the endpoints that it owns for their
// load: often while something has to be learned from the answer, less often
// while an endpoint is warm and answers, and seldom while it is warm and
// idle. An idle one is asked at once when work for it begins.

const (
	// reportInterval is that of load reports of an endpoint that is not
	// known to be warm, or that was in trouble lately.
	reportInterval = 500 * time.Millisecond
	// steadyReportInterval is that of a warm endpoint with work. It is the
	// time by which an announced turn to cold may be known later.
	steadyReportInterval = time.Second
	// idleReportInterval is that of a warm endpoint without work. The gate
	// takes an endpoint for cold after 5 s without a report.
	idleReportInterval = 2 * time.Second
	// watchFor is how long an endpoint is asked often after a change.
	watchFor      = 5 * time.Second
	reportTimeout = time.Second
)

// reporting is what is known of the load reports of an owned endpoint. The
// daemon's lock guards it.
type reporting struct {
	endpoint fescuelatch.Endpoint
	report   fescuelatch.LoadReport
	share    float64
	// changed is when the endpoint or what this daemon may use of it last
	// changed, or an attempt there failed.
	changed time.Time
	asked   time.Time
	// running is the number of own attempts.
	running int
}

// interval returns that of questions at now.
func (r *reporting) interval(now time.Time) time.Duration {
	switch {
	case r.report.State != fescuelatch.EndpointWarm, now.Sub(r.changed) < watchFor:
		return reportInterval
	case r.running > 0, r.report.Running+r.report.Waiting > 0:
		return steadyReportInterval
	}
	return idleReportInterval
}

// due reports whether to ask at now, and takes it that this is done.
func (r *reporting) due(now time.Time) bool {
	const early = reportInterval / 2 // the checks are not exact
	if now.Sub(r.asked) < r.interval(now)-early {
		return false
	}
	r.asked = now
	return true
}

// take takes in a report.
func (r *reporting) take(now time.Time, p fescuelatch.LoadReport) {
	if p.Incarnation != r.report.Incarnation || p.State != r.report.State {
		r.changed = now
	}
	r.report = p
}

// readReports asks the owned endpoints for their load that are due.
func (d *Daemon) readReports(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	owned := d.table.Owned(now)
	d.metrics.owned.Update(float64(len(owned)))
	reports := make(map[fescuelatch.EndpointID]*reporting, len(owned))
	for _, o := range owned {
		r := d.reports[o.Endpoint.ID]
		if r == nil || r.endpoint.Address != o.Endpoint.Address {
			r = &reporting{changed: now}
		}
		if r.share != o.Share || now.Before(o.After) {
			r.changed = now
		}
		r.endpoint, r.share = o.Endpoint, o.Share
		reports[o.Endpoint.ID] = r
		if r.due(now) {
			// An endpoint that answers late holds up no other.
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
			r.take(time.Now(), p)
		}
		d.decideLocked(decision.Reported{Report: p})
	case r != nil:
		r.changed = time.Now()
	}
}

// beginWork notes that an attempt at an owned endpoint begins, and returns a
// function that is called at its end.
func (d *Daemon) beginWork(ctx context.Context, id fescuelatch.EndpointID) func() {
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

// worked notes the end of an attempt. One that failed may tell of a turn.
func (d *Daemon) worked(a fescuelatch.AttemptResult) {
	if a.Status == fescuelatch.AttemptAnswered || a.Status == fescuelatch.AttemptCancelled || a.Unsent {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.reports[a.Endpoint]; r != nil {
		r.changed = time.Now()
	}
}
