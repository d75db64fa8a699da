package keyvalue

import (
	"net/http"
	"sync"
	"time"
)

// This file defines the time that daemons have in common.

const (
	// clockTolerance is the difference between two clocks that is taken for
	// the delay of an answer and the rounding of its date.
	clockTolerance = 2 * time.Second
	// maxDateDelay is the duration of the longest call whose answer tells the
	// time.
	maxDateDelay = time.Second
	// dateRounding is the mean time that is cut off from a date.
	dateRounding = 500 * time.Millisecond
)

// Clock tells the time by the key-value service, which all daemons reach, from
// the dates of its answers. What outlives a daemon, or is compared with times
// of another one, goes by it, so that a VM whose clock is wrong, or stepped,
// breaks nothing. Between answers the monotonic clock counts. Before the first
// answer it tells the time that the VM had at the start. It is safe for
// concurrent use.
type Clock struct {
	start time.Time

	mu     sync.Mutex
	offset time.Duration // of the service's clock from the start and what has passed
}

// NewClock returns a clock that starts at a time of this process.
func NewClock(start time.Time) *Clock { return &Clock{start: start} }

// Now returns the common time.
func (c *Clock) Now() time.Time { return c.Common(time.Now()) }

// Common returns the common time at a time of this process.
func (c *Clock) Common(own time.Time) time.Time {
	return c.start.Round(0).Add(own.Sub(c.start) + c.ahead())
}

// Own returns the time of this process, with a monotonic reading if the start
// has one, at a common time.
func (c *Clock) Own(common time.Time) time.Time {
	return c.start.Add(common.Sub(c.start.Round(0)) - c.ahead())
}

func (c *Clock) ahead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset
}

// Answered takes in the time that the service told at a time of this process.
// A small difference changes nothing, so that the same time stays the same in
// all conversions.
func (c *Clock) Answered(own, service time.Time) {
	ahead := service.Sub(c.start.Round(0)) - own.Sub(c.start)
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := ahead - c.offset; d.Abs() > clockTolerance {
		c.offset = ahead
	}
}

// Observe takes in the date of an answer to a call that began at a time of
// this process.
func (c *Clock) Observe(began time.Time, h http.Header) {
	now := time.Now()
	if c == nil || now.Sub(began) > maxDateDelay {
		return
	}
	if date, err := http.ParseTime(h.Get("Date")); err == nil {
		c.Answered(now, date.Add(dateRounding))
	}
}
