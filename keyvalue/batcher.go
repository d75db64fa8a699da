package keyvalue

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines the batcher, which groups transactions of many goroutines
// into few calls.

// Submitter runs transactions that are independent of each other. Batcher
// implements it with grouped calls, Relay by forwarding to another daemon.
type Submitter interface {
	Submit(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error)
}

// Transactor is the part of a key-value service that a Batcher needs.
type Transactor interface {
	Txn(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error)
}

var (
	_ Submitter = (*Batcher)(nil)
	_ Submitter = Direct{}
)

// Direct is a Submitter that makes one call per transaction.
type Direct struct{ Transactor }

// Submit implements Submitter.
func (d Direct) Submit(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	return d.Txn(ctx, t)
}

// Defaults of a Batcher.
const (
	DefaultBatchInterval = 5 * time.Millisecond
	DefaultInFlight      = 4
	DefaultQueue         = 4096

	// MaxBatch is the maximum number of transactions in a call. An etcd
	// server accepts 128 by default.
	MaxBatch = 100
	// maxExtraInterval limits the extra interval caused by rate limiting.
	maxExtraInterval = 500 * time.Millisecond
	// extraIntervalDecay is the divisor of the share of the extra interval
	// that each accepted call removes.
	extraIntervalDecay = 16

	// maxBatchBytes keeps a call below the maximum request size of an etcd
	// server, 1.5 MiB by default.
	maxBatchBytes = 1 << 20
)

// Batcher groups transactions into calls: at most one per Interval, and at
// most InFlight awaiting a response. Every transaction has its own outcome.
// Set the fields before Run; only KV is required. Zero values of the others
// select the defaults.
//
// The service evaluates the comparisons of all transactions of a call before
// the first write, and a call must not write a key twice. A transaction that
// shares a key with an earlier one therefore waits for a later call.
//
// A rate-limited call had no effect. Its transactions return to the head of the
// queue, and the interval is increased so that later calls contain more. The
// service's Retry-After, in whole seconds, is ignored because transactions
// cannot wait that long.
type Batcher struct {
	KV       Transactor
	Interval time.Duration
	InFlight int
	// Queue is the maximum number of transactions waiting to be sent.
	Queue int

	mu            sync.Mutex
	queue         []*submission
	extraInterval time.Duration // added to the interval
	stopped       bool
	wake          chan struct{}
	stats         BatcherStats
}

// BatcherStats contains the statistics of a Batcher.
type BatcherStats struct {
	Submitted int64 `json:"submitted"`
	Refused   int64 `json:"refused"`
	Calls     int64 `json:"calls"`
	Sent      int64 `json:"sent"`
	// Limited counts the calls rejected because of a rate limit.
	Limited int64 `json:"limited"`
	// Interval is the current interval between calls.
	Interval time.Duration `json:"interval"`
	Waiting  int           `json:"waiting"`
}

type submission struct {
	txn       fescuelatch.KVTxn
	keys      []string
	size      int
	sent      bool
	abandoned bool // no caller waits for the result
	result    chan submissionResult
}

type submissionResult struct {
	res fescuelatch.KVTxnResult
	err error
}

const opSubmit = "submit"

// Submit runs t, possibly in a call with others, and returns its outcome. If
// ctx is done before t has been sent, t is removed from the queue and the error
// is of KindUnavailable; afterwards the error is of KindUnknown.
func (b *Batcher) Submit(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	s := &submission{txn: t, keys: keysOf(t, nil), size: sizeOf(t), result: make(chan submissionResult, 1)}
	if err := b.enqueue(s); err != nil {
		return fescuelatch.KVTxnResult{}, err
	}
	select {
	case r := <-s.result:
		return r.res, r.err
	case <-ctx.Done():
		return b.abandon(s, ctx.Err())
	}
}

func (b *Batcher) enqueue(s *submission) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.Queue
	if limit == 0 {
		limit = DefaultQueue
	}
	b.stats.Submitted++
	if b.stopped || len(b.queue) >= limit {
		b.stats.Refused++
		return &Error{Op: opSubmit, Kind: KindUnavailable, Err: errors.New("batcher is stopped or its queue is full")}
	}
	b.queue = append(b.queue, s)
	b.signal()
	return nil
}

// signal wakes Run. The caller must hold b.mu.
func (b *Batcher) signal() {
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Batcher) abandon(s *submission, cause error) (fescuelatch.KVTxnResult, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case r := <-s.result:
		return r.res, r.err
	default:
	}
	kind := KindUnknown
	s.abandoned = true
	if !s.sent {
		b.remove(s)
		kind = KindUnavailable
	}
	return fescuelatch.KVTxnResult{}, &Error{Op: opSubmit, Kind: kind, Err: errors.WithStack(cause)}
}

// remove removes s from the queue. The caller must hold b.mu.
func (b *Batcher) remove(s *submission) {
	for i, q := range b.queue {
		if q == s {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return
		}
	}
}

// Run sends calls until ctx is done. It then fails the queued transactions and
// returns when the calls in flight have completed.
func (b *Batcher) Run(ctx context.Context) {
	inFlight := b.InFlight
	if inFlight == 0 {
		inFlight = DefaultInFlight
	}
	slots := make(chan struct{}, inFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer b.stop()
	for b.waitForWork(ctx) {
		if !pause.For(ctx, b.interval()) {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		batch := b.nextBatch()
		wg.Go(func() {
			defer func() { <-slots }()
			b.send(ctx, batch)
		})
	}
}

// interval returns the current interval between calls.
func (b *Batcher) interval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.baseInterval() + b.extraInterval
}

func (b *Batcher) baseInterval() time.Duration {
	if b.Interval == 0 {
		return DefaultBatchInterval
	}
	return b.Interval
}

// waitForWork returns true once a transaction may be queued, false if ctx is
// done.
func (b *Batcher) waitForWork(ctx context.Context) bool {
	b.mu.Lock()
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	wake, waiting := b.wake, len(b.queue)
	b.mu.Unlock()
	if waiting > 0 {
		return ctx.Err() == nil
	}
	select {
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Batcher) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, s := range b.queue {
		err := &Error{Op: opSubmit, Kind: KindUnavailable, Err: errors.New("batcher is stopped")}
		s.result <- submissionResult{err: err}
	}
	b.queue = nil
}

// nextBatch removes the transactions of the next call from the queue.
func (b *Batcher) nextBatch() []*submission {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*submission
	size := 0
	used := make(map[string]bool)
	for _, s := range b.queue {
		full := len(batch) == MaxBatch || len(batch) > 0 && size+s.size > maxBatchBytes
		if full || containsAny(used, s.keys) {
			rest = append(rest, s)
		} else {
			s.sent = true
			size += s.size
			batch = append(batch, s)
		}
		// A later transaction must not overtake one with the same key.
		for _, key := range s.keys {
			used[key] = true
		}
	}
	b.queue = rest
	return batch
}

func containsAny(used map[string]bool, keys []string) bool {
	for _, key := range keys {
		if used[key] {
			return true
		}
	}
	return false
}

// send makes the call for batch. The call continues after ctx is done, limited
// by the client's own timeout, so that stopping does not make outcomes unknown.
func (b *Batcher) send(ctx context.Context, batch []*submission) {
	if len(batch) == 0 {
		return
	}
	b.countCall()
	call := fescuelatch.KVTxn{Then: make([]fescuelatch.KVOp, 0, len(batch))}
	for _, s := range batch {
		call.Then = append(call.Then, fescuelatch.KVOp{Txn: &s.txn})
	}
	res, err := b.KV.Txn(context.WithoutCancel(ctx), call)
	if err == nil && len(res.Results) != len(batch) {
		err = &Error{Op: opSubmit, Kind: KindUnknown, Err: errors.New("response has the wrong number of results")}
	}
	if n := len(batch) / 2; n > 0 && err != nil && KindOf(err) == KindInvalid {
		// One invalid transaction, for example with an expired lease, fails
		// the whole call. Halving the batch isolates it.
		b.send(ctx, batch[:n])
		b.send(ctx, batch[n:])
		return
	}
	if err != nil && KindOf(err) == KindRateLimited && b.requeue(batch) {
		return
	}
	b.countSent(len(batch))
	for i, s := range batch {
		s.result <- resultOf(res, i, err)
	}
}

func resultOf(res fescuelatch.KVTxnResult, i int, err error) submissionResult {
	if err != nil {
		return submissionResult{err: err}
	}
	t := res.Results[i].Txn
	if t == nil {
		return submissionResult{err: &Error{Op: opSubmit, Kind: KindUnknown, Err: errors.New("result of the transaction is missing")}}
	}
	r := *t
	// Nested transactions share the revision of the call.
	r.Revision = res.Revision
	return submissionResult{res: r}
}

func (b *Batcher) countCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Calls++
}

func (b *Batcher) countSent(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Sent += int64(n)
	b.extraInterval -= b.extraInterval / extraIntervalDecay
}

// requeue returns a rate-limited batch to the head of the queue, unless the
// batcher is stopped, and increases the interval.
func (b *Batcher) requeue(batch []*submission) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Limited++
	b.extraInterval = min(max(2*b.extraInterval, b.baseInterval()), maxExtraInterval)
	if b.stopped {
		return false
	}
	var waiting []*submission
	for _, s := range batch {
		if !s.abandoned {
			s.sent = false
			waiting = append(waiting, s)
		}
	}
	b.queue = append(waiting, b.queue...)
	b.signal()
	return true
}

// Stats returns the current statistics.
func (b *Batcher) Stats() BatcherStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Waiting = len(b.queue)
	s.Interval = b.baseInterval() + b.extraInterval
	return s
}

// keysOf appends the keys that t compares, reads or writes.
func keysOf(t fescuelatch.KVTxn, keys []string) []string {
	for _, c := range t.If {
		keys = append(keys, c.Key)
	}
	for _, ops := range [][]fescuelatch.KVOp{t.Then, t.Else} {
		for _, o := range ops {
			switch {
			case o.Put != nil:
				keys = append(keys, o.Put.Key)
			case o.Delete != "":
				keys = append(keys, o.Delete)
			case o.Get != "":
				keys = append(keys, o.Get)
			case o.Txn != nil:
				keys = keysOf(*o.Txn, keys)
			}
		}
	}
	return keys
}

// sizeOf returns the size of the keys and values of t, without encoding
// overhead.
func sizeOf(t fescuelatch.KVTxn) int {
	n := 0
	for _, c := range t.If {
		n += len(c.Key)
	}
	for _, ops := range [][]fescuelatch.KVOp{t.Then, t.Else} {
		for _, o := range ops {
			switch {
			case o.Put != nil:
				n += len(o.Put.Key) + len(o.Put.Value)
			case o.Txn != nil:
				n += sizeOf(*o.Txn)
			default:
				n += len(o.Delete) + len(o.Get)
			}
		}
	}
	return n
}
