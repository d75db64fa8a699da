package decision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/cascade"
	"fescuelatch/decision"
	"fescuelatch/gate"
	"fescuelatch/placement"
	"fescuelatch/quality"
)

// rollout is a core that sends half of the new sessions to version m@2, which
// replaces m@1.
type rollout struct {
	core  *decision.Core
	now   time.Time
	count int
}

func newRollout(c *qt.C) *rollout {
	f := configuration()
	f.Inventory.Versions = f.Inventory.Versions[:2]
	f.Inventory.Versions[0].Quality = 0.9
	f.Inventory.Versions[1] = f.Inventory.Versions[0]
	f.Inventory.Versions[1].ID = "m@2"
	v, err := fescuelatch.NewView(f)
	c.Assert(err, qt.IsNil)
	o := &rollout{now: epoch, core: decision.New(decision.Options{
		VM: self, Domain: domain, Random: rand.New(rand.NewPCG(1, 1)), Quality: quality.New("self", quality.Settings{}),
		Versions: new(cascade.Policy), Placement: new(placement.Policy), Gate: new(gate.Fixed),
		Sampler: &quality.AdaptiveShare{Base: 0.1, Rate: 5},
	})}
	o.core.Handle(o.now, decision.Configured{View: v})
	e := v.EndpointsIn(domain)[0]
	p, _ := v.Pool(e.Pool)
	o.core.Handle(o.now, decision.Owned{Endpoints: []fescuelatch.OwnedEndpoint{{Endpoint: e, Pool: p, Share: 1}}})
	return o
}

// serve answers n requests and returns how many went to m@2, whose answers
// get the given score; those of m@1 are good.
func (o *rollout) serve(n int, session fescuelatch.VersionID, score float64) int {
	got := 0
	for range n {
		o.count++
		o.now = o.now.Add(time.Second)
		id := fescuelatch.RequestID(fmt.Sprint(o.count))
		r := &fescuelatch.Request{ID: id, Account: "a", Model: "m", Session: session, Streamed: true, Idempotent: true, Arrived: o.now, Deadline: o.now.Add(time.Minute)}
		start := o.core.Handle(o.now, decision.Arrived{Request: r})[0].(decision.Start)
		result := fescuelatch.AttemptResult{Attempt: start.Attempt, Endpoint: start.Endpoint, Version: start.Version, Status: fescuelatch.AttemptAnswered}
		accept := o.core.Handle(o.now, decision.Ended{Request: id, Result: result})[0].(decision.Accept)
		rated := decision.Rated{Version: accept.Version, Score: 1, Rated: true}
		if accept.Version == "m@2" {
			got++
			rated.Score = score
		}
		if accept.Sample {
			o.core.Handle(o.now, rated)
		}
	}
	return got
}

func (o *rollout) state() decision.VersionState { return o.core.Versions(o.now)[1] }

// TestRolloutHalts checks that a version that degrades during its rollout gets
// no new sessions beyond a few probes, whatever its weight, and keeps its
// sessions, and that its answers are counted by health.
func TestRolloutHalts(t *testing.T) {
	c := qt.New(t)
	o := newRollout(c)
	good := o.serve(200, "", 1)
	c.Assert(good > 60, qt.IsTrue, qt.Commentf("%d of 200", good))
	bad := 0
	for o.state().Health != fescuelatch.HealthQuarantined && o.count < 2000 {
		bad += o.serve(1, "", 0)
	}
	x := o.state().Exposure
	c.Check(bad <= 30, qt.IsTrue, qt.Commentf("%d answers until quarantine", bad))
	c.Check(x.Answers, qt.Equals, int64(good+bad))
	c.Check(x.Suspect > 0 && x.Suspect < x.RatedLow, qt.IsTrue, qt.Commentf("%+v", x))
	c.Check(o.serve(200, "", 0), qt.Equals, 0)
	c.Check(o.serve(10, "m@2", 0), qt.Equals, 10)
	c.Check(o.state().Exposure.Quarantined, qt.Equals, int64(10))
}
