package intake

import (
	"context"
	"net/http"
	"time"

	"fescuelatch/internal/pause"
)

// This file defines the limits on heads and on idle connections that a deployment states.

const (
	// limitInterval is the interval of checks for connections that exceed a time. One is closed
	// at the second check that finds it so, as its bytes may wait to be read after a pause of
	// the process.
	limitInterval = 250 * time.Millisecond
	// headSlop is what may follow a head in the read that ends it.
	headSlop = 4 << 10
)

// Limits bound heads and idle connections.
type Limits struct {
	// HeadBytes is the maximum size of a head.
	HeadBytes int
	// HeadTime bounds the time from the first byte of a head to its last one, and IdleTime that
	// without a request.
	HeadTime, IdleTime time.Duration
}

// SetLimits makes the connections keep the limits that a function returns, which may change. It is
// called before the server starts, whose own limits must be larger or none.
func (cs *Connections) SetLimits(limits func() Limits) { cs.limits = limits }

// KeepTimes closes connections that exceed a time until ctx ends.
func (cs *Connections) KeepTimes(ctx context.Context) {
	for pause.For(ctx, limitInterval) {
		cs.closeOverdue(time.Now())
	}
}

func (cs *Connections) closeOverdue(now time.Time) {
	limits := cs.limits()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		since, overdue := c.overdue(now, limits)
		if overdue && c.overdueSince == since {
			// An error means that it has ended already.
			_ = c.SetReadDeadline(pastDeadline)
		}
		c.overdueSince = 0
		if overdue {
			c.overdueSince = since
		}
	}
}

// pastDeadline makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// overdue reports whether a connection without a request exceeds a time, and since when it is in its
// state.
func (c *connection) overdue(now time.Time, limits Limits) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.since.Load()
	if s := http.ConnState(c.state.Load()); s != http.StateNew && s != http.StateIdle {
		return since, false
	}
	limit := limits.IdleTime
	if c.headLength > 0 {
		limit = limits.HeadTime
	}
	return since, now.UnixNano()-since > int64(limit)
}
