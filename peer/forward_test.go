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

// TestForwardLeavesTimeForRefusal checks that the owner's deadline comes
// before the forwarding daemon's. A refusal at the deadline would otherwise
// be too late, and the outcome would be unknown.
func TestForwardLeavesTimeForRefusal(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)
	q := &fescuelatch.Request{ID: "r1", Account: "daily", Deadline: now.Add(time.Second)}
	h, err := ForwardHeader(fleetkey.Keys{}, &caller.Call{Request: q}, "", now)
	c.Assert(err, qt.IsNil)
	var f forwarded
	c.Assert(json.Unmarshal([]byte(h.Get(headerForward)), &f), qt.IsNil)
	c.Assert(f.Remaining, qt.Equals, time.Second-returnMargin)
}
