package claim

import (
	"context"
	"time"
)

// This file defines the platform leases that remove old claims. A lease is
// never renewed and serves the claims of one epoch; it outlasts the epoch by
// the retention, so every claim is kept at least that long.

// epochLength is the time for which one lease is given to new claims.
const epochLength = time.Hour

type epoch struct {
	id      int64
	granted time.Time
	ttl     time.Duration
}

// usable reports whether a claim made at time now is kept for the retention.
func (e epoch) usable(now time.Time, retention time.Duration) bool {
	// The monotonic clock stops while a VM is suspended and the wall clock
	// can be set back: the larger age counts.
	age := max(now.Sub(e.granted), now.Round(0).Sub(e.granted.Round(0)))
	return e.id != 0 && age >= 0 && age+retention <= e.ttl
}

// currentLease returns the lease for new claims. The time of the grant is
// taken before the call, so that the lease is never thought younger than it
// is.
func (c *Claimer) currentLease(ctx context.Context) (epoch, error) {
	c.mu.Lock()
	e := c.lease
	c.mu.Unlock()
	now := c.Now()
	if e.usable(now, c.retention()) && now.Sub(e.granted) < epochLength {
		return e, nil
	}
	ttl := c.retention() + epochLength + clockMargin
	id, err := c.Leases.Grant(ctx, ttl)
	if err != nil {
		return epoch{}, err
	}
	e = epoch{id: id, granted: now, ttl: ttl}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = e
	return e, nil
}

// dropLease forgets a lease that the platform may not know any more.
func (c *Claimer) dropLease(id int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.id == id {
		c.lease = epoch{}
	}
}
