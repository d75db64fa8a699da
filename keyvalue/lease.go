package keyvalue

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// This file defines the leases that expire old keys. A lease is never renewed
// and is used for the keys of one epoch. It outlasts the epoch by the retention
// period, so every key is kept at least that long.

// Granter creates leases.
type Granter interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
}

const (
	// epochLength is the time for which a lease is used for new keys.
	epochLength = time.Hour
	// maxWriteDelay is the maximum delay of a write after its epoch.
	maxWriteDelay = time.Hour
)

// EpochLeases provides leases for keys that must be kept for Retention. All
// fields are required. It is safe for concurrent use.
type EpochLeases struct {
	Granter   Granter
	Now       func() time.Time
	Retention time.Duration

	// granting is a semaphore that allows one call at a time.
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

// Current returns the lease for new keys. If a new lease is needed, one of
// several concurrent calls requests it and the others wait for it.
func (l *EpochLeases) Current(ctx context.Context) (EpochLease, error) {
	if e, ok := l.cached(); ok {
		return e, nil
	}
	l.once.Do(func() { l.granting = make(chan struct{}, 1) })
	select {
	case l.granting <- struct{}{}:
		defer func() { <-l.granting }()
	case <-ctx.Done():
		return EpochLease{}, &Error{Op: "grant lease", Kind: KindUnavailable, Err: errors.WithStack(ctx.Err())}
	}
	if e, ok := l.cached(); ok {
		return e, nil
	}
	return l.grant(ctx)
}

// cached returns the current lease and whether its epoch has not ended.
func (l *EpochLeases) cached() (EpochLease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.current.ID != 0 && l.current.age(l.Now()) < epochLength
}

// grant requests a lease for a new epoch. The time is read before the call, so
// that the age of a lease is never underestimated.
func (l *EpochLeases) grant(ctx context.Context) (EpochLease, error) {
	now := l.Now()
	ttl := l.Retention + epochLength + maxWriteDelay
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

// Covers reports whether a key with lease e that is written by time now is kept
// for the retention period from then on.
func (l *EpochLeases) Covers(e EpochLease, now time.Time) bool {
	return e.age(now)+l.Retention <= e.ttl
}

// Discard discards a lease that may no longer exist at the service.
func (l *EpochLeases) Discard(id int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.ID == id {
		l.current = EpochLease{}
	}
}

// age returns the larger of the ages by the monotonic and by the wall clock:
// the former stops while a VM is suspended, the latter can be set back.
func (e EpochLease) age(now time.Time) time.Duration {
	return max(now.Sub(e.granted), now.Round(0).Sub(e.granted.Round(0)))
}
