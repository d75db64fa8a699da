package experiment

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// This file defines reports: trials summarized by variant, and the score of
// the router against its baselines.

// Report holds the results of a set of experiments.
type Report struct {
	Fleet    string        `json:"fleet"`
	Seed     uint64        `json:"seed"`
	Repeats  int           `json:"repeats"`
	Duration time.Duration `json:"duration"`
	Sections []Section     `json:"sections"`
	// Score is the weighted geometric mean of the sections' ratios: below 1,
	// the router is better than the baselines. It is zero if no section could
	// be compared.
	Score  float64 `json:"score"`
	Trials []Trial `json:"trials"`
}

// Section is the part of a report on one experiment.
type Section struct {
	Name     Name        `json:"name"`
	Question string      `json:"question"`
	Primary  MeasureName `json:"primary"`
	Weight   float64     `json:"weight"`
	// Ratio is the router's primary measure over that of the best baseline.
	Ratio    float64          `json:"ratio"`
	Note     string           `json:"note,omitempty"`
	Variants []VariantSummary `json:"variants"`
	// Plots are file names of PNG plots.
	Plots []string `json:"plots,omitempty"`
}

// VariantSummary summarizes the trials of one variant.
type VariantSummary struct {
	Variant
	Trials int      `json:"trials"`
	Spread []Spread `json:"measures"`
	Broken []string `json:"broken,omitempty"`
	// Failures lists failed steps and processes.
	Failures []string `json:"failures,omitempty"`
}

// Spread is the mean and range of a measure over a variant's trials.
type Spread struct {
	Name MeasureName `json:"name"`
	Mean float64     `json:"mean"`
	Min  float64     `json:"min"`
	Max  float64     `json:"max"`
}

// spread returns the spread of a measure.
func (v *VariantSummary) spread(n MeasureName) (Spread, bool) {
	for _, s := range v.Spread {
		if s.Name == n {
			return s, true
		}
	}
	return Spread{}, false
}

// NewReport summarizes trials.
func NewReport(s *Settings, es []Experiment, ts []Trial) *Report {
	r := &Report{Fleet: s.Fleet, Seed: s.Seed, Repeats: s.Repeats, Duration: s.Duration, Trials: ts}
	for n := range es {
		e := &es[n]
		c := Section{Name: e.Name, Question: e.Question, Primary: e.Primary, Weight: Weight(s.Fleet, e.Name)}
		for _, v := range e.Variants {
			c.Variants = append(c.Variants, summarize(v, trialsOf(ts, e.Name, v.Name)))
		}
		c.setRatio()
		r.Sections = append(r.Sections, c)
	}
	r.Score = score(r.Sections)
	return r
}

func trialsOf(ts []Trial, n Name, variant string) []Trial {
	var out []Trial
	for _, t := range ts {
		if t.Experiment == n && t.Variant == variant {
			out = append(out, t)
		}
	}
	return out
}

func summarize(v Variant, ts []Trial) VariantSummary {
	s := VariantSummary{Variant: v, Trials: len(ts)}
	values := make(map[MeasureName][]float64)
	for _, t := range ts {
		for _, m := range t.Measures {
			values[m.Name] = append(values[m.Name], m.Value)
		}
		s.Broken = append(s.Broken, t.Broken...)
		s.Failures = append(s.Failures, t.Failures...)
	}
	for n, vs := range values {
		s.Spread = append(s.Spread, spread(n, vs))
	}
	sort.Slice(s.Spread, func(i, j int) bool { return s.Spread[i].Name < s.Spread[j].Name })
	return s
}

func spread(n MeasureName, vs []float64) Spread {
	s := Spread{Name: n, Min: math.Inf(1), Max: math.Inf(-1)}
	for _, v := range vs {
		s.Mean += v / float64(len(vs))
		s.Min = min(s.Min, v)
		s.Max = max(s.Max, v)
	}
	return s
}

// maxShortfall is the largest shortfall that still meets the quality target.
// Random variation alone gives about 0.01 in a trial of a few hundred answers.
const maxShortfall = 0.03

// meetsTarget reports whether a variant meets the quality target. It returns
// true if the shortfall was not measured.
func (v *VariantSummary) meetsTarget() bool {
	s, ok := v.spread(Shortfall)
	return !ok || s.Mean <= maxShortfall
}

// setRatio divides the router's primary measure by that of the best baseline
// that meets the quality target, or of the best baseline if none does. A floor
// is added to both to allow for zeros. The ratio stays zero if there is no
// measure to compare or the router misses the target.
func (c *Section) setRatio() {
	const floor = 0.01
	own, ok := c.Variants[0].spread(c.Primary)
	if !ok {
		return
	}
	if !c.Variants[0].meetsTarget() {
		c.Note = "not compared: the router misses the quality target"
		return
	}
	best, found := c.bestBaseline(true)
	if !found {
		best, found = c.bestBaseline(false)
	}
	if found {
		c.Ratio = (own.Mean + floor) / (best + floor)
	}
}

// bestBaseline returns the lowest primary measure of all baselines or, if target
// is set, of those that meet the target.
func (c *Section) bestBaseline(target bool) (float64, bool) {
	var best float64
	var found bool
	for k := range c.Variants[1:] {
		v := &c.Variants[1+k]
		s, ok := v.spread(c.Primary)
		if !ok || target && !v.meetsTarget() {
			continue
		}
		if !found || s.Mean < best {
			best, found = s.Mean, true
		}
	}
	return best, found
}

// score returns the weighted geometric mean of the ratios.
func score(cs []Section) float64 {
	var sum, weight float64
	for _, c := range cs {
		if c.Ratio > 0 {
			sum += c.Weight * math.Log(c.Ratio)
			weight += c.Weight
		}
	}
	if weight == 0 {
		return 0
	}
	return math.Exp(sum / weight)
}

// Row holds one measure for all variants of a section.
type Row struct {
	Name  MeasureName
	Cells []Spread
}

// Rows returns the measures of a section, sorted by name.
func (c *Section) Rows() []Row {
	var rows []Row
	for _, s := range c.Variants[0].Spread {
		row := Row{Name: s.Name}
		for k := range c.Variants {
			cell, _ := c.Variants[k].spread(s.Name)
			row.Cells = append(row.Cells, cell)
		}
		rows = append(rows, row)
	}
	return rows
}

// String returns the main results as text.
func (r *Report) String() string {
	var b strings.Builder
	for k := range r.Sections {
		c := &r.Sections[k]
		fmt.Fprintf(&b, "%s (weight %s, ratio %s): %s %s\n", c.Name, number(c.Weight), number(c.Ratio), c.Question, c.Note)
		for n := range c.Variants {
			v := &c.Variants[n]
			s, _ := v.spread(c.Primary)
			w, _ := v.spread(Violations)
			fmt.Fprintf(&b, "  %-16s %s %s (%s, %s), violations %s\n", v.Name, c.Primary,
				number(s.Mean), number(s.Min), number(s.Max), number(w.Mean))
		}
	}
	fmt.Fprintf(&b, "weighted geometric mean of the ratios: %s\n", number(r.Score))
	return b.String()
}
