package audit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/audit"
	"fescuelatch/fleet"
	"fescuelatch/load"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func configuration() *fescuelatch.Configuration {
	return &fescuelatch.Configuration{
		Inventory: fescuelatch.Inventory{
			Versions: []fescuelatch.Version{{ID: "triage@1", Model: "triage"}, {ID: "triage@2", Model: "triage"}, {ID: "review@1", Model: "review"}},
		},
		Rules: fescuelatch.Rules{Accounts: []fescuelatch.Account{
			{ID: "daily", Models: []fescuelatch.ModelID{"triage"}, Services: []fescuelatch.ServiceID{"desk"}},
			{ID: "weekly", Versions: []fescuelatch.VersionID{"review@1"}},
		}},
	}
}

// model returns the record of an answered model request of account daily.
func model(id string, v fescuelatch.VersionID, session string) load.Record {
	return load.Record{
		Call:   load.Call{Account: "daily", Nonce: "n-" + id, Model: "triage", Session: session, Idempotent: true},
		Target: "127.1.1.1:1", Sent: at(1), Ended: at(2), RequestID: fescuelatch.RequestID(id),
		Outcome: fescuelatch.OutcomeAnswered, Version: v, Complete: true,
	}
}

// ban returns the record of a non-idempotent call with a key.
func ban(id string, o fescuelatch.Outcome) load.Record {
	return load.Record{
		Call:   load.Call{Account: "daily", Nonce: "n-" + id, Key: "key-" + id, Service: "desk", Operation: "ban"},
		Target: "127.1.1.1:1", Sent: at(1), Ended: at(2), RequestID: fescuelatch.RequestID(id),
		Outcome: o, Complete: o == fescuelatch.OutcomeAnswered,
	}
}

func bill(id, key string) fescuelatch.Bill {
	return fescuelatch.Bill{Request: fescuelatch.RequestID(id), Account: "daily", Key: key}
}

func receipt(id string, v fescuelatch.VersionID, t time.Time) fleet.Receipt {
	return fleet.Receipt{At: t, Started: t, Attempt: fescuelatch.AttemptID(id + ".1"), Version: v}
}

// good returns evidence of a run that exercises every promise and violates
// none.
func good() *audit.Evidence {
	pool := fescuelatch.Pool{ID: "p", Slots: 8, ColdSlots: 2}
	return &audit.Evidence{
		Configuration: configuration(),
		Records: []load.Record{
			model("q1", "triage@1", "s"), model("q2", "triage@1", "s"),
			ban("q3", fescuelatch.OutcomeAnswered), ban("q4", fescuelatch.OutcomeNotRun),
			ban("q5", fescuelatch.OutcomeUnknown),
		},
		Endpoints: []fleet.EndpointLog{
			{
				Endpoint: fescuelatch.Endpoint{ID: "engine", Domain: "kgl-a"}, Pool: pool,
				Starts: []fleet.Receipt{receipt("q1", "triage@1", at(1)), receipt("q2", "triage@1", at(1))},
				Counts: fleet.EndpointCounts{MaxCold: 2},
			},
			{
				Endpoint:   fescuelatch.Endpoint{ID: "action", Domain: "kgl-b"},
				Executions: []fleet.Execution{{Key: "key-q3", Attempt: "q3.1", At: at(1)}, {Key: "key-q5", Attempt: "q5.1", At: at(1)}},
			},
		},
		Bills: []fescuelatch.Bill{bill("q1", ""), bill("q2", ""), bill("q3", "key-q3")},
		Events: []audit.Event{
			{At: at(10), Kind: audit.EventVersionWithdrawn, Name: "triage@2", Generation: 2},
			{At: at(20), Kind: audit.EventDomainOut, Name: "kgl-a", Generation: 3},
			{At: at(40), Kind: audit.EventDomainIn, Name: "kgl-a", Generation: 4},
			{At: at(50), Kind: audit.EventEndpointLeaving, Name: "action"},
			{At: at(70), Kind: audit.EventEndpointReturned, Name: "action"},
		},
		Samples: []audit.Sample{
			{At: at(1), VM: "vm-1", Generation: 1},
			{At: at(17), VM: "vm-1", Generation: 2},
			{At: at(27), VM: "vm-1", Generation: 3},
		},
		Stops: []audit.Stop{{VM: "vm-2", Caller: "127.1.2.1:1", From: at(30), To: at(31), Clean: true}},
		Grace: 6 * time.Second,
		Ended: at(80),
	}
}

func TestCheckPassesGoodRun(t *testing.T) {
	c := qt.New(t)
	r := audit.Check(good())
	c.Assert(r.Findings, qt.HasLen, 12)
	c.Assert(r.Violations(), qt.Equals, 0, qt.Commentf("%s", r))
	for k := range r.Findings {
		f := &r.Findings[k]
		c.Assert(f.Exercised(), qt.IsTrue, qt.Commentf("%s", f.Promise))
	}
}

func TestCheckReportsUnexercisedPromises(t *testing.T) {
	r := audit.Check(&audit.Evidence{Configuration: configuration()})
	for k := range r.Findings {
		f := &r.Findings[k]
		qt.Check(t, f.Exercised(), qt.IsFalse, qt.Commentf("%s", f.Promise))
	}
	qt.Assert(t, r.String(), qt.Contains, "not exercised")
}

func TestCheckFindsViolations(t *testing.T) {
	tests := []struct {
		name    string
		promise audit.Promise
		edit    func(*audit.Evidence)
	}{
		{"answered by a version that is not allowed", audit.PromiseAllowed, func(e *audit.Evidence) {
			e.Records[0].Version, e.Records[1].Version = "review@1", "review@1"
		}},
		{"attempt at a version that is not allowed", audit.PromiseAllowed, func(e *audit.Evidence) {
			e.Endpoints[0].Starts[0].Version = "review@1"
		}},
		{"service that is not allowed", audit.PromiseAllowed, func(e *audit.Evidence) {
			e.Records[2].Account = "weekly"
			e.Bills[2].Account = "weekly"
		}},
		{"withdrawn version gets work", audit.PromiseWithdrawn, func(e *audit.Evidence) {
			e.Endpoints[0].Starts = append(e.Endpoints[0].Starts, receipt("q1", "triage@2", at(16.1)))
		}},
		{"session changes version", audit.PromiseSession, func(e *audit.Evidence) {
			e.Records[1].Version = "triage@2"
		}},
		{"session changes version after another's was withdrawn", audit.PromiseSession, func(e *audit.Evidence) {
			e.Records[1].Version, e.Records[1].Ended = "triage@2", at(11)
		}},
		{"billed twice", audit.PromiseBill, func(e *audit.Evidence) {
			e.Bills = append(e.Bills, bill("q1", ""))
		}},
		{"key billed twice", audit.PromiseBill, func(e *audit.Evidence) {
			e.Bills = append(e.Bills, bill("q9", "key-q3"))
		}},
		{"billed to another account", audit.PromiseBill, func(e *audit.Evidence) {
			e.Bills[0].Account = "weekly"
		}},
		{"answered but not billed", audit.PromiseBill, func(e *audit.Evidence) {
			e.Bills = e.Bills[1:]
		}},
		{"not run but billed", audit.PromiseBill, func(e *audit.Evidence) {
			e.Bills = append(e.Bills, bill("q4", "key-q4"))
		}},
		{"cold endpoint gets too much", audit.PromiseCold, func(e *audit.Evidence) {
			e.Endpoints[0].Counts.MaxCold = 3
		}},
		{"endpoint falls over", audit.PromiseCold, func(e *audit.Evidence) {
			e.Endpoints[0].Counts.OverloadFailures = 1
		}},
		{"failure domain that is out gets work", audit.PromiseDomainOut, func(e *audit.Evidence) {
			e.Endpoints[0].Starts = append(e.Endpoints[0].Starts, receipt("q1", "triage@1", at(30)))
		}},
		{"failure domain that is out executes", audit.PromiseDomainOut, func(e *audit.Evidence) {
			e.Events[1].Name, e.Events[2].Name = "kgl-b", "kgl-b"
			e.Endpoints[1].Executions[0].At = at(30)
		}},
		{"answer of another request", audit.PromiseComplete, func(e *audit.Evidence) {
			e.Records[0].Fault = load.FaultForeign
		}},
		{"part of an answer", audit.PromiseComplete, func(e *audit.Evidence) {
			e.Records[0].Fault = load.FaultPartial
		}},
		{"part of an answer without an outcome", audit.PromiseComplete, func(e *audit.Evidence) {
			e.Records[0].Outcome, e.Records[0].Fault = "", load.FaultPartial
		}},
		{"answered but broken off", audit.PromiseComplete, func(e *audit.Evidence) {
			e.Records[0].Complete = false
		}},
		{"not run but executed", audit.PromiseNotRun, func(e *audit.Evidence) {
			e.Endpoints[1].Executions = append(e.Endpoints[1].Executions, fleet.Execution{Key: "key-q4", At: at(1)})
		}},
		{"not run but ran at an engine", audit.PromiseNotRun, func(e *audit.Evidence) {
			e.Endpoints[0].Starts = append(e.Endpoints[0].Starts, receipt("q4", "triage@1", at(1)))
		}},
		{"executed twice", audit.PromiseAtMostOnce, func(e *audit.Evidence) {
			e.Endpoints[1].Executions = append(e.Endpoints[1].Executions, fleet.Execution{Key: "key-q3", At: at(2)})
		}},
		{"unknown and executed twice", audit.PromiseAtMostOnce, func(e *audit.Evidence) {
			e.Endpoints[1].Executions = append(e.Endpoints[1].Executions, fleet.Execution{Key: "key-q5", At: at(2)})
		}},
		{"leaving endpoint gets work", audit.PromiseLeaving, func(e *audit.Evidence) {
			e.Endpoints[1].Executions[0].At = at(60)
		}},
		{"stop had to be forced", audit.PromiseGraceful, func(e *audit.Evidence) {
			e.Stops[0].Clean = false
		}},
		{"stop broke a call off", audit.PromiseGraceful, func(e *audit.Evidence) {
			r := model("q6", "", "")
			r.Target, r.Sent, r.Ended, r.Outcome, r.Complete = "127.1.2.1:1", at(29), at(30.5), "", false
			e.Records = append(e.Records, r)
		}},
		{"configuration reverts", audit.PromiseGeneration, func(e *audit.Evidence) {
			e.Samples[1].Generation, e.Samples[2].Generation = 5, 4
		}},
		{"configuration is late", audit.PromiseGeneration, func(e *audit.Evidence) {
			e.Samples[1].Generation = 1
		}},
		{"restarted daemon stays without configuration", audit.PromiseGeneration, func(e *audit.Evidence) {
			e.Events = append(e.Events, audit.Event{At: at(15), Kind: audit.EventDaemonStarted, Name: "vm-1"})
			e.Samples[2].Generation = 0
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := good()
			test.edit(e)
			r := audit.Check(e)
			c.Assert(r.Finding(test.promise).Violations, qt.Not(qt.Equals), 0)
			c.Assert(r.Finding(test.promise).Examples, qt.Not(qt.HasLen), 0)
			c.Assert(r.Violations(), qt.Equals, r.Finding(test.promise).Violations, qt.Commentf("%s", r))
		})
	}
}

func TestCheckAcceptsExceptions(t *testing.T) {
	tests := []struct {
		name string
		edit func(*audit.Evidence)
	}{
		{"withdrawn version gets work within the grace", func(e *audit.Evidence) {
			e.Endpoints[0].Starts = append(e.Endpoints[0].Starts, receipt("q1", "triage@2", at(15.9)))
		}},
		{"restored version gets work", func(e *audit.Evidence) {
			e.Events = append(e.Events, audit.Event{At: at(75), Kind: audit.EventVersionRestored, Name: "triage@2"})
			e.Endpoints[0].Starts = append(e.Endpoints[0].Starts, receipt("q1", "triage@2", at(76)))
		}},
		{"session leaves a withdrawn version", func(e *audit.Evidence) {
			e.Records[0].Version = "triage@2"
			e.Records[1].Ended = at(11)
		}},
		{"failure domain that is back gets work", func(e *audit.Evidence) {
			e.Endpoints[0].Starts = append(e.Endpoints[0].Starts, receipt("q1", "triage@1", at(41)))
		}},
		{"attempt without a slot is no run", func(e *audit.Evidence) {
			s := receipt("q4", "triage@1", at(1))
			s.Started = time.Time{}
			e.Endpoints[0].Starts = append(e.Endpoints[0].Starts, s)
		}},
		{"repeat is refused after the first call ran", func(e *audit.Evidence) {
			r := ban("q3", fescuelatch.OutcomeNotRun)
			r.RequestID, r.Repeat = "q7", true
			e.Records = append(e.Records, r)
		}},
		{"repeats share the bill of the key's hash", func(e *audit.Evidence) {
			r := ban("q3", fescuelatch.OutcomeAnswered)
			r.RequestID, r.Repeat = "q7", true
			e.Records = append(e.Records, r)
		}},
		{"restarted daemon has no configuration at first", func(e *audit.Evidence) {
			e.Events = append(e.Events, audit.Event{At: at(26), Kind: audit.EventDaemonStarted, Name: "vm-1"})
			e.Samples[2].Generation = 0
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := good()
			test.edit(e)
			r := audit.Check(e)
			qt.Assert(t, r.Violations(), qt.Equals, 0, qt.Commentf("%s", r))
		})
	}
}
