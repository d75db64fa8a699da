package experiment

import (
	"context"
	"fmt"
	"path/filepath"
	"sort"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/fleet"
	"fescuelatch/load"
	"fescuelatch/scenario"
)

// This file defines trials: single runs of a variant of an experiment.

// warmUp is the time for which a fleet runs before the load starts, so that no
// engine is in its first cold start.
const warmUp = 6 * time.Second

// Settings holds the settings of all trials.
type Settings struct {
	Fleet string
	// Options configures the fleet; each trial uses a subdirectory of Dir.
	Options  fleet.Options
	Duration time.Duration
	Seed     uint64
	Repeats  int
	// OnTrialStart, if set, is called with each trial's name before it starts.
	OnTrialStart func(string)
	// OnTrialEnd, if set, is called after each trial with its directory and calls.
	OnTrialEnd func(dir string, records []load.Record) error
}

// Trial holds the results of one run of a variant.
type Trial struct {
	Experiment Name      `json:"experiment"`
	Variant    string    `json:"variant"`
	Seed       uint64    `json:"seed"`
	Measures   []Measure `json:"measures"`
	// Broken holds examples of violated guarantees.
	Broken   []string `json:"broken,omitempty"`
	Failures []string `json:"failures,omitempty"`
	// FailedShare is the share of failed calls in each second.
	FailedShare []float64 `json:"failed-share-by-second"`
	// Failed counts the unanswered calls in the window.
	Failed []FailedCalls `json:"failed-calls,omitempty"`
}

// FailedCalls counts calls that failed in the same way.
type FailedCalls struct {
	Code       string `json:"code"`
	Service    bool   `json:"service"`
	Idempotent bool   `json:"idempotent"`
	Keyed      bool   `json:"keyed"`
	Session    bool   `json:"session"`
	Count      int    `json:"count"`
}

// failedCalls counts the unanswered calls in the window, most frequent first.
func failedCalls(o *outcome) []FailedCalls {
	counts := make(map[FailedCalls]int)
	for n := range o.result.Evidence.Records {
		r := &o.result.Evidence.Records[n]
		if r.Outcome == fescuelatch.OutcomeAnswered || !o.window.contains(o.result.Start, r.Sent) {
			continue
		}
		counts[FailedCalls{
			Code: r.Code, Service: r.IsService(), Idempotent: r.Idempotent, Keyed: r.Key != "", Session: r.Session != "",
		}]++
	}
	var fs []FailedCalls
	for f, n := range counts {
		f.Count = n
		fs = append(fs, f)
	}
	sort.Slice(fs, func(i, j int) bool { return fs[i].Count > fs[j].Count })
	return fs
}

// Value returns a measure of t.
func (t *Trial) Value(n MeasureName) (float64, bool) {
	for _, m := range t.Measures {
		if m.Name == n {
			return m.Value, true
		}
	}
	return 0, false
}

// Run runs the variants of the experiments sequentially, each with the same
// seeds.
func Run(ctx context.Context, s *Settings, es []Experiment) ([]Trial, error) {
	var ts []Trial
	for n := range es {
		for k := range s.Repeats {
			for _, v := range es[n].Variants {
				t, err := s.runTrial(ctx, &es[n], v, s.Seed+uint64(k))
				if err != nil {
					return ts, &Error{fmt.Sprintf("%s, %s, seed %d", es[n].Name, v.Name, s.Seed+uint64(k)), KindTrial, err}
				}
				ts = append(ts, *t)
			}
		}
	}
	return ts, nil
}

// runTrial runs one variant with one seed.
func (s *Settings) runTrial(ctx context.Context, e *Experiment, v Variant, seed uint64) (*Trial, error) {
	name := fmt.Sprintf("%s-%s-%d", e.Name, v.Name, seed)
	if s.OnTrialStart != nil {
		s.OnTrialStart(name)
	}
	w := window(s.Duration)
	sc := s.scenario(e, v, seed, w)
	sc.Fleet.Dir = filepath.Join(s.Options.Dir, name)
	r, err := sc.Run(ctx)
	if err != nil {
		return nil, err
	}
	if s.OnTrialEnd != nil {
		if err := s.OnTrialEnd(sc.Fleet.Dir, r.Evidence.Records); err != nil {
			return nil, err
		}
	}
	o := &outcome{result: r, window: w, duration: s.Duration, config: s.Options.Configuration}
	t := &Trial{Experiment: e.Name, Variant: v.Name, Seed: seed, Measures: commonMeasures(o)}
	if e.measure != nil {
		t.Measures = append(t.Measures, e.measure(o)...)
	}
	t.addFailures(o)
	return t, nil
}

// scenario returns the scenario of a trial.
func (s *Settings) scenario(e *Experiment, v Variant, seed uint64, w Window) *scenario.Scenario {
	c := s.Options.Configuration
	sc := &scenario.Scenario{
		Fleet:  s.Options,
		WarmUp: warmUp,
		Profile: load.Profile{
			Rate: e.Rate, Duration: s.Duration, Seed: seed,
			Run: fmt.Sprintf("%s-%d", v.Name, seed), Mix: load.DefaultMix(),
		},
	}
	sc.Fleet.Daemon = append(append([]string(nil), s.Options.Daemon...), v.Daemon...)
	sc.Fleet.Engine = e.speed.options(c)
	if e.steps != nil && !v.WithoutFaults {
		sc.Steps = e.steps(c, w)
	}
	if e.bursts != nil && !v.WithoutFaults {
		sc.Profile.Bursts = e.bursts(c, w)
	}
	return sc
}

// addFailures adds the violations and failures of o to t.
func (t *Trial) addFailures(o *outcome) {
	r := o.result
	for k := range r.Report.Findings {
		f := &r.Report.Findings[k]
		if f.Violations > 0 {
			t.Broken = append(t.Broken, fmt.Sprintf("%s: %d violations, such as %s", f.Promise, f.Violations, f.Examples[0]))
		}
	}
	for _, err := range r.Failures {
		t.Failures = append(t.Failures, err.Error())
	}
	for _, c := range r.Crashed {
		t.Failures = append(t.Failures, errors.Errorf("%s ended unexpectedly", c).Error())
	}
	t.Failed = failedCalls(o)
	for _, s := range callsBySecond(o, func(*load.Record) bool { return true }) {
		t.FailedShare = append(t.FailedShare, ratio(s.failed, s.calls))
	}
}
