package operator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/operator"
)

// fleet returns a configuration with two failure domains of one VM each.
func fleet(g fescuelatch.Generation) *fescuelatch.Configuration {
	c := &fescuelatch.Configuration{Generation: g}
	c.Inventory.Domains = []fescuelatch.FailureDomain{{ID: "a"}, {ID: "b"}}
	c.Inventory.VMs = []fescuelatch.VM{{ID: "a1", Domain: "a"}, {ID: "b1", Domain: "b"}}
	return c
}

func view(g fescuelatch.Generation, a, b operator.DaemonStatus) operator.Status {
	a.VM, b.VM = "a1", "b1"
	return operator.Status{Generation: g, Domains: []operator.DomainStatus{
		{ID: "a", Daemons: []operator.DaemonStatus{a}},
		{ID: "b", Daemons: []operator.DaemonStatus{b}},
	}}
}

func TestConfirmations(t *testing.T) {
	since := time.Unix(1000, 0).UTC()
	daemon := func(s operator.DaemonState, g fescuelatch.Generation) operator.DaemonStatus {
		return operator.DaemonStatus{State: s, Generation: g, Since: since}
	}
	tests := []struct {
		name     string
		statuses []operator.Status
		want     []operator.DaemonStatus // unconfirmed
	}{
		{"all", []operator.Status{view(5, daemon(operator.DaemonAlive, 5), daemon(operator.DaemonAlive, 6))}, nil},
		{"leaving daemons count", []operator.Status{view(5, daemon(operator.DaemonLeaving, 5), daemon(operator.DaemonLeaving, 4))}, []operator.DaemonStatus{
			{VM: "b1", State: operator.DaemonLeaving, Generation: 4, Since: since},
		}},
		{"a cut-off daemon with the generation is not confirmed", []operator.Status{view(5, daemon(operator.DaemonAlive, 5), daemon(operator.DaemonCutOff, 5))}, []operator.DaemonStatus{
			{VM: "b1", State: operator.DaemonCutOff, Generation: 5, Since: since},
		}},
		{"alive in one of two views", []operator.Status{
			view(5, daemon(operator.DaemonAlive, 5), daemon(operator.DaemonCutOff, 4)),
			view(5, daemon(operator.DaemonCutOff, 4), daemon(operator.DaemonAlive, 5)),
		}, nil},
		{"the lower generation of two views counts", []operator.Status{
			view(5, daemon(operator.DaemonAlive, 5), daemon(operator.DaemonAlive, 5)),
			view(5, daemon(operator.DaemonAlive, 5), daemon(operator.DaemonAlive, 4)),
		}, []operator.DaemonStatus{{VM: "b1", State: operator.DaemonAlive, Generation: 4, Since: since}}},
		{"an old view lacks new daemons", []operator.Status{{Generation: 4}}, []operator.DaemonStatus{
			{VM: "a1", State: operator.DaemonUnresponsive},
			{VM: "b1", State: operator.DaemonUnresponsive},
		}},
		{"a later view has removed a daemon", []operator.Status{{Generation: 6, Domains: []operator.DomainStatus{
			{ID: "a", Daemons: []operator.DaemonStatus{{VM: "a1", State: operator.DaemonAlive, Generation: 6}}},
		}}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var got []operator.DaemonStatus
			ds := operator.Confirmations(fleet(5), tt.statuses)
			for n := range ds {
				got = append(got, ds[n].Unconfirmed(5)...)
			}
			c.Check(got, qt.DeepEquals, tt.want)
			c.Check(operator.AllConfirmed(ds, 5), qt.Equals, len(tt.want) == 0)
		})
	}
}

func TestAwaitDeadline(t *testing.T) {
	c := qt.New(t)
	alive := operator.DaemonStatus{State: operator.DaemonAlive, Generation: 5}
	cut := operator.DaemonStatus{State: operator.DaemonCutOff, Generation: 4, Since: time.Unix(1000, 0).UTC()}
	cl := newClient(serveBackend(t, &fakeBackend{status: view(5, alive, cut)}), closedAddress(t))
	for _, tt := range []struct {
		wait  time.Duration
		least int
		most  int
	}{
		{0, 1, 1},
		{300 * time.Millisecond, 2, 6},
	} {
		rounds := 0
		ds, err := cl.Await(t.Context(), fleet(5), operator.AwaitOptions{
			Wait: tt.wait, Interval: 50 * time.Millisecond, OnRound: func([]operator.DomainStatus) { rounds++ },
		})
		c.Assert(err, qt.IsNil)
		c.Check(operator.AllConfirmed(ds, 5), qt.IsFalse)
		c.Check(rounds >= tt.least && rounds <= tt.most, qt.IsTrue, qt.Commentf("%d rounds", rounds))
	}
}

func TestAwaitWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	_, err := newClient(closedAddress(t)).Await(t.Context(), fleet(5), operator.AwaitOptions{
		Wait: 100 * time.Millisecond, Interval: 20 * time.Millisecond,
	})
	c.Assert(kindOf(err), qt.Equals, operator.KindUnavailable)
}
