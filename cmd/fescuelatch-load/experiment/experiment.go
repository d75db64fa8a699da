// Package experiment measures the router's policies against baselines. An
// experiment runs the same seeded traffic and injects the same failures for
// each variant of the daemon settings.
package experiment

import (
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/load"
	"fescuelatch/scenario"
)

// This file defines experiments and their variants.

// Name identifies an experiment.
type Name string

// Experiment names.
const (
	CostAtQuality  Name = "cost-at-quality"
	Latency        Name = "latency"
	BadVersion     Name = "bad-version"
	DomainExcluded Name = "failure-domain"
	LargeAccount   Name = "large-account"
	ColdStartStorm Name = "cold-start-storm"
	PlatformOutage Name = "platform-outage"
)

// Variant is a set of daemon flags.
type Variant struct {
	Name   string   `json:"name"`
	Daemon []string `json:"daemon,omitempty"`
	// WithoutFaults omits the steps and bursts.
	WithoutFaults bool `json:"undisturbed,omitempty"`
}

// Experiment defines a scenario, its variants and its measures. The first
// variant is the router with default settings; the others are baselines.
type Experiment struct {
	Name     Name
	Question string
	Variants []Variant
	// Primary is the measure used to compare variants; lower is better.
	Primary MeasureName
	// Rate is the mean number of arrivals per second.
	Rate  float64
	speed speed
	// steps and bursts return the injected failures and the extra load.
	steps  func(c *fescuelatch.Configuration, w Window) []scenario.Step
	bursts func(c *fescuelatch.Configuration, w Window) []load.Burst
	// measure returns additional measures.
	measure func(t *outcome) []Measure
}

// Window is the part of a trial with failures or extra load, as offsets from
// the start of the load.
type Window struct {
	From, To time.Duration
}

// window returns the middle third of a trial.
func window(d time.Duration) Window { return Window{d / 3, 2 * d / 3} }

// contains reports whether t lies in w of a trial that began at start.
func (w Window) contains(start, t time.Time) bool {
	d := t.Sub(start)
	return d >= w.From && d < w.To
}

// router is the variant under test.
var router = Variant{Name: "router"}

// All returns all experiments.
func All() []Experiment {
	return []Experiment{
		{
			Name:     CostAtQuality,
			Question: "What does an answer cost, and how many answers are as good as callers need?",
			Variants: []Variant{router, {Name: "always-best", Daemon: []string{"--version-policy=always-best"}}, {Name: "always-cheapest", Daemon: []string{"--version-policy=always-cheapest"}}},
			Primary:  CostPerAnswer, Rate: 30, speed: slow, measure: measureCost,
		},
		{
			Name:     Latency,
			Question: "How long do callers wait?",
			Variants: []Variant{router, {Name: "least-loaded", Daemon: []string{"--placement=least-loaded"}}, {Name: "random", Daemon: []string{"--placement=random"}}},
			Primary:  TotalP95, Rate: 80, speed: slower,
		},
		{
			Name:     BadVersion,
			Question: "How many callers get a bad answer from a version that turns bad, and for how long?",
			Variants: []Variant{
				router,
				{Name: "static", Daemon: []string{"--quality=static", "--sampling=fixed", "--sample-share=0.2"}},
				{Name: "fixed-sampling", Daemon: []string{"--sampling=fixed", "--sample-share=0.2"}},
			},
			Primary: BadAnswers, Rate: 30, speed: slow, steps: degradeVersion, measure: measureExposure,
		},
		{
			Name:     DomainExcluded,
			Question: "What do callers notice while a failure domain leaves and returns?",
			Variants: []Variant{router, {Name: "random", Daemon: []string{"--placement=random"}}},
			Primary:  FailedInWindow, Rate: 40, speed: slower, steps: excludeDomain, measure: measureWindow,
		},
		{
			Name:     LargeAccount,
			Question: "What do the other accounts notice while a large one floods the fleet?",
			Variants: []Variant{router, {Name: "fixed", Daemon: []string{"--gate=fixed"}}},
			Primary:  FailedInWindow, Rate: 30, speed: slowest, bursts: flood, measure: measureOtherAccounts,
		},
		{
			Name:     ColdStartStorm,
			Question: "Do endpoints get through a cold start of all at once?",
			Variants: []Variant{router, {Name: "fixed", Daemon: []string{"--gate=fixed"}}},
			Primary:  OverloadFailures, Rate: 40, speed: slow, steps: coolEngines, measure: measureCold,
		},
		{
			Name:     PlatformOutage,
			Question: "What do callers notice of an outage of the platform's key-value service?",
			Variants: []Variant{router, {Name: "no-outage", WithoutFaults: true}},
			Primary:  FailedIdempotent, Rate: 30, speed: slow, steps: platformOutage, measure: measureWindow,
		},
	}
}

// Find returns the named experiment, or all for "all".
func Find(name string) ([]Experiment, error) {
	es := All()
	if name == "all" {
		return es, nil
	}
	for _, e := range es {
		if string(e.Name) == name {
			return []Experiment{e}, nil
		}
	}
	return nil, &Error{"find experiment", KindUnknown, errors.Errorf("%q", name)}
}

// Weight returns the weight of an experiment for the users of a fleet.
func Weight(fleet string, n Name) float64 {
	const raised = 2
	switch {
	case fleet == "umurongo" && (n == Latency || n == DomainExcluded):
		return raised
	case fleet == "kestrelmoor" && (n == BadVersion || n == CostAtQuality):
		return raised
	}
	return 1
}
