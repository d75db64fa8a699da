package permit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/permit"
)

// This file tests what holders report to allocators.

// TestLimitChangedDuringRequest guards against a change that is never reported because
// it was observed while a request was on its way.
func TestLimitChangedDuringRequest(t *testing.T) {
	c := qt.New(t)
	limited := fescuelatch.RateLimit{Limited: true, PerSecond: 1}
	h := permit.NewHolder()
	h.Observe(epoch, fescuelatch.LimitStatement{Limit: limited, At: epoch})
	q, due := h.Due(epoch)
	c.Assert(due, qt.IsTrue)
	c.Check(q.Limit, qt.Equals, limited)
	now := epoch.Add(20 * time.Millisecond)
	c.Check(h.Observe(now, fescuelatch.LimitStatement{At: now}), qt.IsTrue)
	h.Granted(now, epoch, permit.Reply{Limit: limited, Age: 20 * time.Millisecond}, 0)
	c.Check(h.Limit().Limited, qt.IsFalse)
	c.Check(h.Idle(), qt.IsFalse)
	q, due = h.Due(now.Add(time.Second))
	c.Assert(due, qt.IsTrue)
	c.Check(q.Limit, qt.Equals, fescuelatch.RateLimit{})
}
