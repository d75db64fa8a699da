package soak

import (
	"sync"
	"time"
)

// This file defines which daemons are in touch: undisturbed, as are the store and the link
// to it, for long enough to know what has happened.

// touchWindow is how long a daemon has to be undisturbed to be in touch.
const touchWindow = 3 * time.Second

// disturbances records when something was last disturbed.
type disturbances struct {
	mu      sync.Mutex
	current int
	changed time.Time
}

// count adds n current disturbances.
func (d *disturbances) count(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current += n
	d.changed = time.Now()
}

// noneSince reports whether there was none since a time.
func (d *disturbances) noneSince(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current == 0 && d.changed.Before(t)
}

// inTouchSince reports whether a daemon was in touch from a time until now.
func (s *soak) inTouchSince(d *daemon, t time.Time) bool {
	from := t.Add(-touchWindow)
	return s.core.noneSince(from) && d.storeLink.noneSince(from) && !d.disturbedBetween(from, time.Now())
}

// during wraps a fault so that it counts as a disturbance while it lasts.
func (d *disturbances) during(f fault) fault {
	begin, end := f.begin, f.end
	f.begin = func() { d.count(1); begin() }
	f.end = func() { end(); d.count(-1) }
	return f
}
