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

// This file defines how a change is proposed and how its outcome is decided
// when the answer to the write is lost.

// Retry paces repeated calls. Its zero value means the defaults.
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

// maxProposeTime bounds Propose when its context has no earlier deadline.
const maxProposeTime = 30 * time.Second

// Propose asks for a change to come into force. When it returns no error the
// change was accepted, now or by an earlier call with the same change, and
// the configuration returned is that of its generation or of a later one.
//
// A change belongs to one base: the identifier together with the base tells
// a repeated proposal from another one.
func (s *Store) Propose(ctx context.Context, c *fescuelatch.Change) (*fescuelatch.Configuration, error) {
	if err := checkChange(c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxProposeTime)
	defer cancel()
	p := proposal{store: s, change: c}
	return p.decide(ctx)
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
	// unknown is set once a write may have taken effect, or may yet. From
	// then on only what is stored decides.
	unknown bool
}

// decide repeats the proposal until its outcome is known. Only an unknown
// write makes it repeat: the write may be late rather than lost, so that
// absence of the change proves nothing, whereas a repeated write either
// succeeds or finds the generation taken.
func (p *proposal) decide(ctx context.Context) (*fescuelatch.Configuration, error) {
	backOff := p.store.Retry.backOff()
	for {
		c, err := p.try(ctx)
		if err == nil {
			return c, nil
		}
		k := KindOf(err)
		if !p.unknown || k == KindConflict || k == KindInvalid || k == KindCorrupt {
			return nil, err
		}
		if !pause.For(ctx, backOff.NextBackOff()) {
			return nil, &Error{Op: opPropose, Kind: KindUnknown, Err: err}
		}
	}
}

func (p *proposal) try(ctx context.Context) (*fescuelatch.Configuration, error) {
	now, revision, err := p.store.load(ctx)
	if err != nil {
		return nil, err
	}
	if p.change.Base < now.Generation {
		return p.lookUp(ctx, now)
	}
	next, err := prepare(now, p.change)
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
		return nil, p.unwritten(err)
	case !res.Succeeded:
		return p.lookUp(ctx, now)
	}
	return next, nil
}

// unwritten returns the error for a write that failed.
func (p *proposal) unwritten(err error) error {
	e := &Error{Op: opPropose, Kind: KindUnavailable, RetryAfter: keyvalue.RetryAfter(err), Err: err}
	switch keyvalue.KindOf(err) {
	case keyvalue.KindUnknown:
		p.unknown = true
		e.Kind = KindUnknown
	case keyvalue.KindInvalid:
		e.Kind = KindInvalid
	}
	return e
}

// lookUp decides from the change that took the generation.
func (p *proposal) lookUp(ctx context.Context, now *fescuelatch.Configuration) (*fescuelatch.Configuration, error) {
	won, err := p.store.change(ctx, opPropose, p.change.Generation())
	switch {
	case err != nil:
		// Nothing is known of an earlier call with the same change.
		return nil, &Error{Op: opPropose, Kind: KindUnknown, Err: err}
	case won != nil && won.ID == p.change.ID:
		return p.accepted(ctx, now)
	case won == nil && p.change.Generation() > now.Generation:
		// The head has moved since, or was read before its change.
		p.unknown = true
		return nil, &Error{Op: opPropose, Kind: KindUnknown, Err: errors.New("the winning change is not stored yet")}
	case won == nil:
		return nil, &Error{Op: opPropose, Kind: KindUnknown, Err: errors.New("the base is older than the stored changes")}
	}
	return nil, &Error{Op: opPropose, Kind: KindConflict, Winner: won}
}

// accepted returns a configuration that has the change in it.
func (p *proposal) accepted(ctx context.Context, now *fescuelatch.Configuration) (*fescuelatch.Configuration, error) {
	if now.Generation >= p.change.Generation() {
		return now, nil
	}
	if next, err := now.Apply(p.change); err == nil {
		return next, nil
	}
	return p.store.Load(ctx)
}

// prepare returns the configuration that c leads to, or why it is refused.
func prepare(now *fescuelatch.Configuration, c *fescuelatch.Change) (*fescuelatch.Configuration, error) {
	next, err := now.Apply(c)
	if err != nil {
		return nil, &Error{Op: opPropose, Kind: KindInvalid, Err: err}
	}
	if faults := next.Validate(); len(faults) > 0 {
		return nil, &Error{Op: opPropose, Kind: KindInvalid, Faults: faults}
	}
	return next, nil
}

// transaction returns the step that accepts the change if the head is still
// at revision.
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

// prune returns the deletions that go with the full configuration of g: the
// oldest retained interval of changes, and the full configuration before it.
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
