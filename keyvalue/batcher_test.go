package keyvalue_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
)

// This file tests the batcher with the in-memory service.

func createTxn(key, value string) fescuelatch.KVTxn {
	return fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: key}},
		Then: []fescuelatch.KVOp{{Put: &fescuelatch.KVPut{Key: key, Value: []byte(value)}}},
		Else: []fescuelatch.KVOp{{Get: key}},
	}
}

// runBatcher runs b until the test ends or the returned function is called.
func runBatcher(t testing.TB, b *keyvalue.Batcher) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); b.Run(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

func TestBatcherGroups(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	b := &keyvalue.Batcher{KV: kv, Interval: 20 * time.Millisecond}
	runBatcher(t, b)
	var wg sync.WaitGroup
	var mu sync.Mutex
	successes := make(map[string]int)
	for i := range 300 {
		wg.Go(func() {
			key := fmt.Sprint("key-", i%150)
			res, err := b.Submit(context.Background(), createTxn(key, fmt.Sprint(i)))
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if res.Succeeded {
				successes[key]++
			} else if len(res.Results[0].Values) != 1 {
				successes[key] += 100
			}
		})
	}
	wg.Wait()
	c.Check(successes, qt.HasLen, 150)
	for key, n := range successes {
		c.Check(n, qt.Equals, 1, qt.Commentf(key))
	}
	s := b.Stats()
	c.Check(s.Sent, qt.Equals, int64(300))
	// The minimum is 4: two calls for the first transaction of each key and
	// two for the second.
	c.Check(s.Calls <= 12, qt.IsTrue, qt.Commentf("%d calls", s.Calls))
}

func TestBatcherLimitsCallSize(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	b := &keyvalue.Batcher{KV: kv, Interval: 50 * time.Millisecond}
	runBatcher(t, b)
	large := strings.Repeat("x", 600<<10)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { _, _ = b.Submit(context.Background(), createTxn(fmt.Sprint("key-", i), large)) })
	}
	wg.Wait()
	c.Check(b.Stats().Calls, qt.Equals, int64(4))
}

func TestSubmitFailures(t *testing.T) {
	tests := []struct {
		name  string
		fault memory.Fault
		kind  keyvalue.ErrorKind
	}{
		{"outage", memory.Fault{Before: memory.Unavailable("transaction")}, keyvalue.KindUnavailable},
		{"answer lost", memory.Fault{After: memory.ResponseLost("transaction")}, keyvalue.KindUnknown},
		{"other error type", memory.Fault{After: errors.New("x")}, keyvalue.KindUnknown},
		{"slow", memory.Fault{Delay: 200 * time.Millisecond}, keyvalue.KindUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			kv := &memory.KV{Faults: func(memory.Call) memory.Fault { return test.fault }}
			b := &keyvalue.Batcher{KV: kv, Interval: time.Millisecond}
			runBatcher(t, b)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := b.Submit(ctx, createTxn("key", "v"))
			c.Check(keyvalue.KindOf(err), qt.Equals, test.kind, qt.Commentf("%v", err))
		})
	}
}

// rateLimited returns faults of a service that accepts one call per period.
func rateLimited(period time.Duration) func(memory.Call) memory.Fault {
	var next time.Time
	return func(memory.Call) memory.Fault {
		now := time.Now()
		if now.Before(next) {
			return memory.Fault{Before: &keyvalue.Error{Op: "transaction", Kind: keyvalue.KindRateLimited, RetryAfter: time.Second}}
		}
		next = now.Add(period)
		return memory.Fault{}
	}
}

func TestRateLimitDelaysTransactions(t *testing.T) {
	c := qt.New(t)
	kv := &memory.KV{Faults: rateLimited(25 * time.Millisecond)}
	b := &keyvalue.Batcher{KV: kv, Interval: time.Millisecond}
	runBatcher(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	errs := make(chan error, 1000)
	for i := range 20 {
		wg.Go(func() {
			for n := range 20 {
				if _, err := b.Submit(ctx, createTxn(fmt.Sprint("key-", i, "-", n), "v")); err != nil {
					errs <- err
				}
			}
		})
	}
	wg.Wait()
	c.Check(errs, qt.HasLen, 0)
	c.Check(kv.Snapshot("key"), qt.HasLen, 400)
	s := b.Stats()
	c.Check(s.Limited > 0, qt.IsTrue)
	// With the base interval nearly all calls would be rejected.
	c.Check(s.Limited < s.Calls*3/4, qt.IsTrue, qt.Commentf("%d of %d calls rejected", s.Limited, s.Calls))
}

// TestRequeuedTransactionIsCanceled cancels a transaction that is queued again
// after a rate-limited call. During the call the outcome is unknown, so the
// context is canceled in the interval of at least 200 ms after it.
func TestRequeuedTransactionIsCanceled(t *testing.T) {
	c := qt.New(t)
	kv := &memory.KV{Faults: rateLimited(time.Hour)}
	b := &keyvalue.Batcher{KV: kv, Interval: 100 * time.Millisecond}
	runBatcher(t, b)
	_, err := b.Submit(context.Background(), createTxn("first", "v"))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := b.Submit(ctx, createTxn("second", "v"))
		done <- err
	}()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if s := b.Stats(); s.Limited == 1 && s.Waiting == 1 {
			break
		}
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	cancel()
	c.Check(keyvalue.KindOf(<-done), qt.Equals, keyvalue.KindUnavailable)
	c.Check(kv.Snapshot("second"), qt.HasLen, 0)
}

func TestUnsentTransactionIsCanceled(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	b := &keyvalue.Batcher{KV: kv, Interval: 50 * time.Millisecond}
	runBatcher(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	_, err := b.Submit(ctx, createTxn("key", "v"))
	c.Check(keyvalue.KindOf(err), qt.Equals, keyvalue.KindUnavailable)
	_, err = b.Submit(context.Background(), createTxn("other", "v"))
	c.Assert(err, qt.IsNil)
	c.Check(kv.Snapshot("key"), qt.HasLen, 0)
}

func TestStoppedBatcher(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	b := &keyvalue.Batcher{KV: kv, Interval: time.Hour}
	stop := runBatcher(t, b)
	done := make(chan error)
	go func() {
		_, err := b.Submit(context.Background(), createTxn("key", "v"))
		done <- err
	}()
	for b.Stats().Submitted == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	c.Check(keyvalue.KindOf(<-done), qt.Equals, keyvalue.KindUnavailable)
	_, err := b.Submit(context.Background(), createTxn("key", "v"))
	c.Check(keyvalue.KindOf(err), qt.Equals, keyvalue.KindUnavailable)
	c.Check(kv.Snapshot("key"), qt.HasLen, 0)
}

func TestFullBatcher(t *testing.T) {
	c := qt.New(t)
	b := &keyvalue.Batcher{KV: new(memory.KV), Interval: time.Hour, Queue: 1}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = b.Submit(ctx, createTxn("key", "v"))
	}()
	for b.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := b.Submit(ctx, createTxn("other", "v"))
	c.Check(keyvalue.KindOf(err), qt.Equals, keyvalue.KindUnavailable)
	cancel()
	<-done
}

func TestExpiredLeaseFailsOnlyItsTransaction(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	b := &keyvalue.Batcher{KV: kv, Interval: 20 * time.Millisecond}
	runBatcher(t, b)
	errs := make([]error, 9)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() {
			txn := createTxn(fmt.Sprint("key-", i), "v")
			if i == 4 {
				txn.Then[0].Put.Lease = 99
			}
			_, errs[i] = b.Submit(context.Background(), txn)
		})
	}
	wg.Wait()
	for i, err := range errs {
		if i == 4 {
			c.Check(keyvalue.KindOf(err), qt.Equals, keyvalue.KindInvalid)
			continue
		}
		c.Check(err, qt.IsNil)
	}
}

// BenchmarkSubmit compares the number of calls with and without a batcher. Each
// call takes 2 ms, and 400 goroutines submit transactions.
func BenchmarkSubmit(b *testing.B) {
	slow := func(memory.Call) memory.Fault { return memory.Fault{Delay: 2 * time.Millisecond} }
	b.Run("direct", func(b *testing.B) {
		kv := &memory.KV{Faults: slow}
		submitAll(b, kv, keyvalue.Direct{Transactor: kv})
	})
	b.Run("batched", func(b *testing.B) {
		kv := &memory.KV{Faults: slow}
		batcher := &keyvalue.Batcher{KV: kv}
		runBatcher(b, batcher)
		submitAll(b, kv, batcher)
	})
}

func submitAll(b *testing.B, kv *memory.KV, s keyvalue.Submitter) {
	const submitters = 400
	start := time.Now()
	var wg sync.WaitGroup
	var total time.Duration
	var mu sync.Mutex
	for i := range submitters {
		wg.Go(func() {
			for n := i; n < b.N; n += submitters {
				began := time.Now()
				if _, err := s.Submit(context.Background(), createTxn(fmt.Sprint("key-", n), "v")); err != nil {
					b.Error(err)
				}
				mu.Lock()
				total += time.Since(began)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	seconds := time.Since(start).Seconds()
	b.ReportMetric(float64(b.N)/seconds, "txns/s")
	b.ReportMetric(float64(kv.Calls())/seconds, "calls/s")
	b.ReportMetric(float64(b.N)/float64(kv.Calls()), "txns/call")
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/txn")
}
