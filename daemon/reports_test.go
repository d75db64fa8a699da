package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests how often load reports are requested.

func TestReportInterval(t *testing.T) {
	c := qt.New(t)
	warm := func(running int) fescuelatch.LoadReport {
		return fescuelatch.LoadReport{Incarnation: "i", State: fescuelatch.EndpointWarm, Running: running}
	}
	cold := fescuelatch.LoadReport{Incarnation: "i", State: fescuelatch.EndpointCold}
	tests := []struct {
		name    string
		reports []fescuelatch.LoadReport
		running int
		after   time.Duration // since the last report
		want    time.Duration
	}{
		{"none", nil, 0, time.Hour, reportInterval},
		{"cold", []fescuelatch.LoadReport{cold}, 0, time.Hour, reportInterval},
		{"just warm", []fescuelatch.LoadReport{cold, warm(0)}, 0, changeWindow - 1, reportInterval},
		{"restarted", []fescuelatch.LoadReport{warm(0), {Incarnation: "j", State: fescuelatch.EndpointWarm}}, 0, changeWindow - 1, reportInterval},
		{"own work", []fescuelatch.LoadReport{warm(0)}, 1, changeWindow, busyReportInterval},
		{"others' work", []fescuelatch.LoadReport{warm(1)}, 0, changeWindow, busyReportInterval},
		{"idle", []fescuelatch.LoadReport{warm(0)}, 0, changeWindow, idleReportInterval},
		{"leaving", []fescuelatch.LoadReport{{State: fescuelatch.EndpointLeaving}}, 0, time.Hour, reportInterval},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			r := reportState{running: test.running, changed: epoch}
			for _, p := range test.reports {
				r.update(epoch, p)
			}
			now := epoch.Add(test.after)
			c.Assert(r.interval(now), qt.Equals, test.want)
			c.Assert(r.due(now), qt.IsTrue)
			c.Assert(r.due(now.Add(reportInterval/3)), qt.IsFalse)
			c.Assert(r.due(now.Add(idleReportInterval)), qt.IsTrue)
		})
	}
}
