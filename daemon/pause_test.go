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
		{"short pause", pauseThreshold, false},
		{"pause", pauseThreshold + 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var p pauseDetector
			running, release := make(chan struct{}), make(chan struct{})
			check := func() { close(running); <-release }
			p.touch(start, check)
			p.touch(start.Add(test.gap), check)
			if !test.check {
				p.wait(context.Background())
				return
			}
			<-running
			p.touch(start.Add(2*test.gap), check) // a second check would close running again
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			p.wait(ctx)
			close(release)
			p.wait(context.Background())
			c.Assert(p.pending, qt.IsNil)
		})
	}
}
