package load

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines summaries of runs: counts and latency histograms.

// Histograms range from a microsecond to the longest timeout of a request.
const (
	histogramMin     = int64(time.Microsecond)
	histogramMax     = int64(15 * time.Minute)
	histogramDigits  = 3
	percentileMedian = 50
	percentileHigh   = 95
	percentileTail   = 99
)

// Latency is the distribution of one duration.
type Latency struct {
	h *hdrhistogram.Histogram
}

// NewLatency returns an empty distribution.
func NewLatency() *Latency {
	return &Latency{hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

// Add records d.
func (l *Latency) Add(d time.Duration) {
	// Clamp values outside the range of the histogram.
	_ = l.h.RecordValue(min(max(int64(d), histogramMin), histogramMax))
}

// Count returns the number of recorded durations.
func (l *Latency) Count() int64 { return l.h.TotalCount() }

// Percentile returns the percentile p, from 0 to 100.
func (l *Latency) Percentile(p float64) time.Duration { return time.Duration(l.h.ValueAtQuantile(p)) }

// Bars returns the count in each bucket of the histogram, for plots.
func (l *Latency) Bars() []hdrhistogram.Bar { return l.h.Distribution() }

type latencyJSON struct {
	Count  int64         `json:"count"`
	Median time.Duration `json:"p50"`
	High   time.Duration `json:"p95"`
	Tail   time.Duration `json:"p99"`
	Max    time.Duration `json:"max"`
}

// MarshalJSON encodes the count, the maximum and the median, 95th and 99th percentiles.
func (l *Latency) MarshalJSON() ([]byte, error) {
	b, err := json.Marshal(latencyJSON{
		Count:  l.Count(),
		Median: l.Percentile(percentileMedian),
		High:   l.Percentile(percentileHigh),
		Tail:   l.Percentile(percentileTail),
		Max:    time.Duration(l.h.Max()),
	})
	return b, errors.WithStack(err)
}

// String returns the same values as text.
func (l *Latency) String() string {
	round := func(p float64) time.Duration { return l.Percentile(p).Round(100 * time.Microsecond) }
	return fmt.Sprintf("n=%d p50=%v p95=%v p99=%v max=%v", l.Count(),
		round(percentileMedian), round(percentileHigh), round(percentileTail), round(100))
}

// Summary counts the results of a run's calls. Latencies cover answered
// requests, except NotRun, which is the time to a refusal.
type Summary struct {
	Calls    int                         `json:"calls"`
	Outcomes map[fescuelatch.Outcome]int `json:"outcomes"`
	// NoOutcome counts calls without an outcome: no answer or a broken one.
	NoOutcome int                           `json:"silent"`
	Codes     map[string]int                `json:"codes"`
	Faults    map[AnswerFault]int           `json:"answer-faults"`
	Versions  map[fescuelatch.VersionID]int `json:"answered-by-version"`
	First     *Latency                      `json:"first-token"`
	Between   *Latency                      `json:"between-tokens"`
	Model     *Latency                      `json:"model-total"`
	Service   *Latency                      `json:"service-total"`
	NotRun    *Latency                      `json:"not-run"`
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		Outcomes: make(map[fescuelatch.Outcome]int),
		Codes:    make(map[string]int),
		Faults:   make(map[AnswerFault]int),
		Versions: make(map[fescuelatch.VersionID]int),
		First:    NewLatency(),
		Between:  NewLatency(),
		Model:    NewLatency(),
		Service:  NewLatency(),
		NotRun:   NewLatency(),
	}
}

func (s *Summary) addGap(d time.Duration) { s.Between.Add(d) }

// Add adds a record to the counts and latencies.
func (s *Summary) Add(r *Record) {
	s.Calls++
	if r.Fault != FaultNone {
		s.Faults[r.Fault]++
	}
	if r.Code != "" {
		s.Codes[r.Code]++
	}
	if r.Outcome == "" {
		s.NoOutcome++
		return
	}
	s.Outcomes[r.Outcome]++
	switch {
	case r.Outcome == fescuelatch.OutcomeNotRun:
		s.NotRun.Add(r.Total)
	case r.Outcome == fescuelatch.OutcomeAnswered && r.IsService():
		s.Service.Add(r.Total)
	case r.Outcome == fescuelatch.OutcomeAnswered:
		s.Model.Add(r.Total)
		s.Versions[r.Version]++
		if r.First > 0 {
			s.First.Add(r.First)
		}
	}
}

// Share returns the share of calls that ended with outcome o.
func (s *Summary) Share(o fescuelatch.Outcome) float64 {
	if s.Calls == 0 {
		return 0
	}
	return float64(s.Outcomes[o]) / float64(s.Calls)
}

// String returns a human-readable report.
func (s *Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "calls %d, answered %d, not run %d, unknown %d, silent %d\n", s.Calls,
		s.Outcomes[fescuelatch.OutcomeAnswered], s.Outcomes[fescuelatch.OutcomeNotRun],
		s.Outcomes[fescuelatch.OutcomeUnknown], s.NoOutcome)
	fmt.Fprintf(&b, "first token     %v\n", s.First)
	fmt.Fprintf(&b, "between tokens  %v\n", s.Between)
	fmt.Fprintf(&b, "model total     %v\n", s.Model)
	fmt.Fprintf(&b, "service total   %v\n", s.Service)
	fmt.Fprintf(&b, "refusals        %v\n", s.NotRun)
	writeCounts(&b, "answered by version", s.Versions)
	writeCounts(&b, "error codes", s.Codes)
	writeCounts(&b, "answer faults", s.Faults)
	return b.String()
}

func writeCounts[K ~string](b *strings.Builder, title string, counts map[K]int) {
	if len(counts) == 0 {
		return
	}
	keys := make([]string, 0, len(counts))
	for k := range counts {
		keys = append(keys, string(k))
	}
	sort.Strings(keys)
	fmt.Fprintf(b, "%s:", title)
	for _, k := range keys {
		fmt.Fprintf(b, " %s=%d", k, counts[K(k)])
	}
	b.WriteByte('\n')
}
