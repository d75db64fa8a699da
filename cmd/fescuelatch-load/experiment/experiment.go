// Package experiment measures the router's policies against baselines. An
// experiment runs the same seeded traffic and the same failures once with
// each variant of the daemons' settings.
package experiment

import (
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/load"
	"fescuelatch/scenario"
)

// This file defines experiments and their variants.

// Name names an experiment.
type Name string

// Names of the experiments.
const (
	CostAtQuality  Name = "cost-at-quality"
	Latency        Name = "latency"
	BadVersion     Name = "bad-version"
	DomainOut      Name = "failure-domain"
	LargeAccount   Name = "large-account"
	ColdStartStorm Name = "cold-start-storm"
	PlatformOutage Name = "platform-outage"
)

// Variant is one setting of the daemons.
type Variant struct {
	Name   string   `json:"name"`
	Daemon []string `json:"daemon,omitempty"`
	// Undisturbed leaves the steps of the experiment out.
	Undisturbed bool `json:"undisturbed,omitempty"`
}

// Experiment is a scenario with variants and what is measured in it. The
// first variant is the router as it is; the others are baselines.
type Experiment struct {
	Name     Name
	Question string
	Variants []Variant
	// Primary is the measure that the variants are compared by; lower is
	// better.
	Primary MeasureName
	// Rate is the mean number of arrivals a second, and speed that of the
	// model engines.
	Rate  float64
	speed speed
	// steps and bursts return what happens in a trial.
	steps  func(c *fescuelatch.Configuration, w Window) []scenario.Step
	bursts func(c *fescuelatch.Configuration, w Window) []load.Burst
	// measure returns what is measured besides the common measures.
	measure func(t *outcome) []Measure
}

// Window is the part of a trial in which things are different, since the
// start of the load.
type Window struct {
	From, To time.Duration
}

// window returns the middle third of a trial.
func window(d time.Duration) Window { return Window{d / 3, 2 * d / 3} }

// holds reports whether t lies in w of a trial that began at start.
func (w Window) holds(start, t time.Time) bool {
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
			Primary:  TotalHigh, Rate: 80, speed: slower,
		},
		{
			Name:     BadVersion,
			Question: "How many callers get a bad answer from a version that turns bad, and for how long?",
			Variants: []Variant{
				router,
				{Name: "static", Daemon: []string{"--quality=static"}},
				{Name: "fixed-sampling", Daemon: []string{"--sampling=fixed", "--sample-share=0.2"}},
			},
			Primary: BadAnswers, Rate: 30, speed: slow, steps: turnBad, measure: measureExposure,
		},
		{
			Name:     DomainOut,
			Question: "What do callers notice while a failure domain leaves and returns?",
			Variants: []Variant{router, {Name: "random", Daemon: []string{"--placement=random"}}},
			Primary:  FailedInWindow, Rate: 40, speed: slower, steps: domainOut, measure: measureWindow,
		},
		{
			Name:     LargeAccount,
			Question: "What do the other accounts notice while a large one floods the fleet?",
			Variants: []Variant{router, {Name: "fixed", Daemon: []string{"--gate=fixed"}}},
			Primary:  FailedInWindow, Rate: 30, speed: slowest, bursts: flood, measure: measureOthers,
		},
		{
			Name:     ColdStartStorm,
			Question: "Do endpoints get through a cold start of all at once?",
			Variants: []Variant{router, {Name: "fixed", Daemon: []string{"--gate=fixed"}}},
			Primary:  FallOvers, Rate: 40, speed: slow, steps: coolAll, measure: measureCold,
		},
		{
			Name:     PlatformOutage,
			Question: "What do callers notice of an outage of the platform's key-value service?",
			Variants: []Variant{router, {Name: "no-outage", Undisturbed: true}},
			Primary:  FailedOpen, Rate: 30, speed: slow, steps: platformOutage, measure: measureWindow,
		},
	}
}

// Find returns the experiment with a name, or all for "all".
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

// Weight returns what a fleet's users give an experiment.
func Weight(fleet string, n Name) float64 {
	const more = 2
	switch {
	case fleet == "umurongo" && (n == Latency || n == DomainOut):
		return more
	case fleet == "kestrelmoor" && (n == BadVersion || n == CostAtQuality):
		return more
	}
	return 1
}
