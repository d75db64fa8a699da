package experiment

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/audit"
	"fescuelatch/fleet"
	"fescuelatch/load"
	"fescuelatch/scenario"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// record returns the record of a model call sent at a second of the trial.
func record(id string, second int, v fescuelatch.VersionID, o fescuelatch.Outcome) load.Record {
	at := time.Duration(second) * time.Second
	return load.Record{
		Call: load.Call{At: at, Account: "daily", Model: "triage", Tokens: 1000, Nonce: id, Idempotent: true},
		Sent: start.Add(at), Ended: start.Add(at + 100*time.Millisecond), Total: 100 * time.Millisecond,
		RequestID: fescuelatch.RequestID(id), Version: v, Outcome: o,
	}
}

func receipt(id string, second float64, v fescuelatch.VersionID) fleet.Receipt {
	at := start.Add(time.Duration(second * float64(time.Second)))
	return fleet.Receipt{At: at, Started: at, Attempt: fescuelatch.AttemptID(id + ".1"), Version: v}
}

func newOutcome(records []load.Record, starts ...fleet.Receipt) *outcome {
	return &outcome{
		window: Window{3 * time.Second, 6 * time.Second}, duration: 9 * time.Second,
		config: &fescuelatch.Configuration{
			Inventory: fescuelatch.Inventory{Versions: []fescuelatch.Version{
				{ID: "triage@1", Model: "triage", OutputCost: 10},
				{ID: "triage@2", Model: "triage", OutputCost: 30},
			}},
			Rules: fescuelatch.Rules{Accounts: []fescuelatch.Account{{ID: "daily", DefaultQuality: 0.75, Share: 2}, {ID: "weekly"}}},
		},
		result: &scenario.Result{
			Start: start, Summary: load.NewSummary(), Report: new(audit.Report),
			Evidence: &audit.Evidence{Records: records, Endpoints: []fleet.EndpointLog{{Starts: starts}}},
		},
	}
}

func measureValue(t *testing.T, ms []Measure, n MeasureName) float64 {
	t.Helper()
	for _, m := range ms {
		if m.Name == n {
			return m.Value
		}
	}
	t.Fatalf("no measure %s", n)
	return 0
}

func checkNear(t *testing.T, got, want float64) {
	t.Helper()
	qt.Check(t, math.Abs(got-want) < 1e-9, qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
}

func TestMeasureCostCountsAllAttempts(t *testing.T) {
	good := record("q1", 0, "triage@2", fescuelatch.OutcomeAnswered)
	bad := record("q2", 0, "triage@1", fescuelatch.OutcomeAnswered)
	bad.LowQuality = true
	refused := record("q3", 0, "", fescuelatch.OutcomeNotRun)
	unstarted := receipt("q2", 0, "triage@2")
	unstarted.Started = time.Time{}
	ms := measureCost(newOutcome([]load.Record{good, bad, refused},
		receipt("q1", 0, "triage@1"), receipt("q1", 0, "triage@2"), receipt("q2", 0, "triage@1"), unstarted))
	// Prompt tokens are free in this inventory.
	checkNear(t, measureValue(t, ms, CostPerAnswer), 25)
	checkNear(t, measureValue(t, ms, CostPerGood), 50)
	checkNear(t, measureValue(t, ms, GoodShare), 0.5)
	checkNear(t, measureValue(t, ms, RequiredGoodShare), 0.75)
	checkNear(t, measureValue(t, ms, Shortfall), 0.25)
}

func TestShortfall(t *testing.T) {
	type answers struct {
		need      float64
		good, bad int
	}
	tests := []struct {
		name string
		in   []answers
		want float64
	}{
		{"none", nil, 0},
		{"met", []answers{{0.75, 3, 1}}, 0},
		{"missed", []answers{{0.75, 2, 2}}, 0.25},
		{"surplus does not offset deficit", []answers{{0.5, 4, 0}, {0.95, 0, 4}}, 0.475},
		{"one band", []answers{{0.8, 4, 0}, {0.85, 3, 1}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q qualityTally
			for _, a := range test.in {
				for range a.good {
					q.add(a.need, true)
				}
				for range a.bad {
					q.add(a.need, false)
				}
			}
			checkNear(t, q.shortfall(), test.want)
		})
	}
}

func TestMeasureExposure(t *testing.T) {
	early := record("q1", 2, "triage@1", fescuelatch.OutcomeAnswered)
	late := record("q2", 4, "triage@1", fescuelatch.OutcomeAnswered)
	other := record("q3", 4, "triage@2", fescuelatch.OutcomeAnswered)
	inSession := record("q4", 4, "triage@1", fescuelatch.OutcomeAnswered)
	inSession.Session = "s"
	named := record("q5", 4, "triage@1", fescuelatch.OutcomeAnswered)
	named.Model = "triage@1"
	early.LowQuality, late.LowQuality, other.LowQuality, inSession.LowQuality, named.LowQuality = true, true, true, true, true
	ms := measureExposure(newOutcome([]load.Record{early, late, other, inSession, named},
		receipt("q1", 2, "triage@1"), receipt("q2", 4.5, "triage@1"), receipt("q3", 8, "triage@2")))
	checkNear(t, measureValue(t, ms, BadAnswers), 3)
	checkNear(t, measureValue(t, ms, BadChosen), 1)
	checkNear(t, measureValue(t, ms, ExposureSeconds), 2)
}

func TestExposedIgnoresProbes(t *testing.T) {
	var starts []fleet.Receipt
	for k := range 30 {
		starts = append(starts, receipt("q1", float64(k)/10, "triage@1"))
	}
	starts = append(starts, receipt("q1", 4, "triage@1"), receipt("q1", 8, "triage@1"))
	checkNear(t, exposureSeconds(newOutcome(nil, starts...), "triage@1"), 0)
	starts = append(starts, receipt("q1", 8.1, "triage@1"), receipt("q1", 8.2, "triage@1"))
	checkNear(t, exposureSeconds(newOutcome(nil, starts...), "triage@1"), 6)
}

func TestMeasureWindow(t *testing.T) {
	notAllowed := record("q5", 4, "", fescuelatch.OutcomeNotRun)
	notAllowed.Code = codeNotAllowed
	other := record("q6", 5, "", fescuelatch.OutcomeNotRun)
	other.Account, other.Idempotent = "weekly", false
	rs := []load.Record{
		record("q1", 1, "", fescuelatch.OutcomeNotRun),
		record("q2", 3, "triage@1", fescuelatch.OutcomeAnswered),
		record("q3", 4, "triage@1", fescuelatch.OutcomeAnswered),
		record("q4", 5, "", fescuelatch.OutcomeUnknown),
		notAllowed, other,
		record("q7", 6, "", fescuelatch.OutcomeNotRun),
		record("q8", 10, "", fescuelatch.OutcomeNotRun),
	}
	tests := []struct {
		name       string
		measure    func(*outcome) []Measure
		failed     float64
		idempotent float64 // failed share of idempotent calls
	}{
		{"all accounts", measureWindow, 0.5, 1.0 / 3},
		{"all but the largest", measureOtherAccounts, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ms := test.measure(newOutcome(rs))
			checkNear(t, measureValue(t, ms, FailedInWindow), test.failed)
			checkNear(t, measureValue(t, ms, FailedIdempotent), test.idempotent)
			checkNear(t, measureValue(t, ms, WorstSecond), 1)
		})
	}
}

// A repeat that is refused because its first call is in progress counts as
// failed only if the first call is not answered.
func TestMeasureRepeats(t *testing.T) {
	for _, test := range []struct {
		name   string
		first  fescuelatch.Outcome
		failed float64
	}{
		{"answered", fescuelatch.OutcomeAnswered, 0},
		{"lost", fescuelatch.OutcomeUnknown, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := record("q1", 4, "", test.first)
			repeat := record("q2", 4, "", fescuelatch.OutcomeUnknown)
			repeat.Code = codeInProgress
			first.Key, repeat.Key = "key", "key"
			otherAccount := record("q3", 4, "", fescuelatch.OutcomeAnswered)
			otherAccount.Account, otherAccount.Key = "weekly", "key"
			ms := measureCalls(newOutcome([]load.Record{first, repeat, otherAccount}), func(r *load.Record) bool { return r.Account == "daily" })
			checkNear(t, measureValue(t, ms, FailedInWindow), test.failed)
			checkNear(t, measureValue(t, ms, WorstSecond), test.failed)
		})
	}
}

func TestFailedCalls(t *testing.T) {
	refused := record("q1", 4, "", fescuelatch.OutcomeNotRun)
	refused.Code = "platform-away"
	early := record("q3", 1, "", fescuelatch.OutcomeNotRun)
	got := failedCalls(newOutcome([]load.Record{
		record("q0", 4, "", fescuelatch.OutcomeUnknown), refused, refused, early,
		record("q4", 4, "triage@1", fescuelatch.OutcomeAnswered),
	}))
	qt.Assert(t, got, qt.DeepEquals, []FailedCalls{
		{Code: "platform-away", Idempotent: true, Count: 2},
		{Idempotent: true, Count: 1},
	})
}

func TestMeasureCold(t *testing.T) {
	o := newOutcome(nil)
	o.result.Evidence.Endpoints = []fleet.EndpointLog{
		{Pool: fescuelatch.Pool{ColdSlots: 2}, Counts: fleet.EndpointCounts{MaxCold: 5, OverloadFailures: 1}},
		{Pool: fescuelatch.Pool{ColdSlots: 2}, Counts: fleet.EndpointCounts{MaxCold: 1, OverloadFailures: 2}},
	}
	ms := measureCold(o)
	checkNear(t, measureValue(t, ms, OverloadFailures), 3)
	checkNear(t, measureValue(t, ms, ColdExcess), 3)
}

func TestBadVersionIsCheapestOfLargestModel(t *testing.T) {
	c := &fescuelatch.Configuration{Inventory: fescuelatch.Inventory{Versions: []fescuelatch.Version{
		{ID: "review@1", Model: "review", OutputCost: 1},
		{ID: "triage@2", Model: "triage", OutputCost: 30},
		{ID: "triage@1", Model: "triage", OutputCost: 10},
	}}}
	qt.Assert(t, badVersion(c), qt.Equals, fescuelatch.VersionID("triage@1"))
}
