package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/operator"
)

func TestDomainResults(t *testing.T) {
	early, late := time.Unix(1000, 0).UTC(), time.Unix(2000, 0).UTC()
	daemon := func(s operator.DaemonState, since time.Time) operator.DaemonStatus {
		return operator.DaemonStatus{State: s, Generation: 1, Since: since}
	}
	tests := []struct {
		name    string
		daemons []operator.DaemonStatus
		want    domainState
		since   time.Time
	}{
		{"no daemons", nil, domainEmpty, time.Time{}},
		{"confirmed", []operator.DaemonStatus{{State: operator.DaemonAlive, Generation: 2, Since: early}}, domainConfirmed, time.Time{}},
		{"behind", []operator.DaemonStatus{daemon(operator.DaemonAlive, early)}, domainWaiting, time.Time{}},
		{"cut off", []operator.DaemonStatus{daemon(operator.DaemonCutOff, late), daemon(operator.DaemonCutOff, early)}, domainCutOff, early},
		{"unresponsive and cut off", []operator.DaemonStatus{daemon(operator.DaemonCutOff, late), daemon(operator.DaemonUnresponsive, early)}, domainWaiting, time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got := domainResults([]operator.DomainStatus{{ID: "a", Daemons: tt.daemons}}, 2)
			c.Assert(got, qt.HasLen, 1)
			c.Check(got[0].State, qt.Equals, tt.want)
			c.Check(got[0].Since, qt.Equals, tt.since)
		})
	}
}
