package claim_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"fescuelatch"
	"fescuelatch/claim"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
)

// This file measures the cost of a claim and its calls to the platform.

// countingKV counts the transactions of a key-value service.
type countingKV struct {
	*memory.KV
	calls atomic.Int64
}

// Txn implements keyvalue.Transactor.
func (k *countingKV) Txn(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	k.calls.Add(1)
	return k.KV.Txn(ctx, t)
}

// BenchmarkClaim makes, dispatches and finishes claims, with one call for each
// write or with writes batched across requests.
func BenchmarkClaim(b *testing.B) {
	for _, parallel := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("direct/parallel=%d", parallel), func(b *testing.B) {
			k := &countingKV{KV: new(memory.KV)}
			benchmarkClaim(b, k, keyvalue.Direct{Transactor: k}, parallel)
		})
		b.Run(fmt.Sprintf("batched/parallel=%d", parallel), func(b *testing.B) {
			k := &countingKV{KV: new(memory.KV)}
			t := &keyvalue.Batcher{KV: k}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); t.Run(ctx) }()
			benchmarkClaim(b, k, t, parallel)
			cancel()
			<-done
		})
	}
}

func benchmarkClaim(b *testing.B, k *countingKV, s keyvalue.Submitter, parallel int) {
	b.Helper()
	r := &claim.Claimer{Submitter: s, Granter: k, Now: time.Now, Timeout: time.Second}
	var next atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(parallel)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			claimOnce(b, r, next.Add(1))
		}
	})
	b.ReportMetric(float64(k.calls.Load())/float64(b.N), "calls/op")
}

func claimOnce(b *testing.B, r *claim.Claimer, n int64) {
	b.Helper()
	ctx := context.Background()
	l, err := r.Claim(ctx, claim.Request{
		Account: "desk", Key: fmt.Sprint("ban-", n), Fingerprint: claim.Fingerprint([]byte("body")),
		Claimant: fmt.Sprint(n), Deadline: time.Now().Add(time.Minute),
	})
	if err != nil || l.State != claim.StateAcquired || !l.Dispatch() {
		b.Errorf("claim %+v: %v", l, err)
		return
	}
	if err := l.Finish(ctx, fescuelatch.OutcomeAnswered, &claim.Answer{Status: 200, Body: []byte("banned")}); err != nil {
		b.Error(err)
	}
}
