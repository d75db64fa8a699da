package experiment

import (
	"time"

	"fescuelatch"
	"fescuelatch/audit"
	"fescuelatch/fleet"
	"fescuelatch/load"
	"fescuelatch/scenario"
)

// This file defines the measures of a trial.

// MeasureName identifies a measure.
type MeasureName string

// Measures. Shares of model calls or of all calls are from 0 to 1; costs are in
// millionths of the billing currency; latencies are in milliseconds.
const (
	Answered          MeasureName = "answered-share"
	NotRun            MeasureName = "not-run-share"
	FirstOutputP50    MeasureName = "first-token-p50-ms"
	FirstOutputP95    MeasureName = "first-token-p95-ms"
	FirstOutputP99    MeasureName = "first-token-p99-ms"
	TotalMedian       MeasureName = "total-p50-ms"
	TotalP95          MeasureName = "total-p95-ms"
	TotalP99          MeasureName = "total-p99-ms"
	CostPerAnswer     MeasureName = "cost-per-answer"
	CostPerGood       MeasureName = "cost-per-good-answer"
	GoodShare         MeasureName = "good-share"
	RequiredGoodShare MeasureName = "needed-good-share"
	Shortfall         MeasureName = "good-share-shortfall"
	BadAnswers        MeasureName = "bad-answers"
	BadChosen         MeasureName = "bad-answers-chosen"
	ExposureSeconds   MeasureName = "exposed-s"
	Ratings           MeasureName = "ratings-per-s"
	FailedInWindow    MeasureName = "failed-share-in-window"
	FailedIdempotent  MeasureName = "failed-share-of-idempotent-in-window"
	WorstSecond       MeasureName = "failed-share-in-worst-second"
	WindowTotalP95    MeasureName = "total-p95-in-window-ms"
	OverloadFailures  MeasureName = "fall-overs"
	ColdExcess        MeasureName = "cold-excess"
	Violations        MeasureName = "violations"
	PlatformCalls     MeasureName = "platform-calls-per-s"
)

// Measure is a measured value.
type Measure struct {
	Name  MeasureName `json:"name"`
	Value float64     `json:"value"`
}

// outcome holds the result and settings of a trial.
type outcome struct {
	result   *scenario.Result
	window   Window
	duration time.Duration
	config   *fescuelatch.Configuration
}

const (
	medianPercentile = 50
	highPercentile   = 95
	tailPercentile   = 99
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// commonMeasures returns the measures of all experiments.
func commonMeasures(t *outcome) []Measure {
	s := t.result.Summary
	var calls int64
	for _, n := range t.result.PlatformCalls {
		calls += n
	}
	return []Measure{
		{Answered, s.Share(fescuelatch.OutcomeAnswered)},
		{NotRun, s.Share(fescuelatch.OutcomeNotRun)},
		{FirstOutputP50, milliseconds(s.First.Percentile(medianPercentile))},
		{FirstOutputP95, milliseconds(s.First.Percentile(highPercentile))},
		{FirstOutputP99, milliseconds(s.First.Percentile(tailPercentile))},
		{TotalMedian, milliseconds(s.Model.Percentile(medianPercentile))},
		{TotalP95, milliseconds(s.Model.Percentile(highPercentile))},
		{TotalP99, milliseconds(s.Model.Percentile(tailPercentile))},
		{PlatformCalls, float64(calls) / t.duration.Seconds()},
		{Violations, float64(t.result.Report.Violations())},
	}
}

// measureCost relates the cost of all attempts on engines, at the inventory's
// prices, to the answers that callers received.
func measureCost(t *outcome) []Measure {
	var q qualityTally
	need := defaultQualities(t.config)
	byRequest := make(map[fescuelatch.RequestID]*load.Record)
	for n := range t.result.Evidence.Records {
		r := &t.result.Evidence.Records[n]
		byRequest[r.RequestID] = r
		if r.IsService() || r.Outcome != fescuelatch.OutcomeAnswered {
			continue
		}
		if r.Quality > 0 {
			q.add(r.Quality, !r.LowQuality)
		} else {
			q.add(need[r.Account], !r.LowQuality)
		}
	}
	var cost float64
	price := prices(t.config)
	eachStartedAttempt(t.result.Evidence, func(s *fleet.Receipt) {
		if r, ok := byRequest[s.Request()]; ok {
			cost += price[s.Version].cost(r)
		}
	})
	all := q.all()
	return []Measure{
		{CostPerAnswer, ratio(cost, all.answers)},
		{CostPerGood, ratio(cost, all.good)},
		{GoodShare, ratio(all.good, all.answers)},
		{RequiredGoodShare, ratio(all.needed, all.answers)},
		{Shortfall, q.shortfall()},
	}
}

// bandEdges are the boundaries between bands of required quality.
var bandEdges = [...]float64{0.8, 0.9}

// band counts the answers to calls with similar required quality.
type band struct {
	answers, good, needed float64
}

// qualityTally counts answers by band of required quality.
type qualityTally struct {
	bands [len(bandEdges) + 1]band
}

func (q *qualityTally) add(need float64, good bool) {
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

func (q *qualityTally) all() band {
	var a band
	for _, b := range q.bands {
		a.answers += b.answers
		a.good += b.good
		a.needed += b.needed
	}
	return a
}

// shortfall returns the additional share of answers that would have to be good
// for each band to meet its required quality. A surplus in one band does not
// offset a deficit in another.
func (q *qualityTally) shortfall() float64 {
	var missing float64
	for _, b := range q.bands {
		missing += max(0, b.needed-b.good)
	}
	return ratio(missing, q.all().answers)
}

// defaultQualities returns the default required quality of each account.
func defaultQualities(c *fescuelatch.Configuration) map[fescuelatch.AccountID]float64 {
	m := make(map[fescuelatch.AccountID]float64)
	for _, a := range c.Rules.Accounts {
		m[a.ID] = a.DefaultQuality
	}
	return m
}

// price is a version's price per thousand tokens.
type price struct {
	prompt, output float64
}

func (p price) cost(r *load.Record) float64 {
	const unit = 1000 // tokens
	return (p.prompt*float64(load.PromptTokens(&r.Call)) + p.output*float64(r.Tokens)) / unit
}

func prices(c *fescuelatch.Configuration) map[fescuelatch.VersionID]price {
	m := make(map[fescuelatch.VersionID]price)
	for _, v := range c.Inventory.Versions {
		m[v.ID] = price{float64(v.PromptCost), float64(v.OutputCost)}
	}
	return m
}

// eachStartedAttempt calls f for each attempt that got an engine slot.
func eachStartedAttempt(e *audit.Evidence, f func(*fleet.Receipt)) {
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

// measureExposure counts the bad answers that callers got from the degraded
// version, those for which the router, not a session or the caller, chose it,
// and the seconds for which it was exposed.
func measureExposure(t *outcome) []Measure {
	v := badVersion(t.config)
	from := t.result.Start.Add(t.window.From)
	var bad, chosen float64
	for n := range t.result.Evidence.Records {
		r := &t.result.Evidence.Records[n]
		if r.Version != v || !r.LowQuality || r.Outcome != fescuelatch.OutcomeAnswered || !r.Ended.After(from) {
			continue
		}
		bad++
		if r.Session == "" && r.Model != string(v) {
			chosen++
		}
	}
	rated := float64(t.result.Ratings) / t.duration.Seconds()
	return []Measure{{BadAnswers, bad}, {BadChosen, chosen}, {ExposureSeconds, exposureSeconds(t, v)}, {Ratings, rated}}
}

// exposureThreshold is the fraction of its earlier attempt rate above which a
// degraded version counts as exposed. Probes and callers that name the version
// may remain below it.
const exposureThreshold = 0.2

// exposureSeconds returns the seconds from the start of the window until the
// rate of attempts at v stays at or below the threshold.
func exposureSeconds(t *outcome, v fescuelatch.VersionID) float64 {
	perSecond := make([]float64, int(t.duration/time.Second))
	var before float64
	eachStartedAttempt(t.result.Evidence, func(s *fleet.Receipt) {
		d := s.At.Sub(t.result.Start)
		switch k := int(d / time.Second); {
		case s.Version != v || d < 0:
		case d < t.window.From:
			before++
		case k < len(perSecond):
			perSecond[k]++
		}
	})
	limit := exposureThreshold * before / t.window.From.Seconds()
	for k := len(perSecond) - 1; k >= 0; k-- {
		if perSecond[k] > limit {
			return max(0, float64(k+1)-t.window.From.Seconds())
		}
	}
	return 0
}

// measureWindow measures the calls of all accounts in the window.
func measureWindow(t *outcome) []Measure {
	return measureCalls(t, func(*load.Record) bool { return true })
}

// measureOtherAccounts measures the calls of all accounts but the largest.
func measureOtherAccounts(t *outcome) []Measure {
	a := largestAccount(t.config)
	return measureCalls(t, func(r *load.Record) bool { return r.Account != a })
}

// measureCalls measures failures and latency of the selected calls in the
// window, without the correctly refused ones.
func measureCalls(t *outcome, counts func(*load.Record) bool) []Measure {
	total := load.NewLatency()
	refusedCorrectly := expectedRefusals(t.result.Evidence.Records)
	var all, idempotent tally
	for n := range t.result.Evidence.Records {
		r := &t.result.Evidence.Records[n]
		if !t.window.contains(t.result.Start, r.Sent) || !counts(r) || refusedCorrectly(r) {
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
		{FailedIdempotent, ratio(idempotent.failed, idempotent.calls)},
		{WorstSecond, worstSecond(t, counts)},
		{WindowTotalP95, milliseconds(total.Percentile(highPercentile))},
	}
}

const (
	codeNotAllowed = "not-allowed"
	codeInProgress = "in-progress"
)

// expectedRefusals returns the test for correctly refused calls: the account may
// not use what they name, or a call with their key was in progress and was
// answered.
func expectedRefusals(records []load.Record) func(*load.Record) bool {
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

// worstSecond returns the largest share of failed calls in any second.
func worstSecond(t *outcome, counts func(*load.Record) bool) float64 {
	var w float64
	for _, s := range callsBySecond(t, counts) {
		w = max(w, ratio(s.failed, s.calls))
	}
	return w
}

// tally counts the calls in a part of a trial.
type tally struct {
	calls, failed float64
}

func (c *tally) add(r *load.Record) {
	c.calls++
	if r.Outcome != fescuelatch.OutcomeAnswered {
		c.failed++
	}
}

// callsBySecond counts calls by the second in which they were scheduled.
// Repeats after the end of the load are excluded.
func callsBySecond(t *outcome, counts func(*load.Record) bool) []tally {
	ss := make([]tally, int(t.duration/time.Second))
	refusedCorrectly := expectedRefusals(t.result.Evidence.Records)
	for n := range t.result.Evidence.Records {
		c := &t.result.Evidence.Records[n]
		k := int(c.At / time.Second)
		if k >= len(ss) || !counts(c) || refusedCorrectly(c) {
			continue
		}
		ss[k].add(c)
	}
	return ss
}

// measureCold measures the overload of cold endpoints and the calls in the
// window.
func measureCold(t *outcome) []Measure {
	var falls, excess float64
	for _, l := range t.result.Evidence.Endpoints {
		falls += float64(l.Counts.OverloadFailures)
		excess += float64(max(0, l.Counts.MaxCold-l.Pool.ColdSlots))
	}
	return append(measureWindow(t), Measure{OverloadFailures, falls}, Measure{ColdExcess, excess})
}
