package claim

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/pause"
	"fescuelatch/keyvalue"
)

// This file defines a claim, its dispatch and its end.

// Claim is the result of Claimer.Claim.
type Claim struct {
	State State
	// Answer is set with StateFinished.
	Answer *Answer
	// Claimant is the claimant of another arrival that holds the claim.
	Claimant string

	claimer  *Claimer
	key      string
	lease    int64
	revision int64
	// record is the current or next value of the key for this claimant.
	record record

	mu         sync.Mutex
	dispatched bool
	ended      bool
}

// Dispatch reports whether the request may be sent now. It returns true once,
// and only for a claim in StateAcquired that has not ended. NotStarted allows
// another dispatch.
func (l *Claim) Dispatch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.State != StateAcquired || l.dispatched || l.ended {
		return false
	}
	l.dispatched = true
	return true
}

// Finish records the outcome of a dispatched request. The answer may be sent to
// the caller before. When the platform is unavailable, Finish returns
// KindPending and Run retries the write.
func (l *Claim) Finish(ctx context.Context, o fescuelatch.Outcome, a *Answer) error {
	if err := checkOutcome(o); err != nil {
		return &Error{Op: opFinish, Kind: KindInvalid, Err: err}
	}
	if !l.markEnded(true) {
		return &Error{Op: opFinish, Kind: KindInvalid, Err: errors.New("the claim was not dispatched or has ended")}
	}
	l.record.Status = statusFinished
	l.record.Outcome = o
	l.record.Answer = l.claimer.limitAnswer(a)
	return l.finalize(ctx, opFinish)
}

// Release abandons a claim whose request was not sent, so that a repeat of the
// request can claim the key. Dispatch returns false from then on.
func (l *Claim) Release(ctx context.Context) error {
	if l.State != StateAcquired || !l.markEnded(false) {
		return &Error{Op: opRelease, Kind: KindInvalid, Err: errors.New("the claim is not held, was dispatched or has ended")}
	}
	l.record.Status = statusReleased
	return l.finalize(ctx, opRelease)
}

// NotStarted records that the dispatch certainly did not reach an endpoint,
// or that the endpoint reported the request as not run. The claim may then be
// dispatched again or released.
func (l *Claim) NotStarted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatched = false
}

// markEnded marks the claim as ended. It returns false when the claim had ended
// before or its dispatched flag differs from the argument.
func (l *Claim) markEnded(dispatched bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.dispatched != dispatched {
		return false
	}
	l.ended = true
	return true
}

// abandon queues the release of a claim that may have been written.
func (l *Claim) abandon() {
	l.markEnded(false)
	l.record.Status = statusReleased
	l.claimer.enqueue(l)
}

func (c *Claimer) limitAnswer(a *Answer) *Answer {
	limit := c.MaxAnswer
	if limit == 0 {
		limit = DefaultMaxAnswer
	}
	if a == nil || len(a.Body) <= limit {
		return a
	}
	short := *a
	short.Body, short.Omitted = nil, true
	return &short
}

// finalize writes the end of the claim, or queues it for Run.
func (l *Claim) finalize(ctx context.Context, op string) error {
	done, err := l.write(ctx)
	if done {
		return nil
	}
	l.claimer.enqueue(l)
	return &Error{Op: op, Kind: KindPending, Err: err}
}

// write stores the record at the platform and reports whether the claim needs
// no further write. It is idempotent.
func (l *Claim) write(ctx context.Context) (bool, error) {
	for {
		res, err := l.claimer.Submitter.Submit(ctx, l.swapTxn(l.revision))
		if err != nil {
			return false, err
		}
		if res.Succeeded {
			l.claimer.countEnd(l.record.Status)
			return true, nil
		}
		if again := l.needsRetry(res); !again {
			return true, nil
		}
	}
}

// needsRetry reports whether the end of the claim must still be written over
// the stored record, and sets l.revision for that write.
func (l *Claim) needsRetry(res fescuelatch.KVTxnResult) bool {
	kv, ok := storedValue(res)
	if !ok {
		// The key was never written or has expired. A released record must be
		// written, as a late write of the claim may still arrive. A finished
		// claim had been written, so it has expired.
		l.revision = 0
		return l.record.Status == statusReleased
	}
	r, err := decode(kv)
	if err != nil {
		return false
	}
	l.revision = kv.Revision
	if r.Claimant == l.record.Claimant {
		return r.Status == statusClaimed
	}
	// A released record of another claimant is overwritten, so that a late
	// write that expects its revision fails.
	return r.Status == statusReleased && l.record.Status == statusReleased
}

// swapTxn returns the transaction that writes the claim's record if the key is
// at the given revision (zero: absent), and otherwise reads the key.
func (l *Claim) swapTxn(revision int64) fescuelatch.KVTxn {
	// Encoding of a record cannot fail.
	value, _ := json.Marshal(l.record)
	return fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: l.key, Revision: revision}},
		Then: []fescuelatch.KVOp{{Put: &fescuelatch.KVPut{Key: l.key, Value: value, Lease: l.lease}}},
		Else: []fescuelatch.KVOp{{Get: l.key}},
	}
}

func (c *Claimer) countEnd(s status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == statusReleased {
		c.stats.Released++
	} else {
		c.stats.Finished++
	}
}

// enqueue adds a claim to the backlog that Run writes.
func (c *Claimer) enqueue(l *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.MaxBacklog
	if limit == 0 {
		limit = DefaultBacklog
	}
	if len(c.backlog) >= limit {
		c.stats.Dropped++
		return
	}
	c.backlog = append(c.backlog, l)
	c.signal()
}

// signal wakes one worker of Run. The caller holds c.mu.
func (c *Claimer) signal() {
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run writes the queued ends of claims until ctx ends. Keys whose end is not
// written by then remain claimed.
func (c *Claimer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range backlogWorkers {
		wg.Go(func() { c.drain(ctx) })
	}
	wg.Wait()
}

func (c *Claimer) drain(ctx context.Context) {
	for {
		l := c.dequeue(ctx)
		if l == nil {
			return
		}
		done, err := l.write(ctx)
		if done {
			continue
		}
		c.enqueue(l)
		if !pause.For(ctx, max(keyvalue.RetryAfter(err), backlogRetryInterval)) {
			return
		}
	}
}

// dequeue waits for a claim in the backlog and removes the oldest. It returns
// nil when ctx ends.
func (c *Claimer) dequeue(ctx context.Context) *Claim {
	for {
		c.mu.Lock()
		if c.wake == nil {
			c.wake = make(chan struct{}, 1)
		}
		wake := c.wake
		if len(c.backlog) > 0 {
			l := c.backlog[0]
			c.backlog = c.backlog[1:]
			if len(c.backlog) > 0 {
				c.signal()
			}
			c.mu.Unlock()
			return l
		}
		c.mu.Unlock()
		select {
		case <-wake:
		case <-ctx.Done():
			return nil
		}
	}
}
