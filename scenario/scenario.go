// Package scenario runs a fleet under load, carries out steps on it at set
// times, and collects the evidence for an audit.
//
// Run starts goroutines for the load, the steps and the sampling of
// generations. All end before it returns.
package scenario

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/audit"
	"fescuelatch/fleet"
	"fescuelatch/load"
)

// This file defines scenarios and their results.

const (
	// DefaultGrace is the time that a change may take to become active.
	DefaultGrace   = 6 * time.Second
	sampleInterval = 250 * time.Millisecond
	billTimeout    = 15 * time.Second
	billInterval   = 500 * time.Millisecond
)

// Scenario describes a fleet, its load and its steps.
type Scenario struct {
	Fleet fleet.Options
	// Profile describes the load. Run replaces its accounts by the fleet's.
	Profile load.Profile
	Steps   []Step
	// WarmUp is the delay between the fleet's readiness and the load.
	WarmUp time.Duration
	// Grace is Evidence.Grace of the audit; zero means DefaultGrace.
	Grace time.Duration
	// Note, if set, is called with the name of each step at its start.
	Note func(string)
	// OnRecord, if set, is called at the end of each call.
	OnRecord func(done, all int)
}

// Step is an action at a time after the start of the load. Steps run
// concurrently.
type Step struct {
	At   time.Duration
	Name string
	Do   func(ctx context.Context, r *Run) error
}

// Result is the outcome of a scenario.
type Result struct {
	Start    time.Time
	Evidence *audit.Evidence
	Summary  *load.Summary
	Report   *audit.Report
	// Failures are the errors of steps.
	Failures []error
	// Crashed names the processes that ended unexpectedly.
	Crashed []string
	// PlatformCalls counts the calls at the platform by kind.
	PlatformCalls map[string]int64
	// Ratings counts the answers that the rating service has rated.
	Ratings int64
}

// Run is a scenario in progress.
type Run struct {
	Fleet *fleet.Fleet
	Start time.Time

	scenario *Scenario
	mu       sync.Mutex
	events   []audit.Event
	stops    []audit.Stop
	samples  []audit.Sample
	failures []error
}

// Run starts the fleet, runs the scenario and closes the fleet.
func (s *Scenario) Run(ctx context.Context) (*Result, error) {
	f, err := fleet.Start(ctx, s.Fleet)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := s.Profile
	p.Accounts = load.AccountsOf(f.Configuration, f.Keys)
	calls, err := load.Plan(&p)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, s.WarmUp); err != nil {
		return nil, err
	}
	r := &Run{Fleet: f, scenario: s, Start: time.Now()}
	records, summary := r.runLoad(ctx, calls)
	if err := ctx.Err(); err != nil {
		return nil, &Error{"run scenario", KindStep, err}
	}
	return r.collect(ctx, records, summary)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return &Error{"wait", KindStep, ctx.Err()}
	case <-t.C:
		return nil
	}
}

// runLoad runs the load, the steps and the sampling of generations.
func (r *Run) runLoad(ctx context.Context, calls []load.Call) ([]load.Record, *load.Summary) {
	sampling, stop := context.WithCancel(ctx)
	var samplers, steps sync.WaitGroup
	samplers.Go(func() { r.sample(sampling) })
	for _, t := range r.scenario.Steps {
		steps.Go(func() { r.step(ctx, t) })
	}
	u := load.Runner{Targets: r.targets(), Keys: r.Fleet.Keys}
	var done int
	if note := r.scenario.OnRecord; note != nil {
		u.OnRecord = func(*load.Record) { done++; note(done, len(calls)) }
	}
	records, summary := u.Run(ctx, calls)
	steps.Wait()
	stop()
	samplers.Wait()
	return records, summary
}

func (r *Run) targets() []load.Target {
	var ts []load.Target
	for _, m := range r.Fleet.Configuration.Inventory.VMs {
		ts = append(ts, load.Target{Caller: m.Caller, Health: m.Operator})
	}
	return ts
}

// step runs t at its time.
func (r *Run) step(ctx context.Context, t Step) {
	if sleep(ctx, time.Until(r.Start.Add(t.At))) != nil {
		return
	}
	if r.scenario.Note != nil {
		r.scenario.Note(t.Name)
	}
	if err := t.Do(ctx, r); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.failures = append(r.failures, &Error{t.Name, KindStep, err})
	}
}

// sample asks all daemons for their generation until ctx ends.
func (r *Run) sample(ctx context.Context) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		var wg sync.WaitGroup
		for _, m := range r.Fleet.Configuration.Inventory.VMs {
			wg.Go(func() { r.sampleOne(ctx, m.ID) })
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// sampleOne records the generation of a daemon if it responds.
func (r *Run) sampleOne(ctx context.Context, m fescuelatch.VMID) {
	// The sample is dated before the request, so that a change accepted
	// while the request is in flight does not count as missing.
	at := time.Now()
	g, err := r.Fleet.Generation(ctx, m)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, audit.Sample{At: at, VM: m, Generation: g})
}

// collect reads the fleet's records and audits them.
func (r *Run) collect(ctx context.Context, records []load.Record, s *load.Summary) (*Result, error) {
	e := &audit.Evidence{
		Configuration: r.Fleet.Configuration, Records: records,
		Grace: r.scenario.Grace, Ended: time.Now(),
	}
	if e.Grace == 0 {
		e.Grace = DefaultGrace
	}
	r.mu.Lock()
	e.Events, e.Stops, e.Samples = r.events, r.stops, r.samples
	failures := r.failures
	r.mu.Unlock()
	sort.SliceStable(e.Events, func(i, j int) bool { return e.Events[i].At.Before(e.Events[j].At) })
	sort.SliceStable(e.Samples, func(i, j int) bool { return e.Samples[i].At.Before(e.Samples[j].At) })
	if err := r.awaitBills(ctx, e); err != nil {
		return nil, err
	}
	e.Stops = append(e.Stops, r.stopAll(ctx)...)
	if err := r.observe(ctx, e); err != nil {
		return nil, err
	}
	calls, err := r.Fleet.PlatformCalls(ctx)
	if err != nil {
		return nil, &Error{"count calls", KindObserve, err}
	}
	ratings, err := r.Fleet.Ratings(ctx)
	if err != nil {
		return nil, &Error{"count ratings", KindObserve, err}
	}
	return &Result{
		Start: r.Start, Evidence: e, Summary: s, Report: audit.Check(e),
		Failures: failures, Crashed: r.Fleet.Crashed(), PlatformCalls: calls, Ratings: ratings,
	}, nil
}

// awaitBills reads the records until the audit finds no violation of
// PromiseBill, for at most billTimeout.
func (r *Run) awaitBills(ctx context.Context, e *audit.Evidence) error {
	end := time.Now().Add(billTimeout)
	for {
		if err := r.observe(ctx, e); err != nil {
			return err
		}
		if audit.Check(e).Finding(audit.PromiseBill).Violations == 0 || time.Now().After(end) {
			return nil
		}
		if err := sleep(ctx, billInterval); err != nil {
			return err
		}
	}
}

// stopAll stops all running daemons as planned stops.
func (r *Run) stopAll(ctx context.Context) []audit.Stop {
	var stops []audit.Stop
	for _, m := range r.Fleet.Configuration.Inventory.VMs {
		if r.Fleet.Running(m.ID) {
			stops = append(stops, audit.Stop{VM: m.ID, Caller: m.Caller.String(), From: time.Now(), Clean: true})
		}
	}
	unclean := r.Fleet.StopAll(ctx)
	for n := range stops {
		stops[n].To = time.Now()
		stops[n].Clean = !slices.Contains(unclean, stops[n].VM)
	}
	return stops
}

func (r *Run) observe(ctx context.Context, e *audit.Evidence) error {
	const op = "read records"
	var err error
	if e.Endpoints, err = r.Fleet.EndpointLogs(ctx); err != nil {
		return &Error{op, KindObserve, err}
	}
	if e.Bills, err = r.Fleet.Bills(ctx); err != nil {
		return &Error{op, KindObserve, err}
	}
	return nil
}
