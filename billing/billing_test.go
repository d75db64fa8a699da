package billing_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/billing"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
)

// This file tests a ledger with one peer and an in-memory key-value service.

// peer is a Copier that stores copies in one keeper.
type peer struct {
	name   fescuelatch.Incarnation
	keeper *billing.CopyStore

	mu          sync.Mutex
	unavailable bool
}

var _ billing.Copier = (*peer)(nil)

func (p *peer) setUnavailable(unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = unavailable
}

func (p *peer) Hold(_ context.Context, b billing.Batch, _ int, held []fescuelatch.Incarnation) ([]fescuelatch.Incarnation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return nil, errors.New("peer is unavailable")
	}
	if slices.Contains(held, p.name) {
		return nil, nil
	}
	if err := p.keeper.Hold(b, b.Origin); err != nil {
		return nil, err
	}
	return []fescuelatch.Incarnation{p.name}, nil
}

func (p *peer) Drop(_ context.Context, o fescuelatch.Incarnation, through uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return errors.New("peer is unavailable")
	}
	p.keeper.Drop(o, through)
	return nil
}

func newKeeper(kv *memory.KV) *billing.CopyStore {
	return &billing.CopyStore{
		Submitter: keyvalue.Direct{Transactor: kv}, Now: time.Now,
		HoldTime: 20 * time.Millisecond, WriteInterval: 5 * time.Millisecond,
	}
}

func newLedger(kv *memory.KV, c billing.Copier) *billing.Ledger {
	return &billing.Ledger{
		Origin: "origin", Submitter: keyvalue.Direct{Transactor: kv}, Copier: c,
		Interval: time.Millisecond, FlushInterval: 10 * time.Millisecond,
	}
}

// run starts f and stops it when the test ends or the returned function is
// called.
func run(t testing.TB, f func(context.Context)) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

func bill(n int, key string) fescuelatch.Bill {
	return fescuelatch.Bill{Request: fescuelatch.RequestID(fmt.Sprint("request-", n)), Account: "desk", Cost: int64(n), Key: key}
}

// billCounts returns how often each request, or key, is billed at the platform.
func billCounts(kv *memory.KV) map[string]int {
	n := make(map[string]int)
	for _, v := range kv.Snapshot("fescuelatch/bill/batch/") {
		var b billing.Batch
		if err := json.Unmarshal(v.Value, &b); err != nil {
			panic(err)
		}
		for _, x := range b.Bills {
			n[string(x.Request)]++
		}
	}
	for _, v := range kv.Snapshot("fescuelatch/bill/key/") {
		var x fescuelatch.Bill
		if err := json.Unmarshal(v.Value, &x); err != nil {
			panic(err)
		}
		n[x.Key]++
	}
	return n
}

// waitFor fails the test unless ok returns true within 5 s.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within 5s: %s", what)
}

func record(t testing.TB, l *billing.Ledger, b fescuelatch.Bill) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	return l.Record(ctx, b)
}

func TestRecordIsSafe(t *testing.T) {
	tests := []struct {
		name        string
		down        bool // the platform is unavailable
		unavailable bool // the peer is unavailable
		kind        billing.ErrorKind
	}{
		{"both available", false, false, ""},
		{"platform unavailable", true, false, ""},
		{"peer unavailable", false, true, ""},
		{"both unavailable", true, true, billing.KindPending},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			kv := new(memory.KV)
			kv.SetDown(test.down)
			p := &peer{name: "peer", keeper: newKeeper(kv)}
			p.setUnavailable(test.unavailable)
			l := newLedger(kv, p)
			run(t, l.Run)
			c.Check(billing.KindOf(record(t, l, bill(1, ""))), qt.Equals, test.kind)
			kv.SetDown(false)
			p.setUnavailable(false)
			waitFor(t, "bill at the platform", func() bool { return billCounts(kv)["request-1"] == 1 })
			waitFor(t, "ledger empty", func() bool { return l.Stats().Waiting == 0 })
		})
	}
}

func TestPeerWritesBillsOfKilledDaemon(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	kv.SetDown(true)
	p := &peer{name: "peer", keeper: newKeeper(kv)}
	l := newLedger(kv, p)
	kill := run(t, l.Run)
	for n := range 5 {
		c.Assert(record(t, l, bill(n, "")), qt.IsNil)
	}
	kill()
	kv.SetDown(false)
	run(t, p.keeper.Run)
	waitFor(t, "bills at the platform", func() bool { return len(billCounts(kv)) == 5 })
	waitFor(t, "copies dropped", func() bool { return p.keeper.Stats().Waiting == 0 })
}

func TestKeyBillsOnce(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	a := newLedger(kv, &peer{name: "peer", keeper: newKeeper(kv)})
	b := newLedger(kv, &peer{name: "peer", keeper: newKeeper(kv)})
	b.Origin = "other"
	run(t, a.Run)
	run(t, b.Run)
	c.Assert(record(t, a, bill(1, "key")), qt.IsNil)
	c.Assert(record(t, a, bill(2, "key")), qt.IsNil)
	c.Assert(record(t, b, bill(3, "key")), qt.IsNil)
	waitFor(t, "ledgers empty", func() bool { return a.Stats().Waiting+b.Stats().Waiting == 0 })
	c.Check(billCounts(kv), qt.DeepEquals, map[string]int{"key": 1})
}

func TestFlushOnStop(t *testing.T) {
	tests := []struct {
		name        string
		down        bool
		unavailable bool
		kind        billing.ErrorKind
	}{
		{"to the platform", false, true, ""},
		{"to a peer", true, false, ""},
		{"to neither", true, true, billing.KindPending},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			kv := new(memory.KV)
			p := &peer{name: "peer", keeper: newKeeper(kv)}
			l := newLedger(kv, p)
			// Run is not running, so the batch of the bill is still open.
			c.Assert(billing.KindOf(record(t, l, bill(1, ""))), qt.Equals, billing.KindPending)
			kv.SetDown(test.down)
			p.setUnavailable(test.unavailable)
			c.Check(billing.KindOf(l.Flush(context.Background())), qt.Equals, test.kind)
			kv.SetDown(false)
			c.Check(p.keeper.Flush(context.Background()), qt.IsNil)
			want := 1
			if test.kind != "" {
				want = 0
			}
			c.Check(billCounts(kv)["request-1"], qt.Equals, want)
		})
	}
}

func TestKeeperTransfersCopies(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	kv.SetDown(true)
	last := newKeeper(kv)
	k := newKeeper(kv)
	k.Copier = &peer{name: "last", keeper: last}
	c.Assert(k.Hold(billing.Batch{Origin: "origin", Sequence: 1, Bills: []fescuelatch.Bill{bill(1, "")}}, "origin"), qt.IsNil)
	c.Assert(k.Flush(context.Background()), qt.IsNil)
	kv.SetDown(false)
	c.Assert(last.Flush(context.Background()), qt.IsNil)
	c.Check(billCounts(kv)["request-1"], qt.Equals, 1)
}

func TestCopiesOfCopies(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv := new(memory.KV)
	kv.SetDown(true)
	k, second, third := newKeeper(kv), newKeeper(kv), newKeeper(kv)
	p := &peer{name: "second", keeper: second}
	k.Copier = p
	c.Assert(k.Hold(billing.Batch{Origin: "gone", Sequence: 1, Bills: []fescuelatch.Bill{bill(1, "")}}, "gone"), qt.IsNil)
	c.Assert(k.Hold(billing.Batch{Origin: "alive", Sequence: 1, Bills: []fescuelatch.Bill{bill(2, "")}}, "alive"), qt.IsNil)
	p.setUnavailable(true)
	c.Check(billing.KindOf(k.PeerLost(ctx, "gone")), qt.Equals, billing.KindPending)
	p.setUnavailable(false)
	c.Assert(k.PeerLost(ctx, "gone"), qt.IsNil)
	c.Check(second.Stats().Waiting, qt.Equals, 1)
	// The holder of the other copy is lost too.
	p.name, p.keeper = "third", third
	c.Assert(k.PeerLost(ctx, "elsewhere"), qt.IsNil)
	c.Check(third.Stats().Waiting, qt.Equals, 0)
	c.Assert(k.PeerLost(ctx, "second"), qt.IsNil)
	c.Check(third.Stats().Waiting, qt.Equals, 1)
	kv.SetDown(false)
	// All three daemons write the bill, and it is stored once.
	c.Assert(second.Flush(ctx), qt.IsNil)
	c.Assert(third.Flush(ctx), qt.IsNil)
	c.Assert(k.Flush(ctx), qt.IsNil)
	c.Check(billCounts(kv), qt.DeepEquals, map[string]int{"request-1": 1, "request-2": 1})
}

func TestLostHolder(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	kv.SetDown(true)
	p := &peer{name: "first", keeper: newKeeper(kv)}
	l := newLedger(kv, p)
	run(t, l.Run)
	c.Assert(record(t, l, bill(1, "")), qt.IsNil)
	second := newKeeper(kv)
	p.mu.Lock()
	p.name, p.keeper = "second", second
	p.mu.Unlock()
	l.PeerLost("first")
	waitFor(t, "copy at the second peer", func() bool { return second.Stats().Waiting == 1 })
}

func TestBounds(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	kv.SetDown(true)
	k := newKeeper(kv)
	k.MaxBills = 1
	l := newLedger(kv, &peer{name: "peer", keeper: k})
	l.MaxBills = 2
	run(t, l.Run)
	c.Check(record(t, l, bill(1, "")), qt.IsNil)
	c.Check(billing.KindOf(record(t, l, bill(2, ""))), qt.Equals, billing.KindPending)
	c.Check(l.Full(), qt.IsTrue)
	c.Check(billing.KindOf(record(t, l, bill(3, ""))), qt.Equals, billing.KindFull)
	c.Check(k.Stats().Refused > 0, qt.IsTrue)
	kv.SetDown(false)
	waitFor(t, "ledger empty", func() bool { return l.Stats().Waiting == 0 })
}

func TestManyKeyedBillsFitTheTransactions(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	kv.SetDown(true)
	l := newLedger(kv, &peer{name: "peer", keeper: newKeeper(kv)})
	stop := run(t, l.Run)
	var wg sync.WaitGroup
	for n := range 500 {
		wg.Go(func() { _ = record(t, l, bill(n, fmt.Sprint("key-", n))) })
	}
	wg.Wait()
	stop()
	kv.SetDown(false)
	c.Assert(l.Flush(context.Background()), qt.IsNil)
	c.Check(billCounts(kv), qt.HasLen, 500)
}

func TestBatchIsChecked(t *testing.T) {
	tests := []struct{ text, fault string }{
		{`{"origin":"o","sequence":1,"bills":[{"request":"r","account":"a"}]}`, ""},
		{`{"origin":"o","sequence":0,"bills":[{"request":"r","account":"a"}]}`, "batch lacks"},
		{`{"sequence":1,"bills":[{"request":"r","account":"a"}]}`, "batch lacks"},
		{`{"origin":"o","sequence":1,"bills":[]}`, "batch lacks"},
		{`{"origin":"o","sequence":1,"bills":[{"account":"a"}]}`, "bill lacks"},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			c := qt.New(t)
			var b billing.Batch
			err := json.Unmarshal([]byte(test.text), &b)
			if test.fault == "" {
				c.Check(err, qt.IsNil)
				return
			}
			c.Check(err, qt.IsNotNil)
			c.Check(strings.Contains(err.Error(), test.fault), qt.IsTrue)
		})
	}
}

// TestFlushAfterHolderIsLost stops a daemon that has not yet been notified that
// the holder of its copies is lost.
func TestFlushAfterHolderIsLost(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	kv.SetDown(true)
	p := &peer{name: "first", keeper: newKeeper(kv)}
	l := newLedger(kv, p)
	stop := run(t, l.Run)
	c.Assert(record(t, l, bill(1, "")), qt.IsNil)
	stop()
	second := newKeeper(kv)
	p.name, p.keeper = "second", second
	c.Assert(l.Flush(context.Background()), qt.IsNil)
	kv.SetDown(false)
	c.Assert(second.Flush(context.Background()), qt.IsNil)
	c.Check(billCounts(kv)["request-1"], qt.Equals, 1)
}
