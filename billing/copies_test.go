package billing_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/billing"
	"fescuelatch/keyvalue/memory"
)

// This file tests how many copies a batch has before its bills are safe.

// group is a Copier with several daemons, of which some are away and some
// never answer.
type group struct {
	mu     sync.Mutex
	there  []fescuelatch.Incarnation
	away   int
	silent bool
	holds  int
}

func (g *group) Hold(ctx context.Context, _ billing.Batch, n int, held []fescuelatch.Incarnation) ([]fescuelatch.Incarnation, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holds++
	if g.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var holders []fescuelatch.Incarnation
	for _, i := range g.there {
		if len(holders) < n && !slices.Contains(held, i) {
			holders = append(holders, i)
		}
	}
	if len(holders) < n && g.away > 0 {
		return holders, errors.New("a daemon is away")
	}
	return holders, nil
}

func (g *group) Drop(context.Context, fescuelatch.Incarnation, uint64) error { return nil }

func (g *group) join(i fescuelatch.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.there = append(g.there, i)
}

func (g *group) asked() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holds
}

func TestCopiesBeforeABillIsSafe(t *testing.T) {
	tests := []struct {
		name  string
		group *group
		down  bool // the platform
		kind  billing.ErrorKind
	}{
		{"two", &group{there: []fescuelatch.Incarnation{"a", "b"}}, true, ""},
		{"one, the other is away", &group{there: []fescuelatch.Incarnation{"a"}, away: 1}, true, billing.KindPending},
		{"one, the other is away, platform there", &group{there: []fescuelatch.Incarnation{"a"}, away: 1}, false, ""},
		{"one, there is no other", &group{there: []fescuelatch.Incarnation{"a"}}, true, ""},
		{"silent", &group{silent: true}, true, billing.KindPending},
		{"silent, platform there", &group{silent: true}, false, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			kv := new(memory.KV)
			kv.SetDown(test.down)
			l := newLedger(kv, test.group)
			l.FlushInterval = time.Hour
			run(t, l.Run)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			qt.Check(t, billing.KindOf(l.Record(ctx, bill(1, ""))), qt.Equals, test.kind)
		})
	}
}

func TestFoundCompletesCopies(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	kv.SetDown(true)
	g := &group{there: []fescuelatch.Incarnation{"a"}}
	l := newLedger(kv, g)
	l.FlushInterval = time.Hour
	run(t, l.Run)
	c.Assert(record(t, l, bill(1, "")), qt.IsNil)
	g.join("b")
	l.Found()
	waitFor(t, "second copy", func() bool { return g.asked() == 2 })
	// Both copies are there, so a third daemon changes nothing.
	g.join("c")
	l.Found()
	c.Assert(record(t, l, bill(2, "")), qt.IsNil)
	c.Check(g.asked(), qt.Equals, 3)
}

// TestUrgentWritesLeaveTimeForOthers has every second batch written urgently.
// Those that are safe must be written in time as well.
func TestUrgentWritesLeaveTimeForOthers(t *testing.T) {
	kv := new(memory.KV)
	p := &peer{name: "peer", keeper: newKeeper(kv)}
	l := newLedger(kv, p)
	l.FlushInterval = 400 * time.Millisecond
	run(t, l.Run)
	_ = record(t, l, bill(0, ""))
	p.setAway(true)
	for n := 1; billed(kv)["request-0"] == 0; n++ {
		if n > 20 {
			t.Fatal("the first bill is not written after 20 urgent writes")
		}
		_ = record(t, l, bill(n, ""))
	}
}
