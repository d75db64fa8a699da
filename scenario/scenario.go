// Package scenario runs a fleet under load while things are done to it at
// set times, and collects the evidence for an audit.
//
// Run starts goroutines for the load, the steps and the sampling of
// generations, and ends them all before it returns.
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
	// DefaultGrace is the time that a change may take to come into force.
	DefaultGrace   = 6 * time.Second
	sampleInterval = 250 * time.Millisecond
	settleTimeout  = 15 * time.Second
	settleInterval = 500 * time.Millisecond
)

// Scenario is a fleet, its load and what is done to it.
type Scenario struct {
	Fleet fleet.Options
	// Profile describes the load; its accounts are those of the fleet.
	Profile load.Profile
	Steps   []Step
	// WarmUp is the time between the fleet's readiness and the load.
	WarmUp time.Duration
	// Grace is that of the audit; zero means DefaultGrace.
	Grace time.Duration
	// Note, when set, is told of each step as it begins.
	Note func(string)
	// OnRecord, when set, is called at the end of each call.
	OnRecord func(done, all int)
}

// Step is something that is done at a time since the start of the load.
// Steps run concurrently.
type Step struct {
	At   time.Duration
	Name string
	Do   func(ctx context.Context, r *Run) error
}

// Result is what a scenario gave.
type Result struct {
	Start    time.Time
	Evidence *audit.Evidence
	Summary  *load.Summary
	Report   *audit.Report
	// Failures are the errors of steps.
	Failures []error
	// Crashed names processes that ended without being asked to.
	Crashed []string
	// PlatformCalls counts the calls at the platform by kind.
	PlatformCalls map[string]int64
	// Ratings counts the answers that the rating service has rated.
	Ratings int64
}

// Run is a scenario that is under way.
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

// Run starts the fleet, runs the scenario and ends the fleet.
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
	records, summary := r.drive(ctx, calls)
	if err := ctx.Err(); err != nil {
		return nil, &Error{"run scenario", KindStep, err}
	}
	return r.collect(ctx, records, summary)
}

// sleep waits for d, or until ctx ends.
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

// drive runs the load, the steps and the sampling of generations.
func (r *Run) drive(ctx context.Context, calls []load.Call) ([]load.Record, *load.Summary) {
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

// step carries out t at its time.
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

// sampleOne notes the generation of a daemon that answers.
func (r *Run) sampleOne(ctx context.Context, m fescuelatch.VMID) {
	// The question precedes the answer: a sample is not blamed for a change
	// that was accepted in between.
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
	if err := r.settle(ctx, e); err != nil {
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

// settle reads the records until the audit finds each bill in its place, or
// for the settle timeout.
func (r *Run) settle(ctx context.Context, e *audit.Evidence) error {
	end := time.Now().Add(settleTimeout)
	for {
		if err := r.observe(ctx, e); err != nil {
			return err
		}
		if audit.Check(e).Finding(audit.PromiseBill).Violations == 0 || time.Now().After(end) {
			return nil
		}
		if err := sleep(ctx, settleInterval); err != nil {
			return err
		}
	}
}

// stopAll ends all daemons that run, as planned stops.
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
