package peer

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/fleetkey"
)

// TestForwardLeavesTimeForRefusal checks that the owner's deadline is earlier
// than the forwarding daemon's. Otherwise a refusal at the deadline arrives too
// late and leaves the outcome unknown.
func TestForwardLeavesTimeForRefusal(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)
	q := &fescuelatch.Request{ID: "r1", Account: "daily", Deadline: now.Add(time.Second)}
	h, err := ForwardHeader(fleetkey.Keys{}, &caller.Call{Request: q}, "", now)
	c.Assert(err, qt.IsNil)
	var f forwardedRequest
	c.Assert(json.Unmarshal([]byte(h.Get(headerForward)), &f), qt.IsNil)
	c.Assert(f.Remaining, qt.Equals, time.Second-returnMargin)
}
