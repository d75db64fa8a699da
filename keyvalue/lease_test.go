package keyvalue_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
)

// This file tests EpochLeases.

const retention = 24 * time.Hour

func TestEpochs(t *testing.T) {
	tests := []struct {
		name   string
		later  time.Duration
		drop   bool
		grants int
		// kept is whether a key with the first lease would be kept.
		kept bool
	}{
		{"same epoch", 59 * time.Minute, false, 1, true},
		{"next epoch", 61 * time.Minute, false, 2, true},
		{"late write", 2 * time.Hour, false, 2, true},
		{"too late", 2*time.Hour + time.Second, false, 2, false},
		{"dropped", 0, true, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			kv := new(memory.KV)
			now := time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC)
			l := keyvalue.EpochLeases{Granter: kv, Now: func() time.Time { return now }, Retention: retention}
			first, err := l.Current(context.Background())
			c.Assert(err, qt.IsNil)
			if test.drop {
				l.Discard(first.ID)
			}
			now = now.Add(test.later)
			_, err = l.Current(context.Background())
			c.Assert(err, qt.IsNil)
			c.Check(kv.Calls(), qt.Equals, test.grants)
			c.Check(l.Covers(first, now), qt.Equals, test.kept)
		})
	}
}

func TestConcurrentCallsShareOneGrant(t *testing.T) {
	c := qt.New(t)
	kv := &memory.KV{Faults: func(memory.Call) memory.Fault { return memory.Fault{Delay: 5 * time.Millisecond} }}
	l := keyvalue.EpochLeases{Granter: kv, Now: time.Now, Retention: retention}
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() { _, _ = l.Current(context.Background()) })
	}
	wg.Wait()
	c.Check(kv.Calls(), qt.Equals, 1)
}

func TestGrantFails(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	kv.SetDown(true)
	l := keyvalue.EpochLeases{Granter: kv, Now: time.Now, Retention: retention}
	_, err := l.Current(context.Background())
	c.Check(keyvalue.KindOf(err), qt.Equals, keyvalue.KindUnavailable)
	kv.SetDown(false)
	_, err = l.Current(context.Background())
	c.Check(err, qt.IsNil)
}
