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

// This file tests that daemons with wrong clocks keep sessions that are in use.

func TestWrongClocksKeepSessions(t *testing.T) {
	offsets := []time.Duration{0, 5 * time.Hour, 20 * time.Hour, 100 * time.Hour, -5 * time.Hour, -100 * time.Hour}
	for _, bindOffset := range offsets {
		for _, serveOffset := range offsets {
			for _, common := range []bool{true, false} {
				t.Run(fmt.Sprint("bound ", bindOffset, " served ", serveOffset, " common time ", common), func(t *testing.T) {
					c := qt.New(t)
					ctx := context.Background()
					kv, now := new(memory.KV), start
					store := func(offset time.Duration) *session.Store {
						s := newStore(kv, &now)
						s.Now = func() time.Time { return now.Add(offset) }
						if common {
							s.CommonTime = func() time.Time { return now }
						}
						return s
					}
					_, err := store(bindOffset).Bind(ctx, testSession, "m@1")
					c.Assert(err, qt.IsNil)
					// Look up each hour until shortly before the retention has passed.
					other := store(serveOffset)
					bound := kv.Snapshot("fescuelatch/session/")[0].Revision
					for range 23 {
						now = now.Add(time.Hour)
						_, err = other.Lookup(ctx, testSession)
						c.Assert(err, qt.IsNil)
					}
					c.Check(kv.Snapshot("fescuelatch/session/")[0].Revision > bound, qt.IsTrue)
				})
			}
		}
	}
}
