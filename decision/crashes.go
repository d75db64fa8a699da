package decision

import (
	"time"

	"fescuelatch/chart"
)

// This file keeps requests that crash endpoints from reaching any.

// maxCrashes is the number of endpoints that may crash during the attempts of a request,
// before its answer is under way, until it is not sent again.
const maxCrashes = 2

// maxEnded is the number of endpoints that may end during the attempts of a request, before
// its answer has lasted there, until it is not sent again.
const maxEnded = 3

// blocked reports whether q must not reach an endpoint, and the time until it may.
func (c *Core) blocked(now time.Time, q *request) (time.Duration, bool) {
	if c.options.Crashes == nil {
		return 0, false
	}
	return c.options.Crashes.Blocked(now, q.Request)
}

// mayCrashAnother reports whether q, whose last endpoint has crashed, may be sent to
// another one. The requests that ran there beside the cause may.
func (c *Core) mayCrashAnother(now time.Time, q *request) bool {
	return q.crashes < maxCrashes && q.ended < maxEnded && (c.options.Crashes == nil || c.options.Crashes.MayRepeat(now, q.Request))
}

// refuseBlocked refuses the queued requests that are blocked by now.
func (c *Core) refuseBlocked(now time.Time) {
	for _, q := range c.requests {
		if !q.current.queued {
			continue
		}
		if after, blocked := c.blocked(now, q); blocked {
			c.withdraw(now, q)
			c.fire(q, chart.EventPlan)
			c.refuse(q, ReasonBlocked, after)
		}
	}
}
