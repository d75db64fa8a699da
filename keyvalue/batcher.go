package keyvalue

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines the batcher, which turns transactions of many goroutines
// into few calls.

// Submitter runs transactions that are independent of each other. Batcher
// implements it with grouped calls; a daemon that does not call the platform
// itself implements it by handing transactions to one that does.
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

// Direct is a Submitter that makes one call for each transaction.
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

	// MaxBatch is the number of transactions in a call. An etcd server
	// takes 128 by default.
	MaxBatch = 100
	// maxExtra bounds what a rate limit adds to the interval.
	maxExtra = 500 * time.Millisecond
	// extraDecay is the share of it that each accepted call takes away.
	extraDecay = 16

	// maxBatchBytes keeps a call below the request size that an etcd server
	// takes, 1.5 MiB by default.
	maxBatchBytes = 1 << 20
)

// Batcher groups transactions into calls: one at most in each Interval, and
// at most InFlight that wait for their answers. Every transaction has its
// own outcome. Set the fields before Run; only KV is required. The zero
// values of the others mean the defaults.
//
// The comparisons of all transactions of a call are evaluated before the
// first write, and a call must not write a key twice. Transactions that
// share a key with an earlier one therefore wait for the next call.
//
// A call that the service refuses for its rate had no effect. Its transactions
// go back to the head of the queue, and the interval becomes longer, so that
// the next calls carry more. The advice of the service, in whole seconds, is
// longer than transactions can wait and is not followed.
type Batcher struct {
	KV       Transactor
	Interval time.Duration
	InFlight int
	// Queue bounds the transactions that wait to be sent.
	Queue int

	mu      sync.Mutex
	queue   []*submission
	extra   time.Duration // added to the interval
	stopped bool
	wake    chan struct{}
	stats   BatcherStats
}

// BatcherStats counts what a Batcher has done.
type BatcherStats struct {
	Submitted int64 `json:"submitted"`
	Refused   int64 `json:"refused"`
	Calls     int64 `json:"calls"`
	Sent      int64 `json:"sent"`
	// Limited counts the calls refused for their rate.
	Limited int64 `json:"limited"`
	// Interval is the present one.
	Interval time.Duration `json:"interval"`
	Waiting  int           `json:"waiting"`
}

type submission struct {
	txn    fescuelatch.KVTxn
	keys   []string
	size   int
	sent   bool
	left   bool // nobody waits for the result
	result chan submissionResult
}

type submissionResult struct {
	res fescuelatch.KVTxnResult
	err error
}

const opSubmit = "submit"

// Submit runs t in a call with others and returns its own outcome. When ctx
// ends before t has been sent, it never will be and the error is of
// KindUnavailable; afterwards the error is of KindUnknown.
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
		return &Error{Op: opSubmit, Kind: KindUnavailable, Err: errors.New("batcher stopped or full")}
	}
	b.queue = append(b.queue, s)
	b.signal()
	return nil
}

// signal wakes Run. The lock is held.
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
	s.left = true
	if !s.sent {
		b.remove(s)
		kind = KindUnavailable
	}
	return fescuelatch.KVTxnResult{}, &Error{Op: opSubmit, Kind: kind, Err: errors.WithStack(cause)}
}

// remove takes s out of the queue. The lock is held.
func (b *Batcher) remove(s *submission) {
	for i, q := range b.queue {
		if q == s {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return
		}
	}
}

// Run sends calls until ctx ends, then refuses what still waits and returns
// when the calls under way have ended.
func (b *Batcher) Run(ctx context.Context) {
	inFlight := b.InFlight
	if inFlight == 0 {
		inFlight = DefaultInFlight
	}
	slots := make(chan struct{}, inFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer b.stop()
	for b.await(ctx) {
		if !pause.For(ctx, b.interval()) {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		batch := b.take()
		wg.Go(func() {
			defer func() { <-slots }()
			b.send(ctx, batch)
		})
	}
}

// interval returns the time until the next call.
func (b *Batcher) interval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base() + b.extra
}

func (b *Batcher) base() time.Duration {
	if b.Interval == 0 {
		return DefaultBatchInterval
	}
	return b.Interval
}

// await returns true when something waits to be sent, false when ctx ends.
func (b *Batcher) await(ctx context.Context) bool {
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
		err := &Error{Op: opSubmit, Kind: KindUnavailable, Err: errors.New("batcher stopped")}
		s.result <- submissionResult{err: err}
	}
	b.queue = nil
}

// take removes the next call's transactions from the queue.
func (b *Batcher) take() []*submission {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*submission
	size := 0
	used := make(map[string]bool)
	for _, s := range b.queue {
		full := len(batch) == MaxBatch || len(batch) > 0 && size+s.size > maxBatchBytes
		if full || anyUsed(used, s.keys) {
			rest = append(rest, s)
		} else {
			s.sent = true
			size += s.size
			batch = append(batch, s)
		}
		// A later transaction must not overtake one that waits.
		for _, key := range s.keys {
			used[key] = true
		}
	}
	b.queue = rest
	return batch
}

func anyUsed(used map[string]bool, keys []string) bool {
	for _, key := range keys {
		if used[key] {
			return true
		}
	}
	return false
}

// send makes the call for batch. It goes on after ctx has ended, bounded by
// the client's own timeout, so that a stop does not make outcomes unknown.
func (b *Batcher) send(ctx context.Context, batch []*submission) {
	if len(batch) == 0 {
		return
	}
	b.count()
	call := fescuelatch.KVTxn{Then: make([]fescuelatch.KVOp, 0, len(batch))}
	for _, s := range batch {
		call.Then = append(call.Then, fescuelatch.KVOp{Txn: &s.txn})
	}
	res, err := b.KV.Txn(context.WithoutCancel(ctx), call)
	if err == nil && len(res.Results) != len(batch) {
		err = &Error{Op: opSubmit, Kind: KindUnknown, Err: errors.New("answer of another length")}
	}
	if n := len(batch) / 2; n > 0 && err != nil && KindOf(err) == KindInvalid {
		// One transaction, for example with an ended lease, spoils the call
		// for all. The others go on without it.
		b.send(ctx, batch[:n])
		b.send(ctx, batch[n:])
		return
	}
	if err != nil && KindOf(err) == KindLimited && b.requeue(batch) {
		return
	}
	b.sent(len(batch))
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
		return submissionResult{err: &Error{Op: opSubmit, Kind: KindUnknown, Err: errors.New("no nested result")}}
	}
	r := *t
	// Nested transactions share the revision of the call.
	r.Revision = res.Revision
	return submissionResult{res: r}
}

func (b *Batcher) count() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Calls++
}

func (b *Batcher) sent(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Sent += int64(n)
	b.extra -= b.extra / extraDecay
}

// requeue puts a batch that the service refused for its rate back to the head
// of the queue, unless the batcher has stopped, and makes the interval longer.
func (b *Batcher) requeue(batch []*submission) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Limited++
	b.extra = min(max(2*b.extra, b.base()), maxExtra)
	if b.stopped {
		return false
	}
	var waiting []*submission
	for _, s := range batch {
		if !s.left {
			s.sent = false
			waiting = append(waiting, s)
		}
	}
	b.queue = append(waiting, b.queue...)
	b.signal()
	return true
}

// Stats returns the counts so far.
func (b *Batcher) Stats() BatcherStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Waiting = len(b.queue)
	s.Interval = b.base() + b.extra
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

// sizeOf returns the size of what t carries, without its framing.
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
