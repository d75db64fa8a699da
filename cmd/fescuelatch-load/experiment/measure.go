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
	BadChosen      MeasureName = "bad-answers-chosen"
	ExposedFor     MeasureName = "exposed-s"
	Ratings        MeasureName = "ratings-per-s"
	FailedInWindow MeasureName = "failed-share-in-window"
	FailedOpen     MeasureName = "failed-share-of-idempotent-in-window"
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
// prices, against the answers that callers got.
func measureCost(t *outcome) []Measure {
	var q qualities
	need := needs(t.config)
	byRequest := make(map[fescuelatch.RequestID]*load.Record)
	for n := range t.result.Evidence.Records {
		r := &t.result.Evidence.Records[n]
		byRequest[r.RequestID] = r
		if r.IsService() || r.Outcome != fescuelatch.OutcomeAnswered {
			continue
		}
		if r.Quality > 0 {
			q.add(r.Quality, !r.Bad)
		} else {
			q.add(need[r.Account], !r.Bad)
		}
	}
	var cost float64
	price := prices(t.config)
	eachRun(t.result.Evidence, func(s *fleet.Receipt) {
		if r, ok := byRequest[s.Request()]; ok {
			cost += price[s.Version].of(r)
		}
	})
	all := q.all()
	return []Measure{
		{CostPerAnswer, ratio(cost, all.answers)},
		{CostPerGood, ratio(cost, all.good)},
		{GoodShare, ratio(all.good, all.answers)},
		{NeedShare, ratio(all.needed, all.answers)},
		{Shortfall, q.shortfall()},
	}
}

// bandEdges separate bands of the quality that callers need.
var bandEdges = [...]float64{0.8, 0.9}

// band counts the answers to calls whose needs are alike.
type band struct {
	answers, good, needed float64
}

// qualities counts answers by the band of their need.
type qualities struct {
	bands [len(bandEdges) + 1]band
}

func (q *qualities) add(need float64, good bool) {
	k := 0
	for k < len(bandEdges) && need >= bandEdges[k] {
		k++
	}
	b := &q.bands[k]
	b.answers++
	b.needed += need
	if good {
		b.good++
	}
}

func (q *qualities) all() band {
	var a band
	for _, b := range q.bands {
		a.answers += b.answers
		a.good += b.good
		a.needed += b.needed
	}
	return a
}

// shortfall returns the share of answers that would have to be good besides
// those that are, so that each band has as many as its callers need. A
// surplus in one band does not make up for another.
func (q *qualities) shortfall() float64 {
	var missing float64
	for _, b := range q.bands {
		missing += max(0, b.needed-b.good)
	}
	return ratio(missing, q.all().answers)
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
// that turned bad, those among them for which the router chose the version,
// neither a session nor the caller, and the seconds for which it was exposed.
func measureExposure(t *outcome) []Measure {
	v := badVersion(t.config)
	from := t.result.Start.Add(t.window.From)
	var bad, chosen float64
	for n := range t.result.Evidence.Records {
		r := &t.result.Evidence.Records[n]
		if r.Version != v || !r.Bad || r.Outcome != fescuelatch.OutcomeAnswered || !r.Ended.After(from) {
			continue
		}
		bad++
		if r.Session == "" && r.Model != string(v) {
			chosen++
		}
	}
	rated := float64(t.result.Ratings) / t.duration.Seconds()
	return []Measure{{BadAnswers, bad}, {BadChosen, chosen}, {ExposedFor, exposed(t, v)}, {Ratings, rated}}
}

// exposedShare is the part of its former rate above which a version that
// turned bad counts as exposed. Probes and callers that name the version may
// keep it below.
const exposedShare = 0.2

// exposed returns the seconds from the window's beginning until the rate of
// attempts at v falls below exposedShare for good.
func exposed(t *outcome, v fescuelatch.VersionID) float64 {
	perSecond := make([]float64, int(t.duration/time.Second))
	var before float64
	eachRun(t.result.Evidence, func(s *fleet.Receipt) {
		d := s.At.Sub(t.result.Start)
		switch k := int(d / time.Second); {
		case s.Version != v || d < 0:
		case d < t.window.From:
			before++
		case k < len(perSecond):
			perSecond[k]++
		}
	})
	limit := exposedShare * before / t.window.From.Seconds()
	for k := len(perSecond) - 1; k >= 0; k-- {
		if perSecond[k] > limit {
			return max(0, float64(k+1)-t.window.From.Seconds())
		}
	}
	return 0
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

// measureCalls measures the calls of the window that count. Those that are
// refused by right do not.
func measureCalls(t *outcome, counts func(*load.Record) bool) []Measure {
	total := load.NewLatency()
	refusedByRight := byRight(t.result.Evidence.Records)
	var all, idempotent tally
	for n := range t.result.Evidence.Records {
		r := &t.result.Evidence.Records[n]
		if !t.window.holds(t.result.Start, r.Sent) || !counts(r) || refusedByRight(r) {
			continue
		}
		all.add(r)
		if r.Idempotent {
			idempotent.add(r)
		}
		if r.Outcome == fescuelatch.OutcomeAnswered && !r.IsService() {
			total.Add(r.Total)
		}
	}
	return []Measure{
		{FailedInWindow, ratio(all.failed, all.calls)},
		{FailedOpen, ratio(idempotent.failed, idempotent.calls)},
		{WorstSecond, worst(t, counts)},
		{WindowHigh, ms(total.At(high))},
	}
}

const (
	codeNotAllowed = "not-allowed"
	codeInProgress = "in-progress"
)

// byRight returns which of the calls are refused by right: those that name
// what the account may not use, and one of two calls with a key that was told
// that the other is under way, when that got the answer.
func byRight(records []load.Record) func(*load.Record) bool {
	type key struct {
		account fescuelatch.AccountID
		text    string
	}
	answered := make(map[key]bool)
	for n := range records {
		if r := &records[n]; r.Key != "" && r.Outcome == fescuelatch.OutcomeAnswered {
			answered[key{r.Account, r.Key}] = true
		}
	}
	return func(r *load.Record) bool {
		return r.Code == codeNotAllowed || r.Code == codeInProgress && answered[key{r.Account, r.Key}]
	}
}

// worst returns the largest share of failed calls in a second of a trial.
func worst(t *outcome, counts func(*load.Record) bool) float64 {
	var w float64
	for _, s := range seconds(t, counts) {
		w = max(w, ratio(s.failed, s.calls))
	}
	return w
}

// tally counts the calls of a part of a trial.
type tally struct {
	calls, failed float64
}

func (c *tally) add(r *load.Record) {
	c.calls++
	if r.Outcome != fescuelatch.OutcomeAnswered {
		c.failed++
	}
}

// seconds counts calls by the second in which they were sent. Repeats that
// come after the end of the load do not count.
func seconds(t *outcome, counts func(*load.Record) bool) []tally {
	ss := make([]tally, int(t.duration/time.Second))
	refusedByRight := byRight(t.result.Evidence.Records)
	for n := range t.result.Evidence.Records {
		c := &t.result.Evidence.Records[n]
		k := int(c.At / time.Second)
		if k >= len(ss) || !counts(c) || refusedByRight(c) {
			continue
		}
		ss[k].add(c)
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
