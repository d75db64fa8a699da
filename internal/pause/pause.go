// Package pause implements a sleep that a context can cancel.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether d elapsed before ctx was done. If d is not
// positive, it returns at once and reports whether ctx is not done.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
