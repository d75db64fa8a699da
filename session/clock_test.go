package session_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/keyvalue/memory"
	"fescuelatch/session"
)

// This file tests that sessions in use are kept by daemons whose clocks are
// wrong.

func TestWrongClocksKeepSessions(t *testing.T) {
	steps := []time.Duration{0, 5 * time.Hour, 20 * time.Hour, 100 * time.Hour, -5 * time.Hour, -100 * time.Hour}
	for _, binds := range steps {
		for _, serves := range steps {
			for _, common := range []bool{true, false} {
				t.Run(fmt.Sprint("bound ", binds, " served ", serves, " common time ", common), func(t *testing.T) {
					c := qt.New(t)
					ctx := context.Background()
					kv, now := new(memory.KV), start
					store := func(step time.Duration) *session.Store {
						s := newStore(kv, &now)
						s.Now = func() time.Time { return now.Add(step) }
						if common {
							s.Common = func() time.Time { return now }
						}
						return s
					}
					_, err := store(binds).Bind(ctx, talk, "m@1")
					c.Assert(err, qt.IsNil)
					// Used each hour, until the first binding has gone.
					other := store(serves)
					bound := kv.Snapshot("fescuelatch/session/")[0].Revision
					for range 23 {
						now = now.Add(time.Hour)
						_, err = other.Lookup(ctx, talk)
						c.Assert(err, qt.IsNil)
					}
					c.Check(kv.Snapshot("fescuelatch/session/")[0].Revision > bound, qt.IsTrue)
				})
			}
		}
	}
}
