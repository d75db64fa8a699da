package decision

import (
	"sort"
	"time"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines what becomes of attempts that wait at the own gate while
// other daemons have capacity: an endpoint may have turned cold, or have come
// to a new owner that may not use it yet, since the attempt was placed.

const (
	// moveAfter is how long an attempt waits before it is placed elsewhere,
	// if there is spare capacity.
	moveAfter = 150 * time.Millisecond
	// moveInterval is that of looking for such attempts.
	moveInterval = 50 * time.Millisecond
)

// moveQueued places attempts elsewhere that have waited too long. They go in
// the order in which they arrived.
func (c *Core) moveQueued(now time.Time) {
	if c.view == nil || now.Before(c.nextMove) {
		return
	}
	c.nextMove = now.Add(moveInterval)
	var waiting []*request
	for _, q := range c.requests {
		if q.current.queued && now.Sub(q.queuedAt) >= moveAfter {
			waiting = append(waiting, q)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		a, b := waiting[i], waiting[j]
		if !a.queuedAt.Equal(b.queuedAt) {
			return a.queuedAt.Before(b.queuedAt)
		}
		return a.ID < b.ID
	})
	for _, q := range waiting {
		if !q.current.queued {
			continue
		}
		if q.Forwarded {
			c.giveBack(now, q)
		} else {
			c.moveElsewhere(now, q)
		}
	}
}

// giveBack refuses a forwarded attempt whose sender has other spots for it.
func (c *Core) giveBack(now time.Time, q *request) {
	if q.Patience == 0 || now.Sub(q.queuedAt) < q.Patience {
		return
	}
	c.withdraw(now, q)
	c.fire(q, chart.EventPlan)
	c.refuse(q, ReasonNoCapacity, defaultRetryAfter)
}

// moveElsewhere forwards an attempt to a daemon with spare capacity, if there is one.
func (c *Core) moveElsewhere(now time.Time, q *request) {
	if q.attempts >= maxAttempts || !c.usable(q) {
		return
	}
	spots := withSpare(c.spots(now, q))
	if len(spots) == 0 {
		return
	}
	i := c.options.Placement.Choose(now, q.Request, spots, c.options.Random.Float64())
	if i < 0 {
		return
	}
	c.withdraw(now, q)
	c.fire(q, chart.EventPlan)
	c.attempt(now, q, spots[i], len(spots) > 1)
}

// withSpare returns the spots at other daemons that have capacity to spare.
func withSpare(spots []fescuelatch.Spot) []fescuelatch.Spot {
	var free []fescuelatch.Spot
	for _, s := range spots {
		if !s.Own && s.Spare > s.Sent {
			free = append(free, s)
		}
	}
	return free
}
