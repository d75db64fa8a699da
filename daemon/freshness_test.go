package daemon

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestFreshness(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name  string
		gap   time.Duration
		check bool
	}{
		{"tick", 20 * time.Millisecond, false},
		{"short pause", pausedAfter, false},
		{"pause", pausedAfter + 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var f freshness
			running, release := make(chan struct{}), make(chan struct{})
			check := func() { close(running); <-release }
			f.touch(start, check)
			f.touch(start.Add(test.gap), check)
			if !test.check {
				f.wait(context.Background())
				return
			}
			<-running
			f.touch(start.Add(2*test.gap), check) // a second check would close running again
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			f.wait(ctx)
			close(release)
			f.wait(context.Background())
			c.Assert(f.pending, qt.IsNil)
		})
	}
}
