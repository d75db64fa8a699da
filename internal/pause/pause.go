// Package pause waits within a context.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether it passed before ctx ended. It returns
// at once when d is not positive, and reports false when ctx has ended.
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
