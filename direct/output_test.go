package direct

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// This file tests the log attributes of a stream.

func TestStreamTiming(t *testing.T) {
	c := qt.New(t)
	var p streamTiming
	c.Check(p.logAttributes(), qt.HasLen, 0)
	for _, at := range []time.Duration{200, 300, 900, 1000} {
		p.record(epoch.Add(at*time.Millisecond), epoch)
	}
	c.Check(p.logAttributes(), qt.DeepEquals, []any{"first", "200ms", "longest-gap", "600ms"})
}
