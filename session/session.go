package session

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/pause"
	"fescuelatch/keyvalue"
)

// This file defines the bindings of sessions to versions.

const (
	prefix = "fescuelatch/session/"

	// DefaultRetention is the time for which an idle session keeps its
	// version at least.
	DefaultRetention = 24 * time.Hour
	// DefaultCacheSize is a number of sessions.
	DefaultCacheSize = 50000
	// DefaultMaxTime bounds a call whose context has no earlier deadline.
	DefaultMaxTime = 2 * time.Second

	// clockMargin is the difference of clocks that is no cause for a write.
	clockMargin = time.Minute

	defaultRetryAfter = 2 * time.Second
	retryPause        = 20 * time.Millisecond
)

const (
	opLookup = "look up"
	opBind   = "bind"
	opRebind = "rebind"
)

// Session identifies a session of a client account.
type Session struct {
	Account fescuelatch.AccountID
	ID      string
}

func (s Session) key() string {
	h := sha256.Sum256([]byte(s.ID))
	return prefix + string(s.Account) + "/" + hex.EncodeToString(h[:])
}

// binding is the value of a session's key.
type binding struct {
	Version fescuelatch.VersionID `json:"version"`
	// Bound is when the binding was written last.
	Bound time.Time `json:"bound"`
}

var _ json.Unmarshaler = (*binding)(nil)

// UnmarshalJSON implements json.Unmarshaler and checks the decoded binding.
func (b *binding) UnmarshalJSON(data []byte) error {
	type plain binding
	if err := json.Unmarshal(data, (*plain)(b)); err != nil {
		return err
	}
	if b.Version == "" {
		return errors.New("session is bound to no version")
	}
	return nil
}

// entry is a binding with its revision at the platform.
type entry struct {
	binding
	revision int64
}

// Store binds sessions to versions. Submitter, Granter and Now are required.
// It is safe for concurrent use.
//
// A binding changes only by Rebind, for which the caller has a withdrawn
// version as its reason, so that a cached one is served without a call until
// its version is withdrawn: then the caller must Reread it, and Forget those
// that are not in use.
type Store struct {
	Submitter keyvalue.Submitter
	Granter   keyvalue.Granter
	Now       func() time.Time
	// Common tells the time that daemons have in common, by which bindings
	// are dated; nil means Now.
	Common    func() time.Time
	Retention time.Duration
	CacheSize int
	MaxTime   time.Duration

	once   sync.Once
	cache  *lru.Cache[string, entry]
	leases *keyvalue.EpochLeases
}

func (s *Store) init() {
	s.once.Do(func() {
		size := s.CacheSize
		if size <= 0 {
			size = DefaultCacheSize
		}
		// A positive size is all that it takes.
		s.cache, _ = lru.New[string, entry](size)
		s.leases = &keyvalue.EpochLeases{Granter: s.Granter, Now: s.Now, Retention: s.retention()}
	})
}

func (s *Store) retention() time.Duration {
	if s.Retention == 0 {
		return DefaultRetention
	}
	return s.Retention
}

// Lookup returns the version that a session is bound to, empty when it is not
// bound. Without the platform only cached bindings can be told.
func (s *Store) Lookup(ctx context.Context, id Session) (fescuelatch.VersionID, error) {
	e, err := s.lookup(ctx, opLookup, id)
	return e.Version, err
}

// Reread returns the version that a session is bound to at the platform now,
// when the one that Lookup told is withdrawn: another daemon may have rebound
// the session. It caches nothing, since that may change at any time.
func (s *Store) Reread(ctx context.Context, id Session) (fescuelatch.VersionID, error) {
	s.init()
	s.cache.Remove(id.key())
	e, err := s.lookup(ctx, opLookup, id)
	s.cache.Remove(id.key())
	return e.Version, err
}

// Forget drops the cached bindings to versions that are withdrawn, and that
// other daemons may rebind.
func (s *Store) Forget(withdrawn func(fescuelatch.VersionID) bool) {
	s.init()
	for _, k := range s.cache.Keys() {
		if e, ok := s.cache.Peek(k); ok && withdrawn(e.Version) {
			s.cache.Remove(k)
		}
	}
}

func (s *Store) lookup(ctx context.Context, op string, id Session) (entry, error) {
	s.init()
	if id.Account == "" || id.ID == "" {
		return entry{}, &Error{Op: op, Kind: KindInvalid, Err: errors.New("no account or identifier")}
	}
	e, ok := s.cache.Get(id.key())
	if !ok {
		ctx, cancel := s.bounded(ctx)
		defer cancel()
		res, err := s.Submitter.Submit(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Get: id.key()}}})
		if err != nil {
			return entry{}, unavailable(op, err)
		}
		if e, err = s.found(op, id, res); err != nil {
			return entry{}, err
		}
	}
	if e.Version == "" || !s.due(e.Bound) {
		return e, nil
	}
	return s.renew(ctx, id, e), nil
}

// due reports whether a binding is to be written again: half of its time has
// passed, or its date is wrong.
func (s *Store) due(bound time.Time) bool {
	age := s.common().Sub(bound)
	return age >= s.retention()/2 || age < -clockMargin
}

func (s *Store) common() time.Time {
	if s.Common == nil {
		return s.Now()
	}
	return s.Common()
}

func (s *Store) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	d := s.MaxTime
	if d == 0 {
		d = DefaultMaxTime
	}
	return context.WithTimeout(ctx, d)
}

// found returns the binding that was read, and caches it.
func (s *Store) found(op string, id Session, res fescuelatch.KVTxnResult) (entry, error) {
	if len(res.Results) != 1 || len(res.Results[0].Values) != 1 {
		return entry{}, nil
	}
	kv := res.Results[0].Values[0]
	e := entry{revision: kv.Revision}
	if err := json.Unmarshal(kv.Value, &e.binding); err != nil {
		return entry{}, &Error{Op: op, Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	s.cache.Add(id.key(), e)
	return e, nil
}

// renew writes a binding again before its lease ends. A failure leaves it as
// it is; the next look-up tries again. What is found in its place counts.
func (s *Store) renew(ctx context.Context, id Session, e entry) entry {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	renewed, err := s.swap(ctx, opLookup, id, e.Version, e.revision)
	if err != nil || renewed.Version == "" {
		return e
	}
	return renewed
}

// Bind binds a session to a version unless it is bound already, and returns
// the version that it is bound to. The first of racing calls wins.
func (s *Store) Bind(ctx context.Context, id Session, v fescuelatch.VersionID) (fescuelatch.VersionID, error) {
	if v == "" {
		return "", &Error{Op: opBind, Kind: KindInvalid, Err: errors.New("no version")}
	}
	e, err := s.lookupCached(opBind, id)
	if err != nil || e.Version != "" {
		return e.Version, err
	}
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	e, err = s.swap(ctx, opBind, id, v, 0)
	return e.Version, err
}

func (s *Store) lookupCached(op string, id Session) (entry, error) {
	s.init()
	if id.Account == "" || id.ID == "" {
		return entry{}, &Error{Op: op, Kind: KindInvalid, Err: errors.New("no account or identifier")}
	}
	e, _ := s.cache.Get(id.key())
	return e, nil
}

// Rebind replaces the version from, which is withdrawn, by the version to. It
// returns the version that the session is bound to afterwards: that of another
// daemon that has rebound the session first, or to.
func (s *Store) Rebind(ctx context.Context, id Session, from, to fescuelatch.VersionID) (fescuelatch.VersionID, error) {
	if from == "" || to == "" || from == to {
		return "", &Error{Op: opRebind, Kind: KindInvalid, Err: errors.New("no other version")}
	}
	e, err := s.lookup(ctx, opRebind, id)
	if err != nil {
		return "", err
	}
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	// At most one failed swap is due to a stale cache, each further one to
	// another writer of this session.
	for e.Version == from || e.Version == "" {
		if e, err = s.swap(ctx, opRebind, id, to, e.revision); err != nil {
			return "", err
		}
	}
	return e.Version, nil
}

// swap writes a binding in place of the revision, zero for none, and returns
// the binding that the key has afterwards. A write of unknown outcome is
// repeated: it finds itself, or what has won.
func (s *Store) swap(ctx context.Context, op string, id Session, v fescuelatch.VersionID, revision int64) (entry, error) {
	for {
		lease, err := s.leases.Current(ctx)
		if err != nil {
			return entry{}, unavailable(op, err)
		}
		e := entry{binding: binding{Version: v, Bound: s.common()}}
		res, err := s.Submitter.Submit(ctx, swapTxn(id, e.binding, revision, lease.ID))
		switch {
		case err == nil && res.Succeeded:
			e.revision = res.Revision
			s.cache.Add(id.key(), e)
			return e, nil
		case err == nil:
			return s.found(op, id, res)
		case keyvalue.KindOf(err) == keyvalue.KindInvalid:
			s.leases.Drop(lease.ID)
		}
		if keyvalue.NoEffect(err) || !pause.For(ctx, retryPause) {
			return entry{}, unavailable(op, err)
		}
	}
}

func swapTxn(id Session, b binding, revision, lease int64) fescuelatch.KVTxn {
	// Encoding of a binding cannot fail.
	value, _ := json.Marshal(b)
	return fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: id.key(), Revision: revision}},
		Then: []fescuelatch.KVOp{{Put: &fescuelatch.KVPut{Key: id.key(), Value: value, Lease: lease}}},
		Else: []fescuelatch.KVOp{{Get: id.key()}},
	}
}

func unavailable(op string, err error) error {
	after := keyvalue.RetryAfter(err)
	if after == 0 {
		after = defaultRetryAfter
	}
	return &Error{Op: op, Kind: KindUnavailable, RetryAfter: after, Err: err}
}
