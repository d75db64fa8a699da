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
	keyPrefix = "fescuelatch/session/"

	// DefaultRetention is the minimum time for which an idle session keeps
	// its version.
	DefaultRetention = 24 * time.Hour
	// DefaultCacheSize is the number of cached sessions.
	DefaultCacheSize = 50000
	// DefaultTimeout bounds a call whose context has no earlier deadline.
	DefaultTimeout = 2 * time.Second

	// clockTolerance is the clock difference that does not cause a write.
	clockTolerance = time.Minute

	defaultRetryAfter = 2 * time.Second
	retryDelay        = 20 * time.Millisecond
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
	return keyPrefix + string(s.Account) + "/" + hex.EncodeToString(h[:])
}

// binding is the value of a session's key.
type binding struct {
	Version fescuelatch.VersionID `json:"version"`
	// Bound is when the binding was last written.
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

// entry is a binding with its revision in the platform's key-value service.
type entry struct {
	binding
	revision int64
}

// Store binds sessions to versions. Submitter, Granter and Now are required.
// It is safe for concurrent use.
//
// A binding changes only by Rebind, which the caller uses when the version is
// withdrawn, so that a cached binding is served without a call until then. On a
// withdrawal the caller must Reread bindings in use and Forget the others.
type Store struct {
	Submitter keyvalue.Submitter
	Granter   keyvalue.Granter
	Now       func() time.Time
	// CommonTime returns the time that all daemons share, with which bindings
	// are dated; nil means Now.
	CommonTime func() time.Time
	Retention  time.Duration
	CacheSize  int
	Timeout    time.Duration

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
		// New fails only for a size that is not positive.
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

// Lookup returns the version that a session is bound to, empty if unbound.
// While the platform is unavailable, only cached bindings can be returned.
func (s *Store) Lookup(ctx context.Context, id Session) (fescuelatch.VersionID, error) {
	e, err := s.lookup(ctx, opLookup, id)
	return e.Version, err
}

// Reread returns the session's version from the platform, for use when the one
// from Lookup is withdrawn: another daemon may have rebound the session. The
// result is not cached, since it may change at any time.
func (s *Store) Reread(ctx context.Context, id Session) (fescuelatch.VersionID, error) {
	s.init()
	s.cache.Remove(id.key())
	e, err := s.lookup(ctx, opLookup, id)
	s.cache.Remove(id.key())
	return e.Version, err
}

// Forget drops the cached bindings to withdrawn versions, which other daemons
// may rebind.
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
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		res, err := s.Submitter.Submit(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Get: id.key()}}})
		if err != nil {
			return entry{}, unavailableError(op, err)
		}
		if e, err = s.cacheResult(op, id, res); err != nil {
			return entry{}, err
		}
	}
	if e.Version == "" || !s.needsRenewal(e.Bound) {
		return e, nil
	}
	return s.renew(ctx, id, e), nil
}

// needsRenewal reports whether a binding must be rewritten: half of its
// retention has passed, or its date is in the future.
func (s *Store) needsRenewal(bound time.Time) bool {
	age := s.commonTime().Sub(bound)
	return age >= s.retention()/2 || age < -clockTolerance
}

func (s *Store) commonTime() time.Time {
	if s.CommonTime == nil {
		return s.Now()
	}
	return s.CommonTime()
}

func (s *Store) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	d := s.Timeout
	if d == 0 {
		d = DefaultTimeout
	}
	return context.WithTimeout(ctx, d)
}

// cacheResult returns and caches the binding that a transaction read.
func (s *Store) cacheResult(op string, id Session, res fescuelatch.KVTxnResult) (entry, error) {
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

// renew rewrites a binding before its lease expires. On failure the binding is
// unchanged and the next lookup retries. If the key has another binding, renew
// returns that one.
func (s *Store) renew(ctx context.Context, id Session, e entry) entry {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	renewed, err := s.compareAndSwap(ctx, opLookup, id, e.Version, e.revision)
	if err != nil || renewed.Version == "" {
		return e
	}
	return renewed
}

// Bind binds a session to a version unless it is already bound, and returns
// the version that it is bound to. The first of concurrent calls wins.
func (s *Store) Bind(ctx context.Context, id Session, v fescuelatch.VersionID) (fescuelatch.VersionID, error) {
	if v == "" {
		return "", &Error{Op: opBind, Kind: KindInvalid, Err: errors.New("no version")}
	}
	e, err := s.lookupCached(opBind, id)
	if err != nil || e.Version != "" {
		return e.Version, err
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	e, err = s.compareAndSwap(ctx, opBind, id, v, 0)
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

// Rebind replaces the withdrawn version from by the version to. It returns the
// version that the session is bound to afterwards: to, or the one that another
// daemon rebound the session to first.
func (s *Store) Rebind(ctx context.Context, id Session, from, to fescuelatch.VersionID) (fescuelatch.VersionID, error) {
	if from == "" || to == "" || from == to {
		return "", &Error{Op: opRebind, Kind: KindInvalid, Err: errors.New("versions are empty or equal")}
	}
	e, err := s.lookup(ctx, opRebind, id)
	if err != nil {
		return "", err
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	// At most one failed swap is caused by a stale cache entry, each further
	// one by another writer of this session.
	for e.Version == from || e.Version == "" {
		if e, err = s.compareAndSwap(ctx, opRebind, id, to, e.revision); err != nil {
			return "", err
		}
	}
	return e.Version, nil
}

// compareAndSwap writes a binding if the key has the given revision, zero for
// none, and returns the binding that the key has afterwards. A write of unknown
// outcome is retried; the retry reads its own binding or the one that won.
func (s *Store) compareAndSwap(ctx context.Context, op string, id Session, v fescuelatch.VersionID, revision int64) (entry, error) {
	for {
		lease, err := s.leases.Current(ctx)
		if err != nil {
			return entry{}, unavailableError(op, err)
		}
		e := entry{binding: binding{Version: v, Bound: s.commonTime()}}
		res, err := s.Submitter.Submit(ctx, compareAndSwapTxn(id, e.binding, revision, lease.ID))
		switch {
		case err == nil && res.Succeeded:
			e.revision = res.Revision
			s.cache.Add(id.key(), e)
			return e, nil
		case err == nil:
			return s.cacheResult(op, id, res)
		case keyvalue.KindOf(err) == keyvalue.KindInvalid:
			s.leases.Discard(lease.ID)
		}
		if keyvalue.NoEffect(err) || !pause.For(ctx, retryDelay) {
			return entry{}, unavailableError(op, err)
		}
	}
}

func compareAndSwapTxn(id Session, b binding, revision, lease int64) fescuelatch.KVTxn {
	// Encoding of a binding cannot fail.
	value, _ := json.Marshal(b)
	return fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: id.key(), Revision: revision}},
		Then: []fescuelatch.KVOp{{Put: &fescuelatch.KVPut{Key: id.key(), Value: value, Lease: lease}}},
		Else: []fescuelatch.KVOp{{Get: id.key()}},
	}
}

func unavailableError(op string, err error) error {
	after := keyvalue.RetryAfter(err)
	if after == 0 {
		after = defaultRetryAfter
	}
	return &Error{Op: op, Kind: KindUnavailable, RetryAfter: after, Err: err}
}
