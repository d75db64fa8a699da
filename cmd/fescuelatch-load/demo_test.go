package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/audit"
	"fescuelatch/load"
)

func TestDemoSteps(t *testing.T) {
	tests := []struct {
		fleet string
		want  []string
	}{
		{"umurongo", []string{
			"withdraw version triage@base-2", "take out failure domain kgl-b", "kill daemon kgl-d-vm-2",
			"replace daemon kgl-d-vm-2", "bring back failure domain kgl-b", "stop daemon kgl-d-vm-1",
			"endpoint kgl-a-worker-1 is leaving", "replace daemon kgl-d-vm-1",
			"endpoint kgl-d-worker-3 turns cold", "endpoint kgl-a-worker-1 is back",
		}},
		{"kestrelmoor", []string{
			"withdraw version summariser@large-1", "take out failure domain dub-b", "kill daemon dub-c-vm-2",
			"replace daemon dub-c-vm-2", "bring back failure domain dub-b", "stop daemon dub-c-vm-1",
			"endpoint dub-a-worker-1 is leaving", "replace daemon dub-c-vm-1",
			"endpoint dub-c-worker-3 turns cold", "endpoint dub-a-worker-1 is back",
		}},
	}
	for _, test := range tests {
		t.Run(test.fleet, func(t *testing.T) {
			c := qt.New(t)
			s := fleetSettings{Fleet: test.fleet, Examples: "../../examples"}
			conf, err := s.configuration()
			c.Assert(err, qt.IsNil)
			steps, err := demoSteps(conf, time.Minute)
			c.Assert(err, qt.IsNil)
			var names []string
			var last time.Duration
			for _, p := range steps {
				names = append(names, p.Name)
				c.Assert(p.At > last && p.At < time.Minute, qt.IsTrue)
				last = p.At
			}
			c.Assert(names, qt.DeepEquals, test.want)
		})
	}
}

func TestDemoStepsRejectEmptyFleet(t *testing.T) {
	_, err := demoSteps(new(fescuelatch.Configuration), time.Minute)
	qt.Assert(t, err, qt.ErrorMatches, "the demo needs .*")
}

func TestDemoTextNamesEachPromise(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	e := &audit.Evidence{
		Configuration: new(fescuelatch.Configuration),
		Events:        []audit.Event{{At: start.Add(time.Second), Kind: audit.EventVersionWithdrawn, Name: "triage@1", Generation: 2}},
		Stops:         []audit.Stop{{VM: "a-1"}},
	}
	d := demoResult{Summary: load.NewSummary(), Audit: audit.Check(e), Events: e.Events, Crashed: []string{"platform"}}
	text := d.text(start)
	for _, f := range d.Audit.Findings {
		c.Assert(text, qt.Contains, string(f.Promise))
	}
	c.Assert(text, qt.Contains, "1.0s version-withdrawn triage@1 (generation 2)")
	c.Assert(text, qt.Contains, "a-1 did not exit by itself")
	c.Assert(text, qt.Contains, "ended unexpectedly: platform")
	c.Assert(text, qt.Contains, "violations: 1\n")
}
