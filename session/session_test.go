package session_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
	"fescuelatch/session"
)

// This file tests bindings with several daemons and during an outage.

var (
	start       = time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC)
	testSession = session.Session{Account: "desk", ID: "talk"}
)

func newStore(kv *memory.KV, now *time.Time) *session.Store {
	return &session.Store{
		Submitter: keyvalue.Direct{Transactor: kv}, Granter: kv,
		Now: func() time.Time { return *now }, Timeout: 100 * time.Millisecond,
	}
}

func TestFirstBindingWins(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv, now := new(memory.KV), start
	var wg sync.WaitGroup
	got := make([]fescuelatch.VersionID, 8)
	for i := range got {
		wg.Go(func() {
			got[i], _ = newStore(kv, &now).Bind(ctx, testSession, fescuelatch.VersionID(fmt.Sprint("m@", i)))
		})
	}
	wg.Wait()
	want, err := newStore(kv, &now).Lookup(ctx, testSession)
	c.Assert(err, qt.IsNil)
	for _, v := range got {
		c.Check(v, qt.Equals, want)
	}
}

func TestLostAnswerOfABinding(t *testing.T) {
	c := qt.New(t)
	kv, now := new(memory.KV), start
	lost := false
	kv.Faults = func(call memory.Call) memory.Fault {
		if call.Op != "transaction" || lost {
			return memory.Fault{}
		}
		lost = true
		return memory.Fault{After: memory.ResponseLost(call.Op)}
	}
	v, err := newStore(kv, &now).Bind(context.Background(), testSession, "m@1")
	c.Assert(err, qt.IsNil)
	c.Check(v, qt.Equals, fescuelatch.VersionID("m@1"))
}

func TestOutage(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv, now := new(memory.KV), start
	s := newStore(kv, &now)
	_, err := s.Bind(ctx, testSession, "m@1")
	c.Assert(err, qt.IsNil)
	kv.SetDown(true)
	// After half of the retention the renewal fails, and the binding stays.
	now = start.Add(20 * time.Hour)
	v, err := s.Lookup(ctx, testSession)
	c.Assert(err, qt.IsNil)
	c.Check(v, qt.Equals, fescuelatch.VersionID("m@1"))
	_, err = s.Lookup(ctx, session.Session{Account: "desk", ID: "other"})
	c.Check(session.KindOf(err), qt.Equals, session.KindUnavailable)
	_, err = s.Bind(ctx, session.Session{Account: "desk", ID: "other"}, "m@1")
	c.Check(session.KindOf(err), qt.Equals, session.KindUnavailable)
}

func TestUnboundIsNotCached(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv, now := new(memory.KV), start
	a, b := newStore(kv, &now), newStore(kv, &now)
	v, err := a.Lookup(ctx, testSession)
	c.Assert(err, qt.IsNil)
	c.Check(v, qt.Equals, fescuelatch.VersionID(""))
	_, err = b.Bind(ctx, testSession, "m@2")
	c.Assert(err, qt.IsNil)
	v, err = a.Lookup(ctx, testSession)
	c.Assert(err, qt.IsNil)
	c.Check(v, qt.Equals, fescuelatch.VersionID("m@2"))
}

func TestRebindOfAWithdrawnVersion(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv, now := new(memory.KV), start
	a, b := newStore(kv, &now), newStore(kv, &now)
	_, err := a.Bind(ctx, testSession, "m@1")
	c.Assert(err, qt.IsNil)
	_, err = b.Lookup(ctx, testSession)
	c.Assert(err, qt.IsNil)
	v, err := a.Rebind(ctx, testSession, "m@1", "m@2")
	c.Assert(err, qt.IsNil)
	c.Check(v, qt.Equals, fescuelatch.VersionID("m@2"))
	// The other daemon has m@1 cached and would choose another version.
	v, err = b.Rebind(ctx, testSession, "m@1", "m@3")
	c.Assert(err, qt.IsNil)
	c.Check(v, qt.Equals, fescuelatch.VersionID("m@2"))
}

func TestBindingToAWithdrawnVersionIsReadAgain(t *testing.T) {
	withdrawn := func(v fescuelatch.VersionID) bool { return v == "m@1" }
	tests := []struct {
		name  string
		again func(ctx context.Context, s *session.Store) error
	}{
		{"used while it is withdrawn", func(ctx context.Context, s *session.Store) error {
			v, err := s.Reread(ctx, testSession)
			if err == nil && v != "m@2" {
				err = fmt.Errorf("bound to %s", v)
			}
			return err
		}},
		{"not used while it is withdrawn", func(_ context.Context, s *session.Store) error {
			s.Forget(withdrawn)
			return nil
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			kv, now := new(memory.KV), start
			a, b := newStore(kv, &now), newStore(kv, &now)
			_, err := a.Bind(ctx, testSession, "m@1")
			c.Assert(err, qt.IsNil)
			_, err = b.Lookup(ctx, testSession)
			c.Assert(err, qt.IsNil)
			_, err = a.Rebind(ctx, testSession, "m@1", "m@2")
			c.Assert(err, qt.IsNil)
			c.Assert(test.again(ctx, b), qt.IsNil)
			v, err := b.Lookup(ctx, testSession)
			c.Assert(err, qt.IsNil)
			c.Check(v, qt.Equals, fescuelatch.VersionID("m@2"))
		})
	}
}

func TestRereadDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv, now := new(memory.KV), start
	a := newStore(kv, &now)
	_, err := a.Bind(ctx, testSession, "m@1")
	c.Assert(err, qt.IsNil)
	kv.SetDown(true)
	_, err = a.Reread(ctx, testSession)
	c.Assert(session.KindOf(err), qt.Equals, session.KindUnavailable)
}

func TestUsedSessionOutlivesItsFirstLease(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv, now := new(memory.KV), start
	s := newStore(kv, &now)
	_, err := s.Bind(ctx, testSession, "m@1")
	c.Assert(err, qt.IsNil)
	now = start.Add(13 * time.Hour)
	_, err = s.Lookup(ctx, testSession)
	c.Assert(err, qt.IsNil)
	kv.Expire(1)
	v, err := newStore(kv, &now).Lookup(ctx, testSession)
	c.Assert(err, qt.IsNil)
	c.Check(v, qt.Equals, fescuelatch.VersionID("m@1"))
}
