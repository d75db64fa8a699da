package configstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/pause"
	"fescuelatch/keyvalue"
)

// This file defines how a change is proposed and how its outcome is determined
// when the response to the write is lost.

// Retry configures the backoff between repeated calls. The zero value selects
// the defaults.
type Retry struct {
	Initial time.Duration
	Max     time.Duration
}

const (
	defaultRetryInitial = 50 * time.Millisecond
	defaultRetryMax     = 2 * time.Second
)

func (r Retry) backOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = orDefault(r.Initial, defaultRetryInitial)
	b.MaxInterval = orDefault(r.Max, defaultRetryMax)
	b.Reset()
	return b
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// proposeTimeout limits Propose if its context has no earlier deadline.
const proposeTimeout = 30 * time.Second

// Propose proposes a change. If it returns no error, the change was accepted,
// by this call or by an earlier one, and the returned configuration is of its
// generation or a later one.
//
// A change belongs to one base. The identifier and the base together identify
// a repeated proposal.
func (s *Store) Propose(ctx context.Context, c *fescuelatch.Change) (*fescuelatch.Configuration, error) {
	if err := checkChange(c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p := proposal{store: s, change: c}
	return p.run(ctx)
}

func checkChange(c *fescuelatch.Change) error {
	var err error
	switch {
	case c.ID == "":
		err = errors.New("the change has no identifier")
	case c.Author == "":
		err = errors.New("the change has no author")
	case c.Empty():
		err = errors.New("the change alters nothing")
	default:
		return nil
	}
	return &Error{Op: opPropose, Kind: KindInvalid, Err: err}
}

// proposal is one call of Propose.
type proposal struct {
	store  *Store
	change *fescuelatch.Change
	// outcomeUnknown is set once a write may have taken effect or may still
	// do so. From then on only the stored data determines the outcome.
	outcomeUnknown bool
}

// run repeats the proposal until its outcome is known. Only a write with an
// unknown outcome is repeated: it may be delayed rather than lost, so absence
// of the change proves nothing, whereas a repeated write either succeeds or
// finds the generation taken.
func (p *proposal) run(ctx context.Context) (*fescuelatch.Configuration, error) {
	backOff := p.store.Retry.backOff()
	for {
		c, err := p.attempt(ctx)
		if err == nil {
			return c, nil
		}
		k := KindOf(err)
		if !p.outcomeUnknown || k == KindConflict || k == KindInvalid || k == KindCorrupt {
			return nil, err
		}
		if !pause.For(ctx, backOff.NextBackOff()) {
			return nil, &Error{Op: opPropose, Kind: KindUnknown, Err: err}
		}
	}
}

func (p *proposal) attempt(ctx context.Context) (*fescuelatch.Configuration, error) {
	current, revision, err := p.store.load(ctx)
	if err != nil {
		return nil, err
	}
	if p.change.Base < current.Generation {
		return p.resolve(ctx, current)
	}
	next, err := applyAndValidate(current, p.change)
	if err != nil {
		return nil, err
	}
	t, err := p.transaction(next, revision)
	if err != nil {
		return nil, &Error{Op: opPropose, Kind: KindInvalid, Err: err}
	}
	res, err := p.store.KV.Txn(ctx, t)
	switch {
	case err != nil:
		return nil, p.writeError(err)
	case !res.Succeeded:
		return p.resolve(ctx, current)
	}
	return next, nil
}

// writeError returns the error for a write that failed.
func (p *proposal) writeError(err error) error {
	e := &Error{Op: opPropose, Kind: KindUnavailable, RetryAfter: keyvalue.RetryAfter(err), Err: err}
	switch keyvalue.KindOf(err) {
	case keyvalue.KindUnknown:
		p.outcomeUnknown = true
		e.Kind = KindUnknown
	case keyvalue.KindInvalid:
		e.Kind = KindInvalid
	}
	return e
}

// resolve determines the outcome from the change stored for the generation.
func (p *proposal) resolve(ctx context.Context, current *fescuelatch.Configuration) (*fescuelatch.Configuration, error) {
	winner, err := p.store.change(ctx, opPropose, p.change.Generation())
	switch {
	case err != nil:
		// An earlier call with the same change may have succeeded.
		return nil, &Error{Op: opPropose, Kind: KindUnknown, Err: err}
	case winner != nil && winner.ID == p.change.ID:
		return p.acceptedConfiguration(ctx, current)
	case winner == nil && p.change.Generation() > current.Generation:
		// The head has changed since, or was read before the change was stored.
		p.outcomeUnknown = true
		return nil, &Error{Op: opPropose, Kind: KindUnknown, Err: errors.New("the winning change is not stored yet")}
	case winner == nil:
		return nil, &Error{Op: opPropose, Kind: KindUnknown, Err: errors.New("the base is older than the stored changes")}
	}
	return nil, &Error{Op: opPropose, Kind: KindConflict, Winner: winner}
}

// acceptedConfiguration returns a configuration that contains the change.
func (p *proposal) acceptedConfiguration(ctx context.Context, current *fescuelatch.Configuration) (*fescuelatch.Configuration, error) {
	if current.Generation >= p.change.Generation() {
		return current, nil
	}
	if next, err := current.Apply(p.change); err == nil {
		return next, nil
	}
	return p.store.Load(ctx)
}

// applyAndValidate returns the configuration that c produces, or an error if c
// is invalid.
func applyAndValidate(current *fescuelatch.Configuration, c *fescuelatch.Change) (*fescuelatch.Configuration, error) {
	next, err := current.Apply(c)
	if err != nil {
		return nil, &Error{Op: opPropose, Kind: KindInvalid, Err: err}
	}
	if faults := next.Validate(); len(faults) > 0 {
		return nil, &Error{Op: opPropose, Kind: KindInvalid, Faults: faults}
	}
	return next, nil
}

// transaction returns the transaction that accepts the change if the head is
// still at revision.
func (p *proposal) transaction(next *fescuelatch.Configuration, revision int64) (fescuelatch.KVTxn, error) {
	var t fescuelatch.KVTxn
	c := p.change
	h, err := json.Marshal(head{Generation: next.Generation, Digest: c.Digest, Change: c.ID})
	if err != nil {
		return t, errors.WithStack(err)
	}
	body, err := json.Marshal(c)
	if err != nil {
		return t, errors.WithStack(err)
	}
	g := next.Generation
	t.If = []fescuelatch.KVCompare{{Key: keyHead, Revision: revision}, {Key: changeKey(g)}}
	t.Then = []fescuelatch.KVOp{put(keyHead, h), put(changeKey(g), body)}
	if !storesFull(g) {
		return t, nil
	}
	full, err := encodeFull(next)
	if err != nil {
		return t, err
	}
	t.Then = append(t.Then, put(fullKey(g), full))
	t.Then = append(t.Then, prune(g, p.store.retain())...)
	return t, nil
}

func put(key string, value []byte) fescuelatch.KVOp {
	return fescuelatch.KVOp{Put: &fescuelatch.KVPut{Key: key, Value: value}}
}

// prune returns the deletions made when the full configuration of g is written:
// the oldest interval of changes and the full configuration before it.
func prune(g, retain fescuelatch.Generation) []fescuelatch.KVOp {
	if g <= retain {
		return nil
	}
	last := g - retain
	ops := make([]fescuelatch.KVOp, 0, fullInterval+1)
	for old := last - fullInterval + 1; old <= last; old++ {
		ops = append(ops, fescuelatch.KVOp{Delete: changeKey(old)})
	}
	before := last - fullInterval
	if before == 0 {
		before = 1
	}
	return append(ops, fescuelatch.KVOp{Delete: fullKey(before)})
}
