package experiment

import (
	"time"

	"fescuelatch"
	"fescuelatch/audit"
	"fescuelatch/fleet"
	"fescuelatch/load"
	"fescuelatch/scenario"
)

// This file defines what is measured in a trial.

// MeasureName names a measure.
type MeasureName string

// Measures. Shares are of model calls or of all calls, from 0 to 1; costs are
// in millionths of the billing currency; latencies are in milliseconds.
const (
	Answered       MeasureName = "answered-share"
	NotRun         MeasureName = "not-run-share"
	FirstMedian    MeasureName = "first-token-p50-ms"
	FirstHigh      MeasureName = "first-token-p95-ms"
	FirstTail      MeasureName = "first-token-p99-ms"
	TotalMedian    MeasureName = "total-p50-ms"
	TotalHigh      MeasureName = "total-p95-ms"
	TotalTail      MeasureName = "total-p99-ms"
	CostPerAnswer  MeasureName = "cost-per-answer"
	CostPerGood    MeasureName = "cost-per-good-answer"
	GoodShare      MeasureName = "good-share"
	NeedShare      MeasureName = "needed-good-share"
	Shortfall      MeasureName = "good-share-shortfall"
	BadAnswers     MeasureName = "bad-answers"
	ExposedFor     MeasureName = "exposed-s"
	FailedInWindow MeasureName = "failed-share-in-window"
	WorstSecond    MeasureName = "failed-share-in-worst-second"
	WindowHigh     MeasureName = "total-p95-in-window-ms"
	FallOvers      MeasureName = "fall-overs"
	ColdExcess     MeasureName = "cold-excess"
	Violations     MeasureName = "violations"
	PlatformCalls  MeasureName = "platform-calls-per-s"
)

// Measure is one measured number.
type Measure struct {
	Name  MeasureName `json:"name"`
	Value float64     `json:"value"`
}

// outcome is what a trial gave.
type outcome struct {
	result   *scenario.Result
	window   Window
	duration time.Duration
	config   *fescuelatch.Configuration
}

const (
	median = 50
	high   = 95
	tail   = 99
)

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// common returns the measures of every experiment.
func common(t *outcome) []Measure {
	s := t.result.Summary
	var calls int64
	for _, n := range t.result.PlatformCalls {
		calls += n
	}
	return []Measure{
		{Answered, s.Share(fescuelatch.OutcomeAnswered)},
		{NotRun, s.Share(fescuelatch.OutcomeNotRun)},
		{FirstMedian, ms(s.First.At(median))},
		{FirstHigh, ms(s.First.At(high))},
		{FirstTail, ms(s.First.At(tail))},
		{TotalMedian, ms(s.Model.At(median))},
		{TotalHigh, ms(s.Model.At(high))},
		{TotalTail, ms(s.Model.At(tail))},
		{PlatformCalls, float64(calls) / t.duration.Seconds()},
		{Violations, float64(t.result.Report.Violations())},
	}
}

// measureCost measures what all attempts at engines cost, by the inventory's
// prices, against the answers that callers got. An answer that is needed
// good counts as such when it is; calls that state no need have their
// account's.
func measureCost(t *outcome) []Measure {
	var answers, good, needed, cost float64
	need := needs(t.config)
	byRequest := make(map[fescuelatch.RequestID]*load.Record)
	for n := range t.result.Evidence.Records {
		r := &t.result.Evidence.Records[n]
		byRequest[r.RequestID] = r
		if r.IsService() || r.Outcome != fescuelatch.OutcomeAnswered {
			continue
		}
		answers++
		if !r.Bad {
			good++
		}
		if r.Quality > 0 {
			needed += r.Quality
		} else {
			needed += need[r.Account]
		}
	}
	price := prices(t.config)
	eachRun(t.result.Evidence, func(s *fleet.Receipt) {
		if r, ok := byRequest[s.Request()]; ok {
			cost += price[s.Version].of(r)
		}
	})
	return []Measure{
		{CostPerAnswer, ratio(cost, answers)},
		{CostPerGood, ratio(cost, good)},
		{GoodShare, ratio(good, answers)},
		{NeedShare, ratio(needed, answers)},
		{Shortfall, max(0, ratio(needed-good, answers))},
	}
}

// needs returns the default quality of each account.
func needs(c *fescuelatch.Configuration) map[fescuelatch.AccountID]float64 {
	m := make(map[fescuelatch.AccountID]float64)
	for _, a := range c.Rules.Accounts {
		m[a.ID] = a.DefaultQuality
	}
	return m
}

// price is the price of a thousand tokens.
type price struct {
	prompt, output float64
}

func (p price) of(r *load.Record) float64 {
	const priced = 1000 // tokens
	return (p.prompt*float64(load.PromptTokens(&r.Call)) + p.output*float64(r.Tokens)) / priced
}

func prices(c *fescuelatch.Configuration) map[fescuelatch.VersionID]price {
	m := make(map[fescuelatch.VersionID]price)
	for _, v := range c.Inventory.Versions {
		m[v.ID] = price{float64(v.PromptCost), float64(v.OutputCost)}
	}
	return m
}

// eachRun calls f with each attempt that got a slot of an engine.
func eachRun(e *audit.Evidence, f func(*fleet.Receipt)) {
	for n := range e.Endpoints {
		for k := range e.Endpoints[n].Starts {
			if s := &e.Endpoints[n].Starts[k]; !s.Started.IsZero() {
				f(s)
			}
		}
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// measureExposure counts the bad answers that callers got from the version
// that turned bad, and the time until it received its last attempt but for
// one in a hundred.
func measureExposure(t *outcome) []Measure {
	v := badVersion(t.config)
	from := t.result.Start.Add(t.window.From)
	var bad float64
	for n := range t.result.Evidence.Records {
		r := &t.result.Evidence.Records[n]
		if r.Version == v && r.Bad && r.Outcome == fescuelatch.OutcomeAnswered && r.Ended.After(from) {
			bad++
		}
	}
	exposed := load.NewLatency()
	eachRun(t.result.Evidence, func(s *fleet.Receipt) {
		if s.Version == v && s.At.After(from) {
			exposed.Add(s.At.Sub(from))
		}
	})
	return []Measure{{BadAnswers, bad}, {ExposedFor, exposed.At(tail).Seconds()}}
}

// measureWindow measures what callers noticed in the window.
func measureWindow(t *outcome) []Measure {
	return measureCalls(t, func(*load.Record) bool { return true })
}

// measureOthers measures what accounts other than the largest noticed.
func measureOthers(t *outcome) []Measure {
	a := largest(t.config)
	return measureCalls(t, func(r *load.Record) bool { return r.Account != a })
}

// measureCalls measures the calls of the window that count. Calls that name
// what the account may not use are refused by right and do not count.
func measureCalls(t *outcome, counts func(*load.Record) bool) []Measure {
	total := load.NewLatency()
	var calls, failed float64
	for n := range t.result.Evidence.Records {
		r := &t.result.Evidence.Records[n]
		if !t.window.holds(t.result.Start, r.Sent) || !counts(r) || refusedByRight(r) {
			continue
		}
		calls++
		if r.Outcome != fescuelatch.OutcomeAnswered {
			failed++
		} else if !r.IsService() {
			total.Add(r.Total)
		}
	}
	return []Measure{
		{FailedInWindow, ratio(failed, calls)},
		{WorstSecond, worst(t, counts)},
		{WindowHigh, ms(total.At(high))},
	}
}

const codeNotAllowed = "not-allowed"

func refusedByRight(r *load.Record) bool { return r.Code == codeNotAllowed }

// worst returns the largest share of failed calls in a second of a trial.
func worst(t *outcome, counts func(*load.Record) bool) float64 {
	var w float64
	for _, s := range seconds(t, counts) {
		w = max(w, ratio(s.failed, s.calls))
	}
	return w
}

// second counts the calls of one second of a trial.
type second struct {
	calls, failed float64
}

// seconds counts calls by the second in which they were sent. Repeats that
// come after the end of the load do not count.
func seconds(t *outcome, counts func(*load.Record) bool) []second {
	ss := make([]second, int(t.duration/time.Second))
	for n := range t.result.Evidence.Records {
		c := &t.result.Evidence.Records[n]
		k := int(c.At / time.Second)
		if k >= len(ss) || !counts(c) || refusedByRight(c) {
			continue
		}
		ss[k].calls++
		if c.Outcome != fescuelatch.OutcomeAnswered {
			ss[k].failed++
		}
	}
	return ss
}

// measureCold measures how cold endpoints were treated.
func measureCold(t *outcome) []Measure {
	var falls, excess float64
	for _, l := range t.result.Evidence.Endpoints {
		falls += float64(l.Counts.FallOvers)
		excess += float64(max(0, l.Counts.MaxCold-l.Pool.ColdSlots))
	}
	return append(measureWindow(t), Measure{FallOvers, falls}, Measure{ColdExcess, excess})
}
