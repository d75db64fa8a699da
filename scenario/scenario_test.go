package scenario_test

import (
	"context"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/audit"
	"fescuelatch/fleet"
	"fescuelatch/fleet/fleettest"
	"fescuelatch/load"
	"fescuelatch/scenario"
)

func TestMain(m *testing.M) { os.Exit(fleettest.Main(m)) }

func kinds(es []audit.Event) []audit.EventKind {
	var ks []audit.EventKind
	for _, e := range es {
		ks = append(ks, e.Kind)
	}
	return ks
}

func TestScenarioCollectsEvidence(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const second = time.Second
	var done int
	s := scenario.Scenario{
		Fleet: fleet.Options{Configuration: fleettest.Small(), Bin: fleettest.Bin(), Dir: t.TempDir()},
		Profile: load.Profile{
			Rate: 20, Duration: 6 * second, Seed: 1, Run: "t",
			Mix: load.Mix{Service: 0.2, Streamed: 0.5, MinTokens: 4, MaxTokens: 8, Timeout: 5 * second},
		},
		Steps: []scenario.Step{
			scenario.Leave(second/2, "a-model"),
			scenario.TakeOutDomain(second, "a"),
			scenario.MakeCold(3*second/2, "b-model", second),
			scenario.Kill(2*second, "a-1"),
			scenario.Restart(5*second/2, "a-1"),
			scenario.RestoreDomain(3*second, "a"),
			scenario.Return(7*second/2, "a-model"),
			scenario.Stop(4*second, "b-1"),
			scenario.Withdraw(5*second, "triage@1"),
		},
		OnRecord: func(n, _ int) { done = n },
	}
	r, err := s.Run(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Failures, qt.HasLen, 0)
	c.Assert(r.Crashed, qt.HasLen, 0)
	c.Assert(done, qt.Equals, len(r.Evidence.Records))
	c.Assert(kinds(r.Evidence.Events), qt.DeepEquals, []audit.EventKind{
		audit.EventEndpointLeaving, audit.EventDomainOut, audit.EventEndpointCold, audit.EventDaemonKilled,
		audit.EventDaemonStarted, audit.EventDomainIn, audit.EventDomainIn, audit.EventEndpointReturned,
		audit.EventVersionWithdrawn,
	})
	// collect stops the daemon that is still running.
	c.Assert(r.Evidence.Stops, qt.HasLen, 2)
	for n, m := range []fescuelatch.VMID{"b-1", "a-1"} {
		c.Assert(r.Evidence.Stops[n].VM, qt.Equals, m)
		c.Assert(r.Evidence.Stops[n].Clean, qt.IsTrue)
	}
	c.Assert(len(r.Evidence.Samples) > 20, qt.IsTrue)
	c.Assert(len(r.Evidence.Endpoints), qt.Equals, 3)
	c.Assert(r.Summary.Outcomes[fescuelatch.OutcomeAnswered] > 0, qt.IsTrue, qt.Commentf("%s", r.Summary))
	c.Assert(r.Summary.Calls, qt.Equals, len(r.Evidence.Records))
	c.Assert(r.Report.Findings, qt.HasLen, 12)
	c.Assert(r.PlatformCalls, qt.Not(qt.HasLen), 0)
}

func TestScenarioReportsFailedSteps(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := scenario.Scenario{
		Fleet:   fleet.Options{Configuration: fleettest.Small(), Bin: fleettest.Bin(), Dir: t.TempDir()},
		Profile: load.Profile{Rate: 1, Duration: time.Second, Seed: 1, Run: "t", Mix: load.Mix{MaxTokens: 1, Timeout: time.Second}},
		Steps:   []scenario.Step{scenario.Kill(0, "none")},
	}
	r, err := s.Run(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Failures, qt.HasLen, 1)
	c.Assert(r.Failures[0], qt.ErrorMatches, "kill daemon none: step: .*")
}
