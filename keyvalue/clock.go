package keyvalue

import (
	"net/http"
	"sync"
	"time"
)

// This file defines the clock that daemons share through the service.

const (
	// clockTolerance is the clock difference that is attributed to the delay
	// of a response and the rounding of its date.
	clockTolerance = 2 * time.Second
	// maxDateDelay is the maximum duration of a call whose response is used to
	// set the clock.
	maxDateDelay = time.Second
	// dateRounding is the mean error of a date truncated to a second.
	dateRounding = 500 * time.Millisecond
)

// Clock follows the clock of the key-value service, which is common to all
// daemons, by the dates of its responses. Times that outlive a daemon or are
// compared with those of another use it, so that a wrong or stepped VM clock
// does no harm. Between responses it follows the monotonic clock, and before
// the first one the VM's clock as of the start. It is safe for concurrent use.
type Clock struct {
	start time.Time

	mu     sync.Mutex
	offset time.Duration // service's clock minus (start + elapsed time)
}

// NewClock returns a clock with the given local start time.
func NewClock(start time.Time) *Clock { return &Clock{start: start} }

// Now returns the common time.
func (c *Clock) Now() time.Time { return c.ToCommon(time.Now()) }

// ToCommon converts a local time of this process to common time.
func (c *Clock) ToCommon(own time.Time) time.Time {
	return c.start.Round(0).Add(own.Sub(c.start) + c.currentOffset())
}

// ToLocal converts a common time to the local time of this process. The result has
// a monotonic reading if the start time has one.
func (c *Clock) ToLocal(common time.Time) time.Time {
	return c.start.Add(common.Sub(c.start.Round(0)) - c.currentOffset())
}

func (c *Clock) currentOffset() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset
}

// Synchronize sets the clock from the service's time at a local time of this
// process. A difference up to clockTolerance is ignored, so that conversions of
// the same time stay consistent.
func (c *Clock) Synchronize(own, service time.Time) {
	offset := service.Sub(c.start.Round(0)) - own.Sub(c.start)
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := offset - c.offset; d.Abs() > clockTolerance {
		c.offset = offset
	}
}

// Observe sets the clock from the Date header of the response to a call that
// began at the given local time.
func (c *Clock) Observe(began time.Time, h http.Header) {
	now := time.Now()
	if c == nil || now.Sub(began) > maxDateDelay {
		return
	}
	if date, err := http.ParseTime(h.Get("Date")); err == nil {
		c.Synchronize(now, date.Add(dateRounding))
	}
}
