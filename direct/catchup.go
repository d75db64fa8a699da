package direct

import (
	"context"
	"time"

	"fescuelatch"
)

// This file defines how a daemon catches up with the state of another one, which has passed a
// request on to it or is about to: both must handle it alike.

const (
	// catchUpTimeout bounds how long a request waits until the state of this daemon covers
	// that of the one which has passed it on, and catchUpShare the share of its time. A
	// daemon that reaches the store has read it by then.
	catchUpTimeout = 250 * time.Millisecond
	catchUpShare   = 0.25
	// catchUpCheck is how often a revision is looked at that no change announces.
	catchUpCheck = 50 * time.Millisecond
	// minFollowInterval is the shortest pause between calls to the store.
	minFollowInterval = 100 * time.Millisecond
)

// catchUp waits until this daemon's state covers a version, and reports whether it does.
func (d *Daemon) catchUp(ctx context.Context, v fescuelatch.StateVersion, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); ; {
		d.mu.Lock()
		covered := d.storeView.version().Covers(v)
		changed := d.storeView.journal.changed
		d.mu.Unlock()
		left := time.Until(end)
		if covered || left <= 0 {
			return covered
		}
		d.hastenFollow()
		check := time.NewTimer(min(left, catchUpCheck))
		select {
		case <-changed:
		case <-check.C:
		case <-ctx.Done():
			check.Stop()
			return false
		}
		check.Stop()
	}
}

// hastenFollow ends the pause before the next call to the store.
func (d *Daemon) hastenFollow() {
	select {
	case d.followNow <- struct{}{}:
	default: // It ends already.
	}
}

// pauseFollow waits before the next call to the store, and returns false if ctx ends.
func (d *Daemon) pauseFollow(ctx context.Context, wait time.Duration) bool {
	shortest, longest := time.NewTimer(min(wait, minFollowInterval)), time.NewTimer(wait)
	defer shortest.Stop()
	defer longest.Stop()
	select {
	case <-shortest.C:
	case <-ctx.Done():
		return false
	}
	select {
	case <-longest.C:
	case <-d.followNow:
	case <-ctx.Done():
		return false
	}
	return true
}
