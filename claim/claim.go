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

// This file defines a claim and how it ends.

// Claim is the result of Claimer.Claim.
type Claim struct {
	State State
	// Answer is set with StateFinished.
	Answer *Answer

	claimer  *Claimer
	key      string
	lease    int64
	revision int64
	// record is what the key holds, or is to hold, for this claimant.
	record record

	mu         sync.Mutex
	dispatched bool
	ended      bool
}

// Dispatch reports whether the request may be sent now. It does so once, and
// only for a claim of StateMine that has not ended. NotStarted allows another
// dispatch.
func (l *Claim) Dispatch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.State != StateMine || l.dispatched || l.ended {
		return false
	}
	l.dispatched = true
	return true
}

// Finish records the outcome of a dispatched request. The answer may reach
// the caller before it. When the platform is away it reports KindPending and
// Run goes on.
func (l *Claim) Finish(ctx context.Context, o fescuelatch.Outcome, a *Answer) error {
	if err := checkOutcome(o); err != nil {
		return &Error{Op: opFinish, Kind: KindInvalid, Err: err}
	}
	if !l.end(true) {
		return &Error{Op: opFinish, Kind: KindInvalid, Err: errors.New("the claim was not dispatched or has ended")}
	}
	l.record.Status = statusFinished
	l.record.Outcome = o
	l.record.Answer = l.claimer.limit(a)
	return l.conclude(ctx, opFinish)
}

// Release gives up a claim for which nothing has been sent, so that a repeat
// of the request may claim again. Dispatch returns false from then on.
func (l *Claim) Release(ctx context.Context) error {
	if l.State != StateMine || !l.end(false) {
		return &Error{Op: opRelease, Kind: KindInvalid, Err: errors.New("the claim is not held, was dispatched or has ended")}
	}
	l.record.Status = statusReleased
	return l.conclude(ctx, opRelease)
}

// NotStarted records that the dispatch certainly did not reach an endpoint,
// or that the endpoint said that it did not run the request. The claim may
// then be dispatched again or released.
func (l *Claim) NotStarted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatched = false
}

// end marks the claim as ended. It reports false when it has ended before or
// was not dispatched as required.
func (l *Claim) end(dispatched bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.dispatched != dispatched {
		return false
	}
	l.ended = true
	return true
}

// giveUp releases, in Run, a claim of which it is not known whether it was
// written.
func (l *Claim) giveUp() {
	l.end(false)
	l.record.Status = statusReleased
	l.claimer.postpone(l)
}

func (c *Claimer) limit(a *Answer) *Answer {
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

// conclude writes the end of the claim, or leaves it to Run.
func (l *Claim) conclude(ctx context.Context, op string) error {
	done, err := l.write(ctx)
	if done {
		return nil
	}
	l.claimer.postpone(l)
	return &Error{Op: op, Kind: KindPending, Err: err}
}

// write brings the record to the platform and reports whether nothing is left
// to do. It may be repeated.
func (l *Claim) write(ctx context.Context) (bool, error) {
	for {
		res, err := l.claimer.Submitter.Submit(ctx, l.swap(l.revision))
		if err != nil {
			return false, err
		}
		if res.Succeeded {
			l.claimer.ended(l.record.Status)
			return true, nil
		}
		if again := l.reconsider(res); !again {
			return true, nil
		}
	}
}

// reconsider reports whether the end of the claim is still to be written
// over the record that was found, at the revision that it sets.
func (l *Claim) reconsider(res fescuelatch.KVTxnResult) bool {
	kv, ok := found(res)
	if !ok {
		// Absent: either never written or expired. A released record must be
		// put in place, as the write may be late. The claim of a finished
		// one was there, so it has expired.
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
	// A released record of another claimant is written again, so that a late
	// write that expects its revision fails.
	return r.Status == statusReleased && l.record.Status == statusReleased
}

// swap returns the transaction that puts the claim's record in place of the
// revision, or of no record when it is zero, and else reads the key.
func (l *Claim) swap(revision int64) fescuelatch.KVTxn {
	// Encoding of a record cannot fail.
	value, _ := json.Marshal(l.record)
	return fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: l.key, Revision: revision}},
		Then: []fescuelatch.KVOp{{Put: &fescuelatch.KVPut{Key: l.key, Value: value, Lease: l.lease}}},
		Else: []fescuelatch.KVOp{{Get: l.key}},
	}
}

func (c *Claimer) ended(s status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == statusReleased {
		c.stats.Released++
	} else {
		c.stats.Finished++
	}
}

// postpone leaves the end of a claim to Run.
func (c *Claimer) postpone(l *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.Backlog
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

// signal wakes one worker of Run. The lock is held.
func (c *Claimer) signal() {
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run writes the ends of claims that could not be written at once, until ctx
// ends. Those that it has not written by then leave their keys claimed.
func (c *Claimer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range backlogWorkers {
		wg.Go(func() { c.drain(ctx) })
	}
	wg.Wait()
}

func (c *Claimer) drain(ctx context.Context) {
	for {
		l := c.next(ctx)
		if l == nil {
			return
		}
		done, err := l.write(ctx)
		if done {
			continue
		}
		c.postpone(l)
		if !pause.For(ctx, max(keyvalue.RetryAfter(err), backlogPause)) {
			return
		}
	}
}

// next removes and returns the oldest claim of the backlog.
func (c *Claimer) next(ctx context.Context) *Claim {
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
