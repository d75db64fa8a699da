package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/pause"
	"fescuelatch/keyvalue"
)

// This file defines how claims are acquired and looked up.

// State is the result of a claim for the request that made it.
type State string

// States of a claim.
const (
	// StateAcquired means that the request may be dispatched, once.
	StateAcquired State = "mine"
	// StateInProgress means that another arrival of the request holds the
	// claim and its deadline has not passed.
	StateInProgress State = "in-progress"
	// StateFinished means that the request has run; Answer is set.
	StateFinished State = "finished"
	// StateUnknown means that the request may have run.
	StateUnknown State = "unknown"
)

// Request identifies the request to be claimed.
type Request struct {
	Account fescuelatch.AccountID
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint is the digest of the request body.
	Fingerprint string
	// Claimant is unique to one arrival of the request at one daemon.
	Claimant string
	// Deadline is the deadline of the request. After it, repeats get
	// StateUnknown instead of StateInProgress; it has no other effect.
	Deadline time.Time
}

var _ json.Unmarshaler = (*record)(nil)

// Defaults of a Claimer.
const (
	DefaultRetention = 7 * 24 * time.Hour
	DefaultMaxAnswer = 64 << 10
	DefaultTimeout   = 2 * time.Second
	DefaultBacklog   = 10000

	// clockMargin allows for clock skew of callers and daemons.
	clockMargin   = time.Hour
	retryInterval = 20 * time.Millisecond
	// backlogRetryInterval passes between attempts while the platform is
	// unavailable.
	backlogRetryInterval = 500 * time.Millisecond
	backlogWorkers       = 8
	// defaultRetryAfter is used when the platform suggests no delay.
	defaultRetryAfter = 2 * time.Second
)

// Claimer acquires claims. Only Submitter, Granter and Now are required; it is
// safe for concurrent use. Abandoned claims are released only while Run is
// running.
type Claimer struct {
	Submitter keyvalue.Submitter
	Granter   keyvalue.Granter
	Now       func() time.Time
	// CommonTime returns the clock shared by the daemons, used for dated keys
	// and the deadlines of claims; nil means Now.
	CommonTime func() time.Time
	// Retention is the minimum time for which a claim is stored.
	Retention time.Duration
	// MaxAnswer is the largest answer body that is recorded, in bytes.
	MaxAnswer int
	// Timeout bounds Claim when its context has no earlier deadline.
	Timeout time.Duration
	// MaxBacklog bounds the queue of ends of claims to be written.
	MaxBacklog int

	mu      sync.Mutex
	leases  *keyvalue.EpochLeases
	backlog []*Claim
	wake    chan struct{}
	stats   Stats
}

// Stats holds the counters of a Claimer.
type Stats struct {
	Made     int64 `json:"made"`
	Repeats  int64 `json:"repeats"`
	NotMade  int64 `json:"not-made"`
	Released int64 `json:"released"`
	Finished int64 `json:"finished"`
	Waiting  int   `json:"waiting"`
	// Dropped counts ends of claims that did not fit the backlog. Repeats
	// of their requests get StateUnknown.
	Dropped int64 `json:"dropped"`
}

const (
	opClaim   = "claim"
	opFinish  = "finish"
	opRelease = "release"
)

// Claim claims the key of a request. The request may be dispatched only if the
// state of the result is StateAcquired. After any error, this arrival of the
// request has not been and will not be sent: "not run" is a true outcome of it.
func (c *Claimer) Claim(ctx context.Context, r Request) (*Claim, error) {
	if err := c.check(r); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.Timeout, DefaultTimeout))
	defer cancel()
	leases := c.epochLeases()
	lease, err := leases.Current(ctx)
	if err != nil {
		return nil, c.notMade(err)
	}
	l := &Claim{claimer: c, key: recordKey(r.Account, r.Key), lease: lease.ID}
	l.record = record{
		Claimant: r.Claimant, Status: statusClaimed, Fingerprint: r.Fingerprint,
		Created: c.commonTime(), Deadline: c.commonTime().Add(r.Deadline.Sub(c.Now())),
	}
	if err := c.acquire(ctx, l); err != nil {
		return nil, err
	}
	if l.State == StateAcquired && !leases.Covers(lease, c.Now()) {
		// After a long pause, the lease no longer covers the retention.
		l.abandon()
		return nil, c.notMade(errors.New("the lease of the claim is too old"))
	}
	// The platform's answer may have updated the common clock.
	if err := c.checkDate(r.Key); err != nil {
		if l.State == StateAcquired {
			l.abandon()
		}
		return nil, err
	}
	c.countClaim(l.State)
	return l, nil
}

// Find returns the state of an earlier request with the same key, or nil when
// the key is free. It does not write. A read whose reply is lost is repeated.
func (c *Claimer) Find(ctx context.Context, r Request) (*Claim, error) {
	if err := c.check(r); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.Timeout, DefaultTimeout))
	defer cancel()
	l := &Claim{claimer: c, key: recordKey(r.Account, r.Key)}
	l.record = record{Claimant: r.Claimant, Fingerprint: r.Fingerprint}
	res, err := c.read(ctx, l.key)
	if err != nil {
		return nil, c.notMade(err)
	}
	if _, _, err := c.examine(l, res); err != nil {
		return nil, err
	}
	// The platform's answer may have updated the common clock.
	if err := c.checkDate(r.Key); err != nil {
		return nil, err
	}
	if l.State == "" {
		return nil, nil //nolint:nilnil // The key is free.
	}
	return l, nil
}

func (c *Claimer) read(ctx context.Context, key string) (fescuelatch.KVTxnResult, error) {
	for {
		res, err := c.Submitter.Submit(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Get: key}}})
		if err == nil || keyvalue.NoEffect(err) || !pause.For(ctx, retryInterval) {
			return res, err
		}
	}
}

func (c *Claimer) check(r Request) error {
	if r.Account == "" || r.Key == "" || r.Claimant == "" || r.Fingerprint == "" {
		return &Error{Op: opClaim, Kind: KindInvalid, Err: errors.New("account, key, claimant or fingerprint is missing")}
	}
	return c.checkDate(r.Key)
}

// checkDate rejects a dated key whose claim may have expired, and one that may
// still be repeated after its claim has expired.
func (c *Claimer) checkDate(key string) error {
	t, ok := keyTime(key)
	if !ok {
		return nil
	}
	switch age := c.commonTime().Sub(t); {
	case age > c.retention()-clockMargin:
		return &Error{Op: opClaim, Kind: KindExpired, Err: errors.Errorf("the key is dated %s", t)}
	case age < -clockMargin:
		return &Error{Op: opClaim, Kind: KindPremature, Err: errors.Errorf("the key is dated %s", t)}
	}
	return nil
}

func (c *Claimer) commonTime() time.Time {
	if c.CommonTime == nil {
		return c.Now()
	}
	return c.CommonTime()
}

func (c *Claimer) epochLeases() *keyvalue.EpochLeases {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leases == nil {
		c.leases = &keyvalue.EpochLeases{Granter: c.Granter, Now: c.Now, Retention: c.retention()}
	}
	return c.leases
}

func (c *Claimer) retention() time.Duration { return orDefault(c.Retention, DefaultRetention) }

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

func (c *Claimer) notMade(err error) error {
	c.mu.Lock()
	c.stats.NotMade++
	c.mu.Unlock()
	after := orDefault(keyvalue.RetryAfter(err), defaultRetryAfter)
	return &Error{Op: opClaim, Kind: KindNotMade, RetryAfter: after, Err: err}
}

func (c *Claimer) countClaim(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == StateAcquired {
		c.stats.Made++
	} else {
		c.stats.Repeats++
	}
}

// Stats returns the counts so far.
func (c *Claimer) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Waiting = len(c.backlog)
	return s
}

// acquire writes the claim, or reads the record at its key. A write of unknown
// outcome is repeated: it either succeeds or finds the record of the first
// write or of another claimant.
func (c *Claimer) acquire(ctx context.Context, l *Claim) error {
	var revision int64 // of the released record to replace, or zero
	unknown := false
	for {
		res, err := c.Submitter.Submit(ctx, l.swapTxn(revision))
		switch {
		case err == nil && res.Succeeded:
			l.State, l.revision = StateAcquired, res.Revision
			return nil
		case err == nil:
			var done bool
			revision, done, err = c.examine(l, res)
			if done {
				return err
			}
			continue
		case keyvalue.KindOf(err) == keyvalue.KindInvalid:
			c.epochLeases().Discard(l.lease)
		}
		if keyvalue.NoEffect(err) && !unknown {
			return c.notMade(err)
		}
		unknown = unknown || !keyvalue.NoEffect(err)
		if !pause.For(ctx, retryInterval) {
			l.abandon()
			return c.notMade(err)
		}
	}
}

// examine evaluates the record that made the compare-and-swap fail. When the
// key is free, it returns the revision to replace (zero: absent) and false.
func (c *Claimer) examine(l *Claim, res fescuelatch.KVTxnResult) (int64, bool, error) {
	kv, ok := storedValue(res)
	if !ok {
		// The released record expired with its lease.
		return 0, false, nil
	}
	r, err := decode(kv)
	if err != nil {
		return 0, true, c.notMade(err)
	}
	switch {
	case r.Claimant == l.record.Claimant && r.Status == statusClaimed:
		l.State, l.revision = StateAcquired, kv.Revision
		return 0, true, nil
	case r.Status == statusReleased:
		return kv.Revision, false, nil
	case r.Fingerprint != l.record.Fingerprint:
		return 0, true, &Error{Op: opClaim, Kind: KindMismatch, Err: errors.New("the key was used for another request")}
	}
	l.State, l.Answer = stateOf(r, c.commonTime())
	l.Claimant = r.Claimant
	return 0, true, nil
}

// storedValue returns the value that was read, if any.
func storedValue(res fescuelatch.KVTxnResult) (fescuelatch.KeyValue, bool) {
	if len(res.Results) != 1 || len(res.Results[0].Values) != 1 {
		return fescuelatch.KeyValue{}, false
	}
	return res.Results[0].Values[0], true
}

// stateOf returns what a repeat gets from the record of another claimant.
func stateOf(r *record, now time.Time) (State, *Answer) {
	switch {
	case r.Status == statusFinished && r.Outcome == fescuelatch.OutcomeAnswered:
		return StateFinished, r.Answer
	case r.Status == statusClaimed && now.Before(r.Deadline):
		return StateInProgress, nil
	default:
		return StateUnknown, nil
	}
}
