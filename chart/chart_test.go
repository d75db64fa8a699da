package chart_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch/chart"
)

func TestFire(t *testing.T) {
	c := qt.New(t)
	m := chart.Request().New()
	c.Assert(m.State(), qt.Equals, chart.RequestReceived)
	c.Assert(m.Fire(chart.EventPlan), qt.IsNil)
	c.Assert(m.Fire(chart.EventDispatch), qt.IsNil)
	c.Assert(m.Fire(chart.EventRefuse), qt.ErrorMatches, `fire request: no-transition: event "refuse" in state "dispatched"`)
	c.Assert(m.State(), qt.Equals, chart.RequestDispatched)
	c.Assert(chart.All(), qt.HasLen, 5)
}
