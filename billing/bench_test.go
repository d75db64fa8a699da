package billing_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"fescuelatch"
	"fescuelatch/billing"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
)

// This file measures the cost of bills: calls, bytes and latency.

// countingCopier stores copies in one keeper and counts copies and bytes.
type countingCopier struct {
	peer
	holds, bytes int
}

func (p *countingCopier) Hold(ctx context.Context, b billing.Batch, n int, held []fescuelatch.Incarnation) ([]fescuelatch.Incarnation, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.holds += n
	p.bytes += n * len(body)
	p.mu.Unlock()
	return p.peer.Hold(ctx, b, n, held)
}

// BenchmarkRecord records bills at 24/s, the rate of one daemon of a large
// fleet, or at the maximum rate of 8 concurrent requests.
func BenchmarkRecord(b *testing.B) {
	for _, rate := range []time.Duration{time.Second / 24, 0} {
		b.Run(fmt.Sprint("every ", rate), func(b *testing.B) { recordAll(b, rate) })
	}
}

func recordAll(b *testing.B, every time.Duration) {
	kv := new(memory.KV)
	k := newKeeper(kv)
	k.HoldTime = time.Hour
	p := &countingCopier{peer: peer{name: "peer", keeper: k}}
	l := &billing.Ledger{Origin: "0b9d1c52-5a0e-4b0a-9a53-6d3c2c1f7a11", Submitter: keyvalue.Direct{Transactor: kv}, Copier: p, FlushInterval: time.Second}
	run(b, l.Run)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var took time.Duration
	slots := make(chan struct{}, 8)
	start := time.Now()
	for range b.N {
		time.Sleep(every)
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			x := fescuelatch.Bill{
				Request: fescuelatch.RequestID(uuid.NewString()), Account: "musanze-desk", Version: "triage-small@7",
				PromptTokens: 412, OutputTokens: 96, Cost: 1234, Attempts: 1, Ended: time.Now(),
			}
			began := time.Now()
			if err := l.Record(context.Background(), x); err != nil {
				b.Error(err)
			}
			mu.Lock()
			took += time.Since(began)
			mu.Unlock()
		})
	}
	wg.Wait()
	seconds := time.Since(start).Seconds()
	p.mu.Lock()
	defer p.mu.Unlock()
	b.ReportMetric(float64(b.N)/seconds, "bills/s")
	b.ReportMetric(float64(took.Microseconds())/1000/float64(b.N), "ms/bill")
	b.ReportMetric(float64(p.bytes)/float64(b.N), "copied-bytes/bill")
	b.ReportMetric(float64(p.holds)/float64(b.N), "copies/bill")
	b.ReportMetric(float64(kv.Calls())/seconds, "calls/s")
}
