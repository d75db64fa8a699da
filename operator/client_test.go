package operator_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/operator"
)

const testTimeout = 10 * time.Second

func contextCancelled(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	return ctx, cancel
}

func newClient(addresses ...netip.AddrPort) *operator.Client {
	return &operator.Client{
		Addresses: addresses, Key: testKey, AttemptTimeout: 2 * time.Second,
		HTTP: operator.NewHTTPClient(time.Second),
	}
}

func kindOf(err error) operator.ErrorKind {
	var e *operator.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func TestPropose(t *testing.T) {
	change := &fescuelatch.Change{ID: "mine", Base: 4, Digest: "d"}
	other := fescuelatch.Change{ID: "other", Base: 4, Author: "uwase"}
	later := fescuelatch.Change{ID: "later", Base: 5}
	accepting := func(t *testing.T) netip.AddrPort { return serveBackend(t, new(fakeBackend)) }
	failing := func(e *operator.Error, history ...fescuelatch.Change) func(t *testing.T) netip.AddrPort {
		return func(t *testing.T) netip.AddrPort { return serveBackend(t, &fakeBackend{failure: e, changes: history}) }
	}
	unavailable := failing(&operator.Error{Kind: operator.KindUnavailable})
	unknown := failing(&operator.Error{Kind: operator.KindUnknown})
	faulty := failing(&operator.Error{Kind: operator.KindFaults, Faults: []fescuelatch.Fault{{Path: "p", Message: "m"}}})
	tests := []struct {
		name    string
		daemons []func(t *testing.T) netip.AddrPort
		want    operator.ErrorKind
		winner  fescuelatch.ChangeID
	}{
		{name: "accepted", daemons: []func(*testing.T) netip.AddrPort{accepting}},
		{name: "next address after a closed one", daemons: []func(*testing.T) netip.AddrPort{closedAddress, accepting}},
		{name: "next address after an unavailable daemon", daemons: []func(*testing.T) netip.AddrPort{unavailable, accepting}},
		{name: "all unavailable", daemons: []func(*testing.T) netip.AddrPort{unavailable, closedAddress}, want: operator.KindUnavailable},
		{name: "conflict", daemons: []func(*testing.T) netip.AddrPort{failing(&operator.Error{Kind: operator.KindConflict, Winner: &other}), accepting}, want: operator.KindConflict, winner: "other"},
		{name: "a conflict with the change itself counts as accepted", daemons: []func(*testing.T) netip.AddrPort{failing(&operator.Error{Kind: operator.KindConflict, Winner: change})}},
		{name: "a conflict with a later change is looked up", daemons: []func(*testing.T) netip.AddrPort{failing(&operator.Error{Kind: operator.KindConflict, Winner: &later}, later, *change)}},
		{name: "a conflict without a winner is looked up", daemons: []func(*testing.T) netip.AddrPort{failing(&operator.Error{Kind: operator.KindConflict}, later, other)}, want: operator.KindConflict, winner: "other"},
		{name: "a conflict that cannot be looked up", daemons: []func(*testing.T) netip.AddrPort{failing(&operator.Error{Kind: operator.KindConflict})}, want: operator.KindConflict},
		{name: "faults", daemons: []func(*testing.T) netip.AddrPort{faulty, accepting}, want: operator.KindFaults},
		{name: "unknown at every daemon", daemons: []func(*testing.T) netip.AddrPort{unknown}, want: operator.KindUnknown},
		{name: "unknown, then unavailable", daemons: []func(*testing.T) netip.AddrPort{unknown, unavailable}, want: operator.KindUnknown},
		{name: "unknown, then faults", daemons: []func(*testing.T) netip.AddrPort{unknown, faulty}, want: operator.KindUnknown},
		{name: "unknown, found by another", daemons: []func(*testing.T) netip.AddrPort{unknown, failing(&operator.Error{Kind: operator.KindUnavailable}, later, *change)}},
		{name: "unknown, lost against another change", daemons: []func(*testing.T) netip.AddrPort{unknown, failing(&operator.Error{Kind: operator.KindUnavailable}, other)}, want: operator.KindConflict, winner: "other"},
		{name: "unknown, sent again", daemons: []func(*testing.T) netip.AddrPort{unknown, accepting}},
		{name: "lost answer", daemons: []func(*testing.T) netip.AddrPort{func(t *testing.T) netip.AddrPort {
			b := new(fakeBackend)
			return serve(t, dropAnswers(operator.NewHandler(operator.Options{Key: testKey, Backend: b})))
		}}},
		{name: "no address", want: operator.KindInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var addresses []netip.AddrPort
			for _, d := range tt.daemons {
				addresses = append(addresses, d(t))
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			got, err := newClient(addresses...).Propose(ctx, change)
			c.Assert(kindOf(err), qt.Equals, tt.want, qt.Commentf("%v", err))
			if tt.want == "" {
				c.Assert(got, qt.Equals, operator.ProposeResult{Generation: 5, Change: "mine", Accepted: true})
			}
			var e *operator.Error
			if tt.winner != "" && errors.As(err, &e) {
				c.Assert(e.Winner.ID, qt.Equals, tt.winner)
			}
		})
	}
}

// Propose must resend the identical change and must not create a second one.
func TestProposeSendsTheSameChange(t *testing.T) {
	c := qt.New(t)
	first, second := new(fakeBackend), new(fakeBackend)
	a := serve(t, dropAnswers(operator.NewHandler(operator.Options{Key: "another key", Backend: first})))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	change := &fescuelatch.Change{ID: "mine", Base: 4, Digest: "d", At: time.Unix(1, 0).UTC()}
	_, err := newClient(a, serveBackend(t, second)).Propose(ctx, change)
	c.Assert(err, qt.IsNil)
	c.Assert(second.changes, qt.DeepEquals, []fescuelatch.Change{*change})
}

func TestReads(t *testing.T) {
	c := qt.New(t)
	old := serveBackend(t, &fakeBackend{configuration: &fescuelatch.Configuration{Generation: 3}})
	recent := serveBackend(t, &fakeBackend{
		configuration: &fescuelatch.Configuration{Generation: 8},
		status:        operator.Status{VM: "kgl-a-vm-1", Generation: 8},
	})
	cl := newClient(closedAddress(t), recent, old)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	conf, err := cl.Configuration(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(conf.Generation, qt.Equals, fescuelatch.Generation(8))
	st, err := cl.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(st.VM, qt.Equals, fescuelatch.VMID("kgl-a-vm-1"))
	dump, err := cl.Dump(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(string(dump), qt.Equals, `{"queue":3}`)
	changes, err := cl.History(ctx, 5)
	c.Assert(err, qt.IsNil)
	c.Check(changes, qt.HasLen, 0)
}

func TestReadFailures(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    operator.ErrorKind
	}{
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, operator.KindUnavailable},
		{"broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, operator.KindUnavailable},
		{"rejected key", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }, operator.KindUnauthorized},
		{"unknown daemon state", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"failure-domains":[{"id":"a","daemons":[{"vm":"v","state":"asleep"}]}]}`))
		}, operator.KindUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, err := newClient(serve(t, tt.handler)).Status(ctx)
			c.Assert(kindOf(err), qt.Equals, tt.want, qt.Commentf("%v", err))
		})
	}
}

// A daemon that accepts connections and never answers must not delay a command
// that another daemon answers.
func TestReadsBesideHangingDaemon(t *testing.T) {
	c := qt.New(t)
	hanging := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	cl := newClient(hanging, serveBackend(t, &fakeBackend{configuration: &fescuelatch.Configuration{Generation: 8}}))
	cl.AttemptTimeout = time.Minute
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	conf, err := cl.Configuration(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(conf.Generation, qt.Equals, fescuelatch.Generation(8))
}
