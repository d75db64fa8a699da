package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBreaker(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)
	after := now.Add(claimBackoff)
	var b breaker
	c.Assert(b.allow(now), qt.IsTrue)
	c.Assert(b.allow(now), qt.IsTrue)
	b.failed(now)
	c.Assert(b.allow(now), qt.IsFalse)
	c.Assert(b.admit(now), qt.IsFalse)
	c.Assert(b.admit(after), qt.IsTrue)
	c.Assert(b.admit(after), qt.IsFalse)
	// One claim tests the platform; the others are refused meanwhile.
	c.Assert(b.allow(after), qt.IsTrue)
	c.Assert(b.allow(after), qt.IsFalse)
	b.undecided()
	c.Assert(b.allow(after), qt.IsTrue)
	b.failed(after)
	c.Assert(b.allow(after), qt.IsFalse)
	c.Assert(b.allow(after.Add(claimBackoff)), qt.IsTrue)
	// The retry delay grows with the length of the outage.
	for _, test := range []struct{ away, want time.Duration }{
		{0, claimBackoff}, {3 * time.Second, 3 * time.Second}, {time.Minute, maxOutageRetryAfter},
	} {
		c.Check(b.retryAfter(now.Add(test.away)), qt.Equals, test.want)
	}
	b.succeeded()
	c.Assert(b.retryAfter(after.Add(time.Minute)), qt.Equals, claimBackoff)
	c.Assert(b.allow(after), qt.IsTrue)
	c.Assert(b.allow(after), qt.IsTrue)
}
