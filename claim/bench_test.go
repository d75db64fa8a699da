package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"fescuelatch"
	"fescuelatch/claim"
	"fescuelatch/platform"
	"fescuelatch/platform/memory"
)

// This file measures claims a second, and calls for a claim, with and without
// grouping.

// BenchmarkClaim makes and finishes claims from 50 daemons, one request
// each at a time. Each call to the platform takes 3 ms. The grouped daemons
// share a batcher, as those of a failure domain do through a relay.
func BenchmarkClaim(b *testing.B) {
	slow := func(memory.Call) memory.Fault { return memory.Fault{Delay: 3 * time.Millisecond} }
	b.Run("direct", func(b *testing.B) {
		kv := &memory.KV{Faults: slow}
		claimAll(b, kv, platform.Direct{Transactor: kv})
	})
	for _, interval := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 70 * time.Millisecond} {
		b.Run(fmt.Sprint("grouped over ", interval), func(b *testing.B) {
			kv := &memory.KV{Faults: slow}
			batcher := &platform.Batcher{KV: kv, Interval: interval}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); batcher.Run(ctx) }()
			claimAll(b, kv, batcher)
			cancel()
			<-done
		})
	}
}

func claimAll(b *testing.B, kv *memory.KV, s platform.Submitter) {
	const daemons, requests = 50, 1
	ctx := context.Background()
	start := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var took time.Duration
	for d := range daemons {
		c := &claim.Claimer{Submitter: s, Granter: kv, Now: time.Now}
		for r := range requests {
			wg.Go(func() {
				for n := d*requests + r; n < b.N; n += daemons * requests {
					q := request(fmt.Sprint("claimant-", n))
					q.Key = fmt.Sprint("key-", n)
					began := time.Now()
					l, err := c.Claim(ctx, q)
					if err != nil || !l.Dispatch() {
						b.Errorf("claim %d: %v", n, err)
						return
					}
					mu.Lock()
					took += time.Since(began)
					mu.Unlock()
					_ = l.Finish(ctx, fescuelatch.OutcomeAnswered, nil)
				}
			})
		}
	}
	wg.Wait()
	seconds := time.Since(start).Seconds()
	b.ReportMetric(float64(b.N)/seconds, "claims/s")
	b.ReportMetric(float64(kv.Calls())/seconds, "calls/s")
	b.ReportMetric(float64(kv.Calls())/float64(b.N), "calls/claim")
	b.ReportMetric(float64(took.Microseconds())/1000/float64(b.N), "ms/claim")
}
