package keyvalue

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// This file defines the leases that remove old keys. A lease is never renewed
// and serves the keys of one epoch; it outlasts the epoch by the retention, so
// every key is kept at least that long.

// Granter creates leases.
type Granter interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
}

const (
	// epochLength is the time for which one lease is given to new keys.
	epochLength = time.Hour
	// epochMargin is the time by which a write may be late.
	epochMargin = time.Hour
)

// EpochLeases gives out leases for keys that are to be kept for Retention. All
// fields are required. It is safe for concurrent use.
type EpochLeases struct {
	Granter   Granter
	Now       func() time.Time
	Retention time.Duration

	// granting has room for the one call under way.
	once     sync.Once
	granting chan struct{}

	mu      sync.Mutex
	current EpochLease
}

// EpochLease is the lease of an epoch.
type EpochLease struct {
	ID      int64
	granted time.Time
	ttl     time.Duration
}

// Current returns the lease for new keys. Of concurrent calls one asks for a
// new lease, and the others wait for it.
func (l *EpochLeases) Current(ctx context.Context) (EpochLease, error) {
	if e, ok := l.fresh(); ok {
		return e, nil
	}
	l.once.Do(func() { l.granting = make(chan struct{}, 1) })
	select {
	case l.granting <- struct{}{}:
		defer func() { <-l.granting }()
	case <-ctx.Done():
		return EpochLease{}, &Error{Op: "grant lease", Kind: KindUnavailable, Err: errors.WithStack(ctx.Err())}
	}
	if e, ok := l.fresh(); ok {
		return e, nil
	}
	return l.grant(ctx)
}

// fresh returns the current lease, and whether its epoch lasts.
func (l *EpochLeases) fresh() (EpochLease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.current.ID != 0 && l.current.age(l.Now()) < epochLength
}

// grant begins an epoch. Its time is taken before the call, so that a lease is
// never thought younger than it is.
func (l *EpochLeases) grant(ctx context.Context) (EpochLease, error) {
	now := l.Now()
	ttl := l.Retention + epochLength + epochMargin
	id, err := l.Granter.Grant(ctx, ttl)
	if err != nil {
		return EpochLease{}, err
	}
	e := EpochLease{ID: id, granted: now, ttl: ttl}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = e
	return e, nil
}

// Kept reports whether a key that was written before time now is kept for the
// retention from then on.
func (l *EpochLeases) Kept(e EpochLease, now time.Time) bool {
	return e.age(now)+l.Retention <= e.ttl
}

// Drop forgets a lease that the service may not know any more.
func (l *EpochLeases) Drop(id int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.ID == id {
		l.current = EpochLease{}
	}
}

// age is the larger of the ages by the monotonic and by the wall clock: the
// first stops while a VM is suspended, the second can be set back.
func (e EpochLease) age(now time.Time) time.Duration {
	return max(now.Sub(e.granted), now.Round(0).Sub(e.granted.Round(0)))
}
