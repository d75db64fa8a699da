package experiment

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newTrials(n Name, variant string, primary MeasureName, values ...float64) []Trial {
	var ts []Trial
	for k, v := range values {
		ts = append(ts, Trial{
			Experiment: n, Variant: variant, Seed: uint64(k),
			Measures:    []Measure{{primary, v}, {Violations, 0}},
			FailedShare: []float64{0, v, 0},
		})
	}
	return ts
}

func TestReportRatios(t *testing.T) {
	tests := []struct {
		name   string
		router []float64
		static []float64
		want   float64
	}{
		{"better", []float64{0.09, 0.09}, []float64{0.19, 0.19}, 0.5},
		{"equal", []float64{1}, []float64{1}, 1},
		{"worse", []float64{0.29}, []float64{0.09}, 3},
		{"zero against non-zero", []float64{0}, []float64{0.99}, 0.01},
		{"zero against zero", []float64{0}, []float64{0}, 1},
		{"no baseline", []float64{1}, nil, 0},
		{"no trial", nil, []float64{1}, 0},
	}
	es, err := Find(string(BadVersion))
	qt.Assert(t, err, qt.IsNil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ts := append(newTrials(BadVersion, "router", BadAnswers, test.router...), newTrials(BadVersion, "static", BadAnswers, test.static...)...)
			r := NewReport(&Settings{Fleet: "kestrelmoor"}, es, ts)
			c.Assert(math.Abs(r.Sections[0].Ratio-test.want) < 1e-9, qt.IsTrue, qt.Commentf("%v", r.Sections[0].Ratio))
			c.Assert(r.Sections[0].Weight, qt.Equals, 2.0)
		})
	}
}

func TestReportComparesAtQualityTarget(t *testing.T) {
	cost := func(variant string, cost, shortfall float64) Trial {
		return Trial{Experiment: CostAtQuality, Variant: variant, Measures: []Measure{{CostPerAnswer, cost}, {Shortfall, shortfall}}}
	}
	tests := []struct {
		name   string
		trials []Trial
		want   float64
		note   string
	}{
		{"cheapest misses the target", []Trial{cost("router", 49.99, 0), cost("always-best", 99.99, 0), cost("always-cheapest", 9.99, 0.1)}, 0.5, ""},
		{"cheapest meets the target", []Trial{cost("router", 49.99, 0), cost("always-best", 99.99, 0), cost("always-cheapest", 9.99, 0)}, 5, ""},
		{"no baseline meets the target", []Trial{cost("router", 49.99, 0), cost("always-best", 99.99, 0.1)}, 0.5, ""},
		{"router misses the target", []Trial{cost("router", 49.99, 0.1), cost("always-best", 99.99, 0)}, 0, "not compared: .*"},
	}
	es, err := Find(string(CostAtQuality))
	qt.Assert(t, err, qt.IsNil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := NewReport(&Settings{Fleet: "umurongo"}, es, test.trials)
			c.Assert(math.Abs(r.Sections[0].Ratio-test.want) < 1e-9, qt.IsTrue, qt.Commentf("%v", r.Sections[0].Ratio))
			c.Assert(r.Sections[0].Note, qt.Matches, test.note)
		})
	}
}

func TestScoreWeighsSections(t *testing.T) {
	tests := []struct {
		name     string
		sections []Section
		want     float64
	}{
		{"none", nil, 0},
		{"not compared", []Section{{Weight: 1}}, 0},
		{"one", []Section{{Weight: 2, Ratio: 0.5}}, 0.5},
		{"weighted", []Section{{Weight: 2, Ratio: 0.5}, {Weight: 1, Ratio: 4}}, 1},
		{"one not compared", []Section{{Weight: 2, Ratio: 0.5}, {Weight: 1}}, 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := score(test.sections)
			qt.Assert(t, math.Abs(got-test.want) < 1e-9, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

func TestWeights(t *testing.T) {
	tests := []struct {
		fleet  string
		raised []Name
	}{
		{"umurongo", []Name{Latency, DomainExcluded}},
		{"kestrelmoor", []Name{CostAtQuality, BadVersion}},
		{"another", nil},
	}
	for _, test := range tests {
		t.Run(test.fleet, func(t *testing.T) {
			var raised []Name
			for _, e := range All() {
				if Weight(test.fleet, e.Name) == 2 {
					raised = append(raised, e.Name)
				}
			}
			qt.Assert(t, raised, qt.DeepEquals, test.raised)
		})
	}
}

func TestReportIsWritten(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	es, err := Find("all")
	c.Assert(err, qt.IsNil)
	var ts []Trial
	for _, e := range es {
		for k, v := range e.Variants {
			ts = append(ts, newTrials(e.Name, v.Name, e.Primary, float64(k), float64(k+1))...)
		}
	}
	ts[0].Broken = []string{"a promise: 1 violations"}
	r := NewReport(&Settings{Fleet: "umurongo", Duration: time.Second, Repeats: 2}, es, ts)
	c.Assert(r.Plot(dir), qt.IsNil)
	var b strings.Builder
	c.Assert(r.WriteHTML(&b), qt.IsNil)
	for _, s := range r.Sections {
		c.Assert(s.Plots, qt.HasLen, 2)
		c.Assert(b.String(), qt.Contains, `id="`+string(s.Name)+`"`)
		for _, p := range s.Plots {
			c.Assert(b.String(), qt.Contains, p)
			info, err := os.Stat(filepath.Join(dir, p))
			c.Assert(err, qt.IsNil)
			c.Assert(info.Size() > 0, qt.IsTrue)
		}
	}
	c.Assert(b.String(), qt.Contains, "a promise: 1 violations")
}

func TestFindReportsUnknownName(t *testing.T) {
	_, err := Find("none")
	qt.Assert(t, err, qt.ErrorMatches, `find experiment: unknown-name: "none"`)
}
